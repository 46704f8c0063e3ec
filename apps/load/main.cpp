#include <cstdio>
#include <cstdlib>
#include <iostream>

#include <CLI/CLI.hpp>

#include "apps/load/capacity/capacitycommand.hpp"
#include "apps/load/drive/drivecommand.hpp"
#include "apps/load/trials/trialcommands.hpp"

int main(int argc, char** argv)
{
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  CLI::App app("Load generator and experiments");
  app.require_subcommand(1);
  samphiresail::load::AddCapacityCommand(app);
  samphiresail::load::AddDriveCommand(app);
  samphiresail::load::AddTrialCommands(app);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& ec) {
    return app.exit(ec);
  } catch (const std::exception& ec) {
    std::cerr << "samphiresail-load: " << ec.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
