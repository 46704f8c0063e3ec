#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <string_view>

#include <CLI/CLI.hpp>

#include "apps/samphiresail/gateway/gatewaycommand.hpp"
#include "components/concurrency/heldsignals.hpp"
#ifndef SAMPHIRESAIL_PLATFORM_ONLY
#include "apps/samphiresail/agent/agentcommand.hpp"
#include "apps/samphiresail/entry/entrycommand.hpp"
#include "apps/samphiresail/operator/operatorcommands.hpp"
#endif

namespace {

/// Constructed before all other objects of the program.
__attribute__((init_priority(101))) samphiresail::concurrency::HeldSignals gHeldSignals;

}

int main(int aArgc, char** aArgv)
{
  CLI::App app{ "Serves many models and services from fewer accelerators",
                "samphiresail" };
  app.set_version_flag("--version", SAMPHIRESAIL_VERSION);
  app.require_subcommand(1);

  int status = EXIT_SUCCESS;
  samphiresail::gatewayapp::GatewayOptions options;
  CLI::App* gateway =
    app.add_subcommand("gateway", "Run an entry on the users' platform");
  gateway->add_option(
    "--settings", options.mSettings, "Settings file; default: as the platform names it");
  gateway->add_option(
    "--metrics-port", options.mMetricsPort, "Port of /metrics; 0 disables it");
  gateway->add_option("--log-level", options.mLogLevel, "trace, debug, info, warn, error")
    ->check(CLI::IsMember({ "trace", "debug", "info", "warn", "error" }));
  gateway->callback(
    [&] { status = samphiresail::gatewayapp::RunGateway(options, gHeldSignals); });
#ifndef SAMPHIRESAIL_PLATFORM_ONLY
  std::string settings;
  CLI::App* entry = app.add_subcommand("entry", "Run an entry");
  entry->add_option("--settings", settings, "Settings file")->required();
  entry->callback([&] { status = samphiresail::entry::RunEntry(settings); });
  CLI::App* agent = app.add_subcommand("agent", "Run the agent of an endpoint");
  agent->add_option("--settings", settings, "Settings file")->required();
  agent->callback([&] { status = samphiresail::agent::RunAgent(settings); });
  samphiresail::operators::AddOperatorCommands(app, status);
#endif

  if (aArgc < 2 || std::string_view(aArgv[1]) != gateway->get_name()) {
    // The gateway releases them itself. The other roles block the signals that they wait
    // for as they start, and the operators' commands have no handlers.
    gHeldSignals.Release();
  }
  try {
    app.parse(aArgc, aArgv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  } catch (const std::exception& error) {
    std::cerr << "samphiresail: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
  return status;
}
