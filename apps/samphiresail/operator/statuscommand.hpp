#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_STATUSCOMMAND_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_STATUSCOMMAND_HPP

namespace CLI {
class App;
}

namespace samphiresail::operators {

/// Adds `status`.
void AddStatusCommand(CLI::App& aApp, int& aStatus);

}

#endif
