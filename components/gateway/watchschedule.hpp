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
    /// The call fails if its response has not begun after this time.
    std::chrono::milliseconds mHeadTimeout{ 0 };
    /// The call fails if nothing of a response that has begun arrives for this time.
    std::chrono::milliseconds mStallTimeout{ 0 };
    /// The call fails if its response is not complete after this time.
    std::chrono::milliseconds mTimeout{ 0 };
    /// Largest body of the response. Changes that are larger take longer than a reading
    /// of all records.
    std::size_t mMaxBytes{ 0 };
  };
  /// A response that was read and applied.
  struct Response
  {
    timing::Instant mSentAt{};
    timing::Instant mBeganAt{};
    timing::Instant mAppliedAt{};
    std::size_t mBytes{ 0 };
    bool mHadChanges{ false };
  };

  explicit WatchSchedule(std::uint64_t aSeed);

  /// Sets the number of entries that watch the store, and the time within which a change
  /// must be in force.
  void SetFleet(std::size_t aEntries, std::chrono::milliseconds aChangeTime);

  Step Next() const;

  void OnApplied(const Response& aResponse);
  /// The next watch returns changes that are already known to be there.
  void OnHistoryNeeded(timing::Instant aNow) { mAt = aNow; }
  /// The changes since the last known revision cannot be had any more, or are larger than
  /// all records.
  void OnReadNeeded(timing::Instant aNow);
  /// The store was restored from a backup: what is known of it is read again, by all
  /// entries in turn.
  void OnRestored(timing::Instant aNow);
  /// Records a call without a complete response. aBegan states whether the response had
  /// begun.
  void OnFailed(bool aBegan, timing::Instant aNow);

  /// Time between the beginning of a response and the next call, in which changes gather.
  std::chrono::milliseconds Pause() const;
  /// Time after which a watch without changes returns.
  std::chrono::milliseconds Wait() const;

private:
  /// Returns the time that is left for pause and wait together, so that a change is in
  /// force in time although one call gets no response.
  std::chrono::milliseconds TimeToSpend() const;

  Call mCall{ Call::Read };
  timing::Instant mAt{};
  std::size_t mEntries{ 1 };
  std::chrono::milliseconds mChangeTime{ 2000 };
  /// The longest recent time from the beginning of a response until it was applied.
  std::chrono::milliseconds mProcessingTime{ 0 };
  /// Time beyond the wait after which a watch without a response fails.
  std::chrono::milliseconds mHeadMargin;
  /// Size of the last reading of all records.
  std::size_t mReadBytes{ 0 };
  /// Calls that have failed since the last response.
  int mFailures{ 0 };
  std::mt19937_64 mRandom;
};

}

#endif
