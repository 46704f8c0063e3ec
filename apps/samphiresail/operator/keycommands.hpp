#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_KEYCOMMANDS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_KEYCOMMANDS_HPP

namespace CLI {
class App;
}

namespace samphiresail::operators {

/// Adds `keys issue`, `keys withdraw` and `keys list`.
void AddKeyCommands(CLI::App& aApp, int& aStatus);

}

#endif
