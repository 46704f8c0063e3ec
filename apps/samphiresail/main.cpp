#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "apps/samphiresail/agent/agentcommand.hpp"
#include "apps/samphiresail/entry/entrycommand.hpp"
#include "apps/samphiresail/operator/operatorcommands.hpp"

int main(int aArgc, char** aArgv)
{
  CLI::App app{ "Serves many models and services from fewer accelerators",
                "samphiresail" };
  app.set_version_flag("--version", SAMPHIRESAIL_VERSION);
  app.require_subcommand(1);

  int status = EXIT_SUCCESS;
  std::string settings;
  CLI::App* entry = app.add_subcommand("entry", "Run an entry");
  entry->add_option("--settings", settings, "Settings file")->required();
  entry->callback([&] { status = samphiresail::entry::RunEntry(settings); });
  CLI::App* agent = app.add_subcommand("agent", "Run the agent of an endpoint");
  agent->add_option("--settings", settings, "Settings file")->required();
  agent->callback([&] { status = samphiresail::agent::RunAgent(settings); });
  samphiresail::operators::AddOperatorCommands(app, status);

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
