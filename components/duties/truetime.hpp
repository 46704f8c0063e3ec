#ifndef SAMPHIRESAIL_COMPONENTS_DUTIES_TRUETIME_HPP
#define SAMPHIRESAIL_COMPONENTS_DUTIES_TRUETIME_HPP

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "components/duties/usagerow.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::duties {

/// Time since the Unix epoch that does not follow a jump of this machine's wall clock:
/// the steady clock plus an offset. The offset follows the wall clock's slow corrections
/// and is checked against the offsets of the other entries.
class TrueTime
{
public:
  /// Change of the wall clock against the steady clock, between two samples, from which
  /// it is a jump. Clock synchronisation slews by less than 1 ms between two ticks.
  static constexpr timing::Duration kJump = std::chrono::milliseconds(20);
  /// Longest time between the two steady readings around a sample of the wall clock. A
  /// thread that was suspended between them takes a wrong sample.
  static constexpr timing::Duration kMaxSampleTime = std::chrono::milliseconds(2);
  /// Deviation from the median of all entries from which the offset is replaced by it, if
  /// the median is ahead. A message's delay makes its sender seem behind, never ahead.
  static constexpr timing::Duration kMaxBehind = std::chrono::milliseconds(400);
  /// The same if the median is behind. An entry that is short of processor time reads
  /// messages up to a second late.
  static constexpr timing::Duration kMaxAhead = std::chrono::milliseconds(1500);
  /// Time for which an entry's largest offset is used, as that of its least delayed
  /// message.
  static constexpr timing::Duration kPeerAge = std::chrono::seconds(8);
  /// Time for which messages must have been read without a pause of this process until
  /// the median counts as behind: after a pause, old messages are read first.
  static constexpr timing::Duration kObservation = std::chrono::seconds(5);
  /// Time between two samples from which this process was paused.
  static constexpr timing::Duration kPause = std::chrono::milliseconds(500);
  /// Entries, this one included, without which no median is taken: of two that differ,
  /// neither is known to be right.
  static constexpr std::size_t kMinEntries = 3;

  explicit TrueTime(std::chrono::milliseconds aWindow)
    : mWindow(aWindow)
  {
  }

  /// Records a reading of the wall clock between two of the steady clock. The first one
  /// sets the offset. Returns the size of a jump, if there was one.
  std::optional<timing::Duration> Sample(timing::Instant aBefore,
                                         timing::WallTime aWall,
                                         timing::Instant aAfter);
  /// Records the time that another entry stated in a message that has just arrived.
  void OnPeerTime(const ids::ProcessId& aProcess,
                  std::chrono::milliseconds aTime,
                  timing::Instant aNow);
  /// Compares the offset with those of the other entries. Returns by how much it was
  /// corrected, if it was.
  std::optional<timing::Duration> Check(timing::Instant aNow);

  /// Time since the Unix epoch at an instant.
  std::chrono::milliseconds At(timing::Instant aInstant) const;
  Window WindowAt(timing::Instant aInstant) const { return WindowOf(At(aInstant)); }
  Window WindowOf(std::chrono::milliseconds aTime) const { return aTime / mWindow; }
  /// Time at which a window ends.
  std::chrono::milliseconds EndOf(Window aWindow) const
  {
    return (aWindow + 1) * mWindow;
  }

private:
  /// Offsets with the time of their messages, each larger than all later ones.
  using Offsets = std::deque<std::pair<timing::Instant, timing::Duration>>;

  std::chrono::milliseconds mWindow;
  /// Difference of the wall clock and the steady clock at the last sample.
  std::optional<timing::Duration> mLastSample;
  timing::Duration mOffset{ 0 };
  timing::Instant mLastSampleAt{};
  std::map<ids::ProcessId, Offsets> mPeers;
  /// When the first of the messages in mPeers came since the last pause.
  timing::Instant mObservedSince{};
};

}

#endif
