#ifndef SAMPHIRESAIL_APPS_LOAD_CAPACITY_CAPACITYCOMMAND_HPP
#define SAMPHIRESAIL_APPS_LOAD_CAPACITY_CAPACITYCOMMAND_HPP

namespace CLI {
class App;
}

namespace samphiresail::load {

/// Adds the subcommand that measures the control cores of entries at several sizes.
void AddCapacityCommand(CLI::App& aApp);

}

#endif
