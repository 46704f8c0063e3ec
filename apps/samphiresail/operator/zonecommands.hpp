#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_ZONECOMMANDS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_ZONECOMMANDS_HPP

namespace CLI {
class App;
}

namespace samphiresail::operators {

/// Adds `zone out` and `zone in`.
void AddZoneCommands(CLI::App& aApp, int& aStatus);

}

#endif
