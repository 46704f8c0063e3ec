#include <cstdlib>
#include <iostream>
#include <thread>

#include <CLI/CLI.hpp>

#include "apps/standins/balancer/rotation.hpp"
#include "apps/standins/common/httpprogram.hpp"
#include "apps/standins/common/tcprelay.hpp"

namespace {

using namespace samphiresail;
using nlohmann::json;

constexpr std::chrono::milliseconds kCheckInterval{ 100 };

standins::BalancedAddress ParseBalanced(const std::string& aText)
{
  standins::BalancedAddress address;
  const auto at = aText.find('=');
  address.mAddress = standins::ParseAddress(aText.substr(0, at));
  if (at != std::string::npos) {
    address.mWeight = std::stoul(aText.substr(at + 1));
  }
  return address;
}

void RegisterControl(httplib::Server& aServer, standins::Rotation& aRotation)
{
  standins::PostJson(
    aServer,
    "/weights",
    [&aRotation](
      const httplib::Request&, const json& aBody, httplib::Response& aResponse) {
      for (const auto& [address, weight] : aBody.items()) {
        if (!aRotation.SetWeight(standins::ParseAddress(address),
                                 weight.get<std::size_t>())) {
          standins::Answer(aResponse, { { "error", "unknown address " + address } }, 404);
          return;
        }
      }
      standins::Answer(aResponse, json::object());
    });
  aServer.Get("/addresses",
              [&aRotation](const httplib::Request&, httplib::Response& aResponse) {
                json addresses = json::array();
                for (const auto& it : aRotation.Addresses()) {
                  addresses.push_back({ { "address", it.mAddress.Text() },
                                        { "weight", it.mWeight },
                                        { "ready", it.mReady } });
                }
                standins::Answer(aResponse, addresses);
              });
}

}

int main(int argc, char** argv)
{
  CLI::App app("Round-robin TCP balancer with a readiness check");
  std::string listen = "127.0.0.1:0";
  std::vector<std::string> to;
  std::uint16_t port = 0;
  app.add_option("--listen", listen, "Address on which connections are accepted");
  app.add_option("--to", to, "ADDRESS or ADDRESS=WEIGHT")->required()->delimiter(',');
  app.add_option("--port", port, "Port of the HTTP control interface; 0 for any");
  CLI11_PARSE(app, argc, argv);
  try {
    constexpr std::size_t kControlThreads = 4;
    standins::HttpProgram program(port, kControlThreads);
    std::vector<standins::BalancedAddress> addresses;
    std::ranges::transform(to, std::back_inserter(addresses), ParseBalanced);
    standins::Rotation rotation(std::move(addresses));
    standins::TcpRelay relay(standins::ParseAddress(listen),
                             [&rotation] { return rotation.Next(); });
    RegisterControl(program.Server(), rotation);
    program.Bind();
    rotation.Check();
    std::thread([&rotation] {
      for (;;) {
        std::this_thread::sleep_for(kCheckInterval);
        rotation.Check();
      }
    }).detach();
    std::thread([&relay] { relay.Run(); }).detach();
    program.Run(" balances " + std::to_string(relay.Port()));
  } catch (const std::exception& ec) {
    std::cerr << "samphiresail-standin-balancer: " << ec.what() << '\n';
    return EXIT_FAILURE;
  }
}
