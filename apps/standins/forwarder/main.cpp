#include <cstdlib>
#include <iostream>
#include <thread>

#include <CLI/CLI.hpp>

#include "apps/standins/common/httpprogram.hpp"
#include "apps/standins/common/tcprelay.hpp"

namespace {

using namespace samphiresail;
using nlohmann::json;

std::optional<std::uint64_t> ConnectionField(const json& aBody)
{
  if (!aBody.contains("connection")) {
    return std::nullopt;
  }
  return aBody["connection"].get<std::uint64_t>();
}

void RegisterControl(httplib::Server& aServer, standins::TcpRelay& aRelay)
{
  standins::PostJson(
    aServer,
    "/silence",
    [&aRelay](const httplib::Request&, const json& aBody, httplib::Response& aResponse) {
      standins::Answer(aResponse,
                       { { "silenced", aRelay.Silence(ConnectionField(aBody)) } });
    });
  standins::PostJson(
    aServer,
    "/cut",
    [&aRelay](const httplib::Request&, const json& aBody, httplib::Response& aResponse) {
      standins::Answer(aResponse, { { "cut", aRelay.Cut(ConnectionField(aBody)) } });
    });
  standins::PostJson(
    aServer,
    "/hold-new",
    [&aRelay](const httplib::Request&, const json& aBody, httplib::Response& aResponse) {
      aRelay.SetHoldNew(aBody.at("hold").get<bool>());
      standins::Answer(aResponse, json::object());
    });
  aServer.Get("/connections",
              [&aRelay](const httplib::Request&, httplib::Response& aResponse) {
                json connections = json::array();
                for (const auto& connection : aRelay.Open()) {
                  connections.push_back({ { "connection", connection->mNumber },
                                          { "silent", connection->mSilent.load() } });
                }
                standins::Answer(aResponse, connections);
              });
}

}

int main(int argc, char** argv)
{
  CLI::App app("TCP forwarder whose connections can be made to go silent or be cut");
  std::string listen = "127.0.0.1:0";
  std::string to;
  std::uint16_t port = 0;
  app.add_option("--listen", listen, "Address on which connections are accepted");
  app.add_option("--to", to, "Address to which they are carried")->required();
  app.add_option("--port", port, "Port of the HTTP control interface; 0 for any");
  CLI11_PARSE(app, argc, argv);
  try {
    constexpr std::size_t kControlThreads = 4;
    standins::HttpProgram program(port, kControlThreads);
    const auto target = standins::ParseAddress(to);
    standins::TcpRelay relay(standins::ParseAddress(listen),
                             [target] { return std::optional(target); });
    RegisterControl(program.Server(), relay);
    program.Bind();
    std::thread([&relay] { relay.Run(); }).detach();
    program.Run(" forwards " + std::to_string(relay.Port()));
  } catch (const std::exception& ec) {
    std::cerr << "samphiresail-standin-forwarder: " << ec.what() << '\n';
    return EXIT_FAILURE;
  }
}
