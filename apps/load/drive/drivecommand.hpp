#ifndef SAMPHIRESAIL_APPS_LOAD_DRIVE_DRIVECOMMAND_HPP
#define SAMPHIRESAIL_APPS_LOAD_DRIVE_DRIVECOMMAND_HPP

namespace CLI {
class App;
}

namespace samphiresail::load {

/// Adds the subcommand that sends load to running entries and reports what came back.
void AddDriveCommand(CLI::App& aApp);

}

#endif
