#include <chrono>
#include <iostream>
#include <thread>

#include <CLI/CLI.hpp>

#include "apps/standins/common/httpprogram.hpp"
#include "apps/standins/store/gateway.hpp"
#include "apps/standins/store/keyvaluedata.hpp"

namespace {

constexpr std::chrono::milliseconds kExpiryInterval{ 50 };

}

int main(int argc, char** argv)
{
  using namespace samphiresail;
  CLI::App app("Stand-in for the platform's key-value service (etcd v3 JSON gateway)");
  std::uint16_t port = 0;
  std::size_t threads = 64;
  app.add_option(
    "--port", port, "Port on the loopback address; 0 lets the system choose");
  app.add_option("--threads", threads, "Connections served at once");
  CLI11_PARSE(app, argc, argv);
  try {
    standins::HttpProgram program(port, threads);
    const timing::SystemClock clock;
    standins::KeyValueData data(clock);
    standins::Gateway gateway(data, clock);
    gateway.Register(program.Server());
    program.Bind();
    std::thread([&data] {
      for (;;) {
        std::this_thread::sleep_for(kExpiryInterval);
        data.ExpireLeases();
      }
    }).detach();
    program.Run();
  } catch (const std::exception& ec) {
    std::cerr << "samphiresail-standin-store: " << ec.what() << '\n';
    return EXIT_FAILURE;
  }
}
