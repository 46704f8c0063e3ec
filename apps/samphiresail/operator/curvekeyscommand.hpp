#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_CURVEKEYSCOMMAND_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_CURVEKEYSCOMMAND_HPP

namespace CLI {
class App;
}

namespace samphiresail::operators {

/// Adds `curve-keys`, which draws a key pair for the connections between processes.
void AddCurveKeysCommand(CLI::App& aApp, int& aStatus);

}

#endif
