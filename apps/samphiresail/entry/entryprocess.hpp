#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENTRYPROCESS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENTRYPROCESS_HPP

#include <memory>

#include "components/settings/processsettings.hpp"

namespace samphiresail::entry {

/// All parts of a running entry, wired together.
class EntryProcess
{
public:
  /// Starts to listen and to follow the platform's store. Throws if an address is taken.
  explicit EntryProcess(const settings::EntrySettings& aSettings);
  ~EntryProcess();

  /// Stops as planned: readiness goes first, work in flight finishes.
  void Stop();

private:
  class Parts;
  std::unique_ptr<Parts> mParts;
};

}

#endif
