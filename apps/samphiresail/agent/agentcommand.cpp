#include "apps/samphiresail/agent/agentcommand.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>

#include "apps/samphiresail/agent/agentshell.hpp"
#include "components/settings/settingsloader.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::agent {

namespace {

constexpr std::chrono::milliseconds kSignalPoll{ 100 };

/// Keeps the stop signals from all threads, so that one thread can wait for them.
sigset_t BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}

int RunAgent(const std::string& aSettingsPath)
{
  const settings::AgentSettings settings = settings::LoadAgentSettings(aSettingsPath);
  const sigset_t signals = BlockStopSignals();
  const timing::SystemClock clock;
  AgentShell shell(settings, clock);
  int signal = 0;
  sigwait(&signals, &signal);
  shell.Leave();
  while (!shell.WaitForExit(kSignalPoll)) {
  }
  return EXIT_SUCCESS;
}

}
