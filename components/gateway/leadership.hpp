#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_LEADERSHIP_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_LEADERSHIP_HPP

#include <cstdint>
#include <optional>

#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Registration of this entry in the platform's store and the leadership that it may
/// hold: one lease carries both records. Only the leader orders loads. Its fencing token
/// is the revision at which its record was created, and it stops before its lease can
/// have ended.
class Leadership
{
public:
  /// What is to be asked of the store next.
  enum class Step
  {
    None,
    GrantLease,
    KeepLease,
    /// Writes the record of this entry, bound to the lease.
    WriteMember,
    /// Creates the leader's record if there is none, bound to the lease.
    CreateLeader,
  };

  static constexpr std::chrono::milliseconds kLeaseTimeToLive{ 2500 };
  static constexpr std::chrono::milliseconds kKeepAliveInterval{ 800 };
  /// Time before the end of the lease at which the leader stops giving orders.
  static constexpr std::chrono::milliseconds kLeaseSafetyMargin{ 800 };
  /// How long a failed step is not tried again.
  static constexpr std::chrono::milliseconds kRetryBackoff{ 500 };

  /// aQuietTime is how long a new leader waits for orders of an earlier one to run out;
  /// aFirstStart says that there cannot have been an earlier one.
  Leadership(timing::Duration aQuietTime, bool aFirstStart)
    : mQuietTime(aQuietTime)
    , mFirstStart(aFirstStart)
  {
  }

  /// Sets for how long a vacant leadership is left to entries that suit it better.
  void SetTakeoverDelay(timing::Duration aYield) { mYield = aYield; }

  /// Records whether some entry's leader record is in the store.
  void OnLeaderRecord(bool aPresent, std::int64_t aLease, std::int64_t aCreateRevision);

  /// Returns the next step; the caller reports its outcome before the next call.
  Step Next(timing::Instant aNow);

  void OnLeaseGranted(std::int64_t aLease,
                      std::chrono::milliseconds aTimeToLive,
                      timing::Instant aSent);
  void OnLeaseKept(timing::Instant aSent);
  void OnLeaseLost();
  void OnMemberWritten() { mMemberWritten = true; }
  void OnLeaderCreated(std::int64_t aRevision, timing::Instant aNow);
  void OnStepFailed(timing::Instant aNow) { mNotBefore = aNow + kRetryBackoff; }
  /// Another holder with a newer token has given orders.
  void OnFenced(timing::Instant aNow);

  std::int64_t Lease() const { return mLease.value_or(0); }
  /// The token under which orders may be sent now, or none.
  std::optional<std::int64_t> Token(timing::Instant aNow) const;

private:
  bool LeaseSurelyRuns(timing::Instant aNow) const;

  timing::Duration mQuietTime;
  bool mFirstStart;
  std::optional<std::int64_t> mLease;
  std::chrono::milliseconds mTimeToLive{ 0 };
  timing::Instant mKeptAt{};
  timing::Instant mNotBefore{};
  bool mMemberWritten{ false };
  bool mLeaderPresent{ true };
  bool mSeenOther{ false };
  std::optional<std::int64_t> mToken;
  timing::Duration mYield{ 0 };
  /// When this entry first saw that nobody leads.
  std::optional<timing::Instant> mVacantSince;
  timing::Instant mOrdersFrom{};
};

}

#endif
