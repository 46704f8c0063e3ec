#ifndef SAMPHIRESAIL_COMPONENTS_DUTIES_USAGECOUNTER_HPP
#define SAMPHIRESAIL_COMPONENTS_DUTIES_USAGECOUNTER_HPP

#include <map>
#include <vector>

#include "components/duties/usagerow.hpp"

namespace samphiresail::duties {

/// Counts of this start of this entry, by window and client account.
class UsageCounter
{
public:
  UsageCounter(ids::ProcessId aProcess, std::uint64_t aIncarnation)
    : mProcess(std::move(aProcess))
    , mIncarnation(aIncarnation)
  {
  }

  /// Counts a request in a window. One in a window that was declared complete counts in
  /// the first window that was not, so that no report misses it.
  void Count(const ids::ClientAccountId& aAccount, Window aWindow);
  /// Declares that nothing is added any more to windows before this one.
  void Complete(Window aBefore);
  Window CompleteBefore() const { return mCompleteBefore; }
  /// Forgets a window, which is reported or too old to be.
  void Forget(Window aWindow) { mWindows.erase(aWindow); }
  void ForgetBefore(Window aWindow)
  {
    mWindows.erase(mWindows.begin(), mWindows.lower_bound(aWindow));
  }
  /// One row for each window that is not forgotten.
  std::vector<UsageRow> Rows() const;

private:
  ids::ProcessId mProcess;
  std::uint64_t mIncarnation;
  Window mCompleteBefore{ 0 };
  std::map<Window, UsageCounts> mWindows;
};

}

#endif
