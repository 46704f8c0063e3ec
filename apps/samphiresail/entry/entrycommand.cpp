#include "apps/samphiresail/entry/entrycommand.hpp"

#include <csignal>
#include <cstdlib>

#include "apps/samphiresail/entry/entryprocess.hpp"
#include "components/settings/settingsloader.hpp"

namespace samphiresail::entry {

namespace {

/// Blocks the signals that end the process, in this and all later threads.
sigset_t BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

}

int RunEntry(const std::string& aSettingsPath)
{
  const settings::EntrySettings settings = settings::LoadEntrySettings(aSettingsPath);
  const sigset_t signals = BlockStopSignals();
  EntryProcess process(settings);
  int signal = 0;
  sigwait(&signals, &signal);
  process.Stop();
  return EXIT_SUCCESS;
}

}
