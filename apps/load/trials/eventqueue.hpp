#ifndef SAMPHIRESAIL_APPS_LOAD_TRIALS_EVENTQUEUE_HPP
#define SAMPHIRESAIL_APPS_LOAD_TRIALS_EVENTQUEUE_HPP

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "components/timing/clock.hpp"

namespace samphiresail::load {

/// Actions in the order of their instants; equal instants keep the order of scheduling.
class EventQueue
{
public:
  using Action = std::function<void()>;

  timing::Instant Now() const { return mNow; }

  void At(timing::Instant aWhen, Action aAction)
  {
    mEvents.push({ aWhen, mNext++, std::move(aAction) });
  }
  void After(timing::Duration aDelay, Action aAction)
  {
    At(mNow + aDelay, std::move(aAction));
  }

  /// Runs all actions up to the instant.
  void RunUntil(timing::Instant aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mWhen <= aEnd) {
      Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mWhen;
      event.mAction();
    }
    mNow = aEnd;
  }

private:
  struct Event
  {
    timing::Instant mWhen;
    std::uint64_t mNumber{ 0 };
    Action mAction;

    bool operator<(const Event& aOther) const
    {
      return std::pair(aOther.mWhen, aOther.mNumber) < std::pair(mWhen, mNumber);
    }
  };

  std::priority_queue<Event> mEvents;
  std::uint64_t mNext{ 0 };
  timing::Instant mNow{ std::chrono::hours(1) };
};

}

#endif
