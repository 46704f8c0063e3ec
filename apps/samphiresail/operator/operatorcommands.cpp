#include "apps/samphiresail/operator/operatorcommands.hpp"

#include <CLI/CLI.hpp>

namespace samphiresail::operators {

void AddOperatorCommands(CLI::App& aApp, int& aStatus)
{
  static_cast<void>(aApp);
  static_cast<void>(aStatus);
}

}
