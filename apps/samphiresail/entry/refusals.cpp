#include "apps/samphiresail/entry/refusals.hpp"

#include <algorithm>
#include <thread>

#include "apps/samphiresail/entry/entrycontext.hpp"
#include "apps/samphiresail/entry/routingsnapshot.hpp"
#include "apps/samphiresail/entry/sharedstate.hpp"

namespace samphiresail::entry {

retry::Failure ClassifyRefusal(wire::RefuseReason aReason)
{
  switch (aReason) {
    case wire::STALE_TICKET:
    case wire::STALE_CONFIGURATION:
      return retry::Failure::Stale;
    case wire::COLD_LIMIT:
    case wire::QUEUE_FULL:
      return retry::Failure::Overload;
    case wire::DEADLINE:
      return retry::Failure::Final;
    default:
      return retry::Failure::Elsewhere;
  }
}

void AwaitNewerConfiguration(EntryContext& aContext,
                             units::Version aRefused,
                             timing::Instant aUntil)
{
  constexpr std::chrono::milliseconds kStep{ 5 };
  const timing::Instant until =
    std::min(aUntil, aContext.mClock.Now() + aContext.mSettings.mInTouch);
  while (aContext.mState.Snapshot()->Version() <= aRefused &&
         aContext.mClock.Now() < until) {
    std::this_thread::sleep_for(kStep);
  }
}

}
