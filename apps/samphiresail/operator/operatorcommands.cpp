#include "apps/samphiresail/operator/operatorcommands.hpp"

#include <CLI/CLI.hpp>

#include "apps/samphiresail/operator/cataloguecommands.hpp"
#include "apps/samphiresail/operator/checkconfigurationcommand.hpp"
#include "apps/samphiresail/operator/curvekeyscommand.hpp"
#include "apps/samphiresail/operator/keycommands.hpp"
#include "apps/samphiresail/operator/statuscommand.hpp"
#include "apps/samphiresail/operator/timelinecommand.hpp"
#include "apps/samphiresail/operator/zonecommands.hpp"

namespace samphiresail::operators {

void AddOperatorCommands(CLI::App& aApp, int& aStatus)
{
  AddCatalogueCommands(aApp, aStatus);
  AddCheckConfigurationCommand(aApp, aStatus);
  AddKeyCommands(aApp, aStatus);
  AddZoneCommands(aApp, aStatus);
  AddStatusCommand(aApp, aStatus);
  AddTimelineCommand(aApp, aStatus);
  AddCurveKeysCommand(aApp, aStatus);
}

}
