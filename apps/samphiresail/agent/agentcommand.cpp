#include "apps/samphiresail/agent/agentcommand.hpp"

#include <chrono>
#include <cstdlib>

#include "apps/samphiresail/agent/agentshell.hpp"
#include "components/concurrency/stopsignals.hpp"
#include "components/settings/settingsloader.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::agent {

namespace {

constexpr std::chrono::milliseconds kSignalPoll{ 100 };

}

int RunAgent(const std::string& aSettingsPath)
{
  const settings::AgentSettings settings = settings::LoadAgentSettings(aSettingsPath);
  const sigset_t signals = concurrency::BlockStopSignals();
  const timing::SystemClock clock;
  AgentShell shell(settings, clock);
  concurrency::WaitForStopSignal(signals);
  shell.Leave();
  while (!shell.WaitForExit(kSignalPoll)) {
  }
  return EXIT_SUCCESS;
}

}
