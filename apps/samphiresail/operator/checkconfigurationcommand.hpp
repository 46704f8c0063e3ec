#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_CHECKCONFIGURATIONCOMMAND_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_CHECKCONFIGURATIONCOMMAND_HPP

namespace CLI {
class App;
}

namespace samphiresail::operators {

/// Adds `check-configuration`.
void AddCheckConfigurationCommand(CLI::App& aApp, int& aStatus);

}

#endif
