#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_OPERATORCOMMANDS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_OPERATORCOMMANDS_HPP

namespace CLI {
class App;
}

namespace samphiresail::operators {

/// Adds the operators' commands to the command line. A command that ran stores its exit
/// status in aStatus.
void AddOperatorCommands(CLI::App& aApp, int& aStatus);

}

#endif
