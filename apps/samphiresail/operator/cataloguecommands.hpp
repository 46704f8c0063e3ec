#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_CATALOGUECOMMANDS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_CATALOGUECOMMANDS_HPP

namespace CLI {
class App;
}

namespace samphiresail::operators {

/// Adds `check`, `diff` and `apply`.
void AddCatalogueCommands(CLI::App& aApp, int& aStatus);

}

#endif
