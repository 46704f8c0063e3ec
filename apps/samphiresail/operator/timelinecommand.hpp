#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_TIMELINECOMMAND_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_TIMELINECOMMAND_HPP

namespace CLI {
class App;
}

namespace samphiresail::operators {

/// Adds `timeline`.
void AddTimelineCommand(CLI::App& aApp, int& aStatus);

}

#endif
