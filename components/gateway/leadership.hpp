#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_LEADERSHIP_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_LEADERSHIP_HPP

#include <cstdint>
#include <optional>

#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Registers this entry in the platform's store and competes for leadership. The entry's
/// record and the leader record are bound to one lease. Only the leader orders loads. Its
/// fencing token is the revision at which its record was created, and it stops giving
/// orders before its lease can have expired.
class Leadership
{
public:
  /// The next request to the store.
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
  /// Interval at which the lease is renewed.
  static constexpr std::chrono::milliseconds kKeepAliveInterval{ 800 };
  /// Time before the lease expires at which the leader stops giving orders.
  static constexpr std::chrono::milliseconds kLeaseSafetyMargin{ 800 };
  /// Delay before the next step after a failed one.
  static constexpr std::chrono::milliseconds kRetryBackoff{ 500 };

  /// aOrderGracePeriod is how long a new leader waits until orders of an earlier one have
  /// expired; aFirstStart is true if there cannot have been an earlier leader.
  Leadership(timing::Duration aOrderGracePeriod, bool aFirstStart)
    : mOrderGracePeriod(aOrderGracePeriod)
    , mFirstStart(aFirstStart)
  {
  }

  /// Sets how long this entry waits before it takes over a vacant leadership, so that
  /// better suited entries can take it over first.
  void SetTakeoverDelay(timing::Duration aDelay) { mTakeoverDelay = aDelay; }

  /// Processes the state of the leader record in the store: whether it is present, its
  /// lease and the revision at which it was created.
  void OnLeaderRecord(bool aPresent, std::int64_t aLease, std::int64_t aCreateRevision);

  /// Returns the next step; the caller reports its outcome before the next call.
  Step Next(timing::Instant aNow);

  void OnLeaseGranted(std::int64_t aLease,
                      std::chrono::milliseconds aTimeToLive,
                      timing::Instant aSent);
  void OnLeaseKept(timing::Instant aSent);
  void OnLeaseLost();
  void OnMemberWritten() { mMemberRecordWritten = true; }
  void OnLeaderCreated(std::int64_t aRevision, timing::Instant aNow);
  void OnStepFailed(timing::Instant aNow) { mNextStepAt = aNow + kRetryBackoff; }
  /// Gives up leadership because an engine has received orders under a newer token.
  void OnFenced(timing::Instant aNow);

  std::int64_t Lease() const { return mLease.value_or(0); }
  /// Returns the fencing token under which orders may be sent now, or none.
  std::optional<std::int64_t> Token(timing::Instant aNow) const;

private:
  /// True if the lease cannot expire in the store within kLeaseSafetyMargin from aNow.
  bool IsLeaseCertainlyValid(timing::Instant aNow) const;

  timing::Duration mOrderGracePeriod;
  bool mFirstStart;
  std::optional<std::int64_t> mLease;
  std::chrono::milliseconds mTimeToLive{ 0 };
  timing::Instant mLeaseRenewedAt{};
  timing::Instant mNextStepAt{};
  bool mMemberRecordWritten{ false };
  bool mLeaderPresent{ true };
  bool mSawOtherLeader{ false };
  std::optional<std::int64_t> mToken;
  /// Revision of a leader record of this entry whose creation got no response.
  std::optional<std::int64_t> mUnclaimed;
  timing::Duration mTakeoverDelay{ 0 };
  /// When this entry first saw that there is no leader.
  std::optional<timing::Instant> mVacantSince;
  timing::Instant mOrdersAllowedFrom{};
};

}

#endif
