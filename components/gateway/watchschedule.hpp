#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_WATCHSCHEDULE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_WATCHSCHEDULE_HPP

#include <chrono>
#include <cstddef>
#include <random>

#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Decides when an entry reads the platform's store, how and with which timeouts. It
/// answers two loads: calls of many entries, which share one limit, and changes that come
/// faster than a slow link carries them.
class WatchSchedule
{
public:
  enum class Call
  {
    /// Read all records.
    Read,
    /// Wait for changes after the last known revision.
    Watch,
  };
  /// The next call.
  struct Step
  {
    Call mCall{ Call::Read };
    timing::Instant mAt{};
    /// Time after which a watch without changes returns.
    std::chrono::milliseconds mWait{ 0 };
    /// Time after which a call without a complete response fails.
    std::chrono::milliseconds mTimeout{ 0 };
  };

  explicit WatchSchedule(std::uint64_t aSeed);

  /// Sets the number of entries that watch the store, and the time within which a change
  /// must be in force.
  void SetFleet(std::size_t aEntries, std::chrono::milliseconds aChangeTime);

  Step Next() const;

  /// Records a response that has been read and applied by aNow.
  void OnApplied(timing::Instant aNow);
  /// The changes since the last known revision cannot be had any more.
  void OnHistoryLost(timing::Instant aNow);
  void OnFailed(timing::Instant aNow);

  std::chrono::milliseconds PauseBetweenCalls() const { return mPause; }
  std::chrono::milliseconds Wait() const { return mWait; }

private:
  Call mCall{ Call::Read };
  timing::Instant mAt{};
  std::chrono::milliseconds mPause;
  std::chrono::milliseconds mWait;
  std::mt19937_64 mRandom;
};

}

#endif
