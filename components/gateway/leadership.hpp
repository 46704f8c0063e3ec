#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_LEADERSHIP_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_LEADERSHIP_HPP

#include <cstdint>
#include <optional>
#include <utility>

#include "components/gateway/leaderrecord.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Registers this entry in the platform's store and competes for leadership. The entry's
/// record and the leader record are bound to one lease. Only the leader orders loads. Its
/// fencing token follows from the store's generation and the revision at which its record
/// was written, and it stops giving orders before its lease can have expired.
///
/// A restore of the store ends every leadership: leases and revisions are given out
/// again. A leader record from before the restore is replaced.
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
    /// Writes the leader's record, bound to the lease, if there still is none or the one
    /// to be replaced.
    CreateLeader,
  };

  static constexpr std::chrono::milliseconds kLeaseTimeToLive{ 2500 };
  /// Interval at which the lease is renewed.
  static constexpr std::chrono::milliseconds kKeepAliveInterval{ 800 };
  /// Time before the lease expires at which the leader stops giving orders.
  static constexpr std::chrono::milliseconds kLeaseSafetyMargin{ 800 };
  /// Delay before this entry replaces its record that is bound to another lease: two
  /// processes under one name would write in turn.
  static constexpr std::chrono::milliseconds kMemberRewriteDelay{ 2000 };
  /// Delay before the next step after a failed one.
  static constexpr std::chrono::milliseconds kRetryBackoff{ 500 };
  /// Longest delay before the leader's record is written again whose token may have been
  /// used before.
  static constexpr std::chrono::milliseconds kMaxRejectedBackoff{ 8000 };

  /// aOrderGracePeriod is how long a new leader waits until orders of an earlier one have
  /// expired; aFirstStart is true if there cannot have been an earlier leader. aProcess
  /// and aIncarnation tell this process from all others.
  Leadership(timing::Duration aOrderGracePeriod,
             bool aFirstStart,
             ids::ProcessId aProcess,
             std::uint64_t aIncarnation)
    : mOrderGracePeriod(aOrderGracePeriod)
    , mFirstStart(aFirstStart)
    , mProcess(std::move(aProcess))
    , mIncarnation(aIncarnation)
  {
  }

  /// Sets the store's generation, which was not known before.
  void SetGeneration(store::StoreGeneration aGeneration) { mGeneration = aGeneration; }

  /// Sets how long this entry waits before it takes over a vacant leadership, so that
  /// better suited entries can take it over first.
  void SetTakeoverDelay(timing::Duration aDelay) { mTakeoverDelay = aDelay; }

  /// Processes the state of the leader record in the store.
  void OnLeaderRecord(const LeaderRecord& aRecord);
  /// Processes the lease of this entry's record in the store; 0 if there is none. A
  /// record that is lost is written again, and after kMemberRewriteDelay one under
  /// another lease.
  void OnMemberRecord(std::int64_t aLease, timing::Instant aNow);

  /// Gives up leadership and lease, which a restore of the store took back, and competes
  /// again after aDelay.
  void OnStoreRestored(store::StoreGeneration aGeneration,
                       timing::Duration aDelay,
                       timing::Instant aNow);

  /// Returns the next step; the caller reports its outcome before the next call.
  Step Next(timing::Instant aNow);

  /// aTimeToLive is what the store applies; 0 if it does not say. A lease without a
  /// number is none: records bound to it would never expire.
  void OnLeaseGranted(std::int64_t aLease,
                      std::chrono::milliseconds aTimeToLive,
                      timing::Instant aSent,
                      timing::Instant aNow);
  void OnLeaseKept(timing::Instant aSent);
  void OnLeaseLost();
  void OnMemberWritten() { mMemberRecordWritten = true; }
  void OnLeaderCreated(std::int64_t aRevision, timing::Instant aNow);
  void OnStepFailed(timing::Instant aNow) { mNextStepAt = aNow + kRetryBackoff; }
  /// Gives up leadership because an engine has received orders under a newer token.
  void OnFenced(timing::Instant aNow);

  std::int64_t Lease() const { return mLease.value_or(0); }
  /// What this process writes into the leader's record.
  LeaderClaim OwnClaim() const { return { mProcess, mIncarnation, mGeneration }; }
  /// Store revision of the leader record that CreateLeader replaces; 0 if there is none.
  std::int64_t ReplacedRevision() const { return mReplacedRevision; }
  /// Returns the fencing token under which orders may be sent now, or none.
  std::optional<std::int64_t> Token(timing::Instant aNow) const;

private:
  /// True if the record makes this process the leader.
  bool IsOwn(const LeaderRecord& aRecord) const;
  /// True if the record makes no process the leader: its holder has given it up because
  /// of a restore, or it was written late, when this process had another lease.
  bool IsAbandoned(const LeaderRecord& aRecord) const;
  /// Largest interval of renewals, and margin before the end, for a short lease.
  std::chrono::milliseconds ShareOfLease() const { return mTimeToLive / 3; }
  /// True if the lease cannot expire in the store within kLeaseSafetyMargin from aNow.
  bool IsLeaseCertainlyValid(timing::Instant aNow) const;

  timing::Duration mOrderGracePeriod;
  bool mFirstStart;
  ids::ProcessId mProcess;
  std::uint64_t mIncarnation;
  store::StoreGeneration mGeneration{ 0 };
  std::optional<std::int64_t> mLease;
  std::chrono::milliseconds mTimeToLive{ 0 };
  timing::Instant mLeaseRenewedAt{};
  timing::Instant mNextStepAt{};
  bool mMemberRecordWritten{ false };
  timing::Instant mMemberWriteFrom{};
  /// No leader's record is written before, as the last one was of no use.
  timing::Instant mLeadFrom{};
  std::chrono::milliseconds mRejectedBackoff{ kRetryBackoff };
  bool mLeaderPresent{ true };
  std::int64_t mReplacedRevision{ 0 };
  bool mSawOtherLeader{ false };
  std::optional<std::int64_t> mToken;
  /// Highest tokens of other leaders, and of this process.
  std::int64_t mHighestForeignToken{ 0 };
  std::int64_t mHighestOwnToken{ 0 };
  /// Revision of a leader record of this entry whose creation got no response.
  std::optional<std::int64_t> mUnclaimed;
  timing::Duration mTakeoverDelay{ 0 };
  /// When this entry first saw that there is no leader.
  std::optional<timing::Instant> mVacantSince;
  timing::Instant mOrdersAllowedFrom{};
};

}

#endif
