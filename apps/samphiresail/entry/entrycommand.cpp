#include "apps/samphiresail/entry/entrycommand.hpp"

#include <cstdlib>

#include "apps/samphiresail/entry/entryprocess.hpp"
#include "components/concurrency/stopsignals.hpp"
#include "components/settings/settingsloader.hpp"

namespace samphiresail::entry {

int RunEntry(const std::string& aSettingsPath)
{
  const settings::EntrySettings settings = settings::LoadEntrySettings(aSettingsPath);
  const sigset_t signals = concurrency::BlockStopSignals();
  EntryProcess process(settings);
  concurrency::WaitForStopSignal(signals);
  process.Stop();
  return EXIT_SUCCESS;
}

}
