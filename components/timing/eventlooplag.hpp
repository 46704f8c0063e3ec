#ifndef SAMPHIRESAIL_COMPONENTS_TIMING_EVENTLOOPLAG_HPP
#define SAMPHIRESAIL_COMPONENTS_TIMING_EVENTLOOPLAG_HPP

#include <deque>
#include <optional>

#include "components/timing/clock.hpp"

namespace samphiresail::timing {

/// Measures how far an event loop is behind: how late a periodic tick runs. What arrives
/// at a socket waits about as long until it is read.
class EventLoopLag
{
public:
  /// For how long a late tick counts. Ticks come due at any point of a turn of the loop,
  /// so one that runs in time does not show that the loop has caught up.
  static constexpr Duration kMemory = std::chrono::seconds(1);

  /// A loop whose ticks are at most aTolerance late is not behind.
  explicit EventLoopLag(Duration aTolerance)
    : mTolerance(aTolerance)
  {
  }

  /// Records when the next tick is due.
  void ExpectTick(Instant aDue) { mDue = aDue; }
  /// Records that the tick runs.
  void OnTick(Instant aNow);

  /// Returns the longest delay of a tick within kMemory, or that of the tick that is due
  /// now if it is longer; 0 if it is within the tolerance.
  Duration Lag(Instant aNow) const;
  bool IsBehind(Instant aNow) const { return Lag(aNow) > Duration(0); }

  /// Returns how long a request that was just read has waited unread, at least; 0 if the
  /// loop is not behind. aSinceLastBytes is how long ago its last bytes arrived, if that
  /// is known; otherwise the time is estimated from the ticks.
  Duration UnreadTime(std::optional<Duration> aSinceLastBytes, Instant aNow) const;

private:
  struct LateTick
  {
    Instant mAt;
    Duration mDelay;
  };

  Duration mTolerance;
  std::optional<Instant> mDue;
  /// Delays of the last two ticks.
  Duration mLast{ 0 };
  Duration mBeforeLast{ 0 };
  std::deque<LateTick> mLate;
};

}

#endif
