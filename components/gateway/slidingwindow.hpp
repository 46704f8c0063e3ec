#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_SLIDINGWINDOW_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_SLIDINGWINDOW_HPP

#include <algorithm>
#include <cstddef>
#include <deque>

#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Counts the events of the last aSpan exactly, so that a bound holds for every window of
/// that length.
class SlidingWindow
{
public:
  explicit SlidingWindow(timing::Duration aSpan)
    : mSpan(aSpan)
  {
  }

  void Add(timing::Instant aNow)
  {
    EraseExpired(aNow);
    mEvents.push_back(aNow);
  }

  /// Removes one event of that instant, if it is still counted.
  void Remove(timing::Instant aInstant)
  {
    const auto it = std::ranges::find(mEvents, aInstant);
    if (it != mEvents.end()) {
      mEvents.erase(it);
    }
  }

  std::size_t Count(timing::Instant aNow)
  {
    EraseExpired(aNow);
    return mEvents.size();
  }

private:
  void EraseExpired(timing::Instant aNow)
  {
    while (!mEvents.empty() && mEvents.front() + mSpan <= aNow) {
      mEvents.pop_front();
    }
  }

  timing::Duration mSpan;
  std::deque<timing::Instant> mEvents;
};

}

#endif
