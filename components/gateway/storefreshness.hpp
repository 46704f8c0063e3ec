#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_STOREFRESHNESS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_STOREFRESHNESS_HPP

#include <algorithm>

#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Tracks the instant up to which this process has received all changes in the platform's
/// store. The bounds on the use of revoked keys and outdated configurations are checked
/// against this instant.
///
/// A store that was restored from a backup confirms no change that it lost. Until the
/// operator can have written them again, what was confirmed before the restore counts.
class StoreFreshness
{
public:
  /// Staleness from which requests with a key are rejected, as a fraction of the time
  /// within which a revoked key must stop working.
  static constexpr double kMaxKeyStalenessFraction = 0.8;
  /// Staleness from which the process reports that it is not ready.
  static constexpr timing::Duration kMaxReadyStaleness = std::chrono::milliseconds(3000);
  /// Time without a response from the store after which records may have expired although
  /// the processes that own them are running.
  static constexpr timing::Duration kMinOutage = std::chrono::milliseconds(2200);
  /// How long after an outage a removed record counts as possibly expired.
  static constexpr timing::Duration kLapseWindow = std::chrono::milliseconds(3000);
  /// Time after a restore of the store in which the operator and the endpoints write
  /// again what it lost.
  static constexpr timing::Duration kRewriteTime = std::chrono::milliseconds(3000);

  /// Sets the time within which a change of the configuration must be in force, and the
  /// time within which a revoked key must stop working.
  void SetBounds(timing::Duration aChangeTime, timing::Duration aRevocationTime)
  {
    mChangeTime = aChangeTime;
    mMaxKeyStaleness = std::chrono::duration_cast<timing::Duration>(
      kMaxKeyStalenessFraction * std::chrono::duration<double>(aRevocationTime));
  }

  /// Records a response from the store that began to arrive at aBegan and was read by
  /// aNow; called before its content is applied. A long response over a slow link does
  /// not count as an outage.
  void RecordResponse(timing::Instant aBegan, timing::Instant aNow)
  {
    if (mLastResponse != timing::Instant{} && aBegan - mLastResponse > kMinOutage) {
      mOutageEnd = aNow;
    }
    mLastResponse = aNow;
  }

  /// Records that all changes up to aAsOf have been received. aAsOf must be
  /// earlier than the creation of the store's response, for example the instant at which
  /// the request was sent.
  void ConfirmUpTo(timing::Instant aAsOf)
  {
    mContactAsOf = mHasConfirmation ? std::max(mContactAsOf, aAsOf) : aAsOf;
    if (!mHasConfirmation || (aAsOf > mFreshAsOf && aAsOf >= mConfirmableFrom)) {
      mFreshAsOf = aAsOf;
    }
    mHasConfirmation = true;
  }

  /// Records that the store was restored from a backup.
  void RecordRestore(timing::Instant aNow)
  {
    mOutageEnd = aNow;
    mRewriteEnd = aNow + kRewriteTime;
    mConfirmableFrom = mRewriteEnd;
  }
  /// Records that the operator has written the newest configuration again.
  void RecordRewrite() { mConfirmableFrom = timing::Instant{}; }
  /// When the records that a restore took back are written again at the latest.
  timing::Instant RewriteEnd() const { return mRewriteEnd; }

  /// Time after the first complete read of the store in which a process that starts hears
  /// of the other entries.
  static constexpr timing::Duration kPeersTime = std::chrono::milliseconds(2000);

  /// Records the first complete read of a store that may have been restored just before.
  /// If there are other entries that may know of it, nothing that was read counts until
  /// one of them is heard of, kPeersTime at most.
  void RecordStart(bool aHasPeers, timing::Instant aNow)
  {
    mStarts = true;
    mBelievedFrom = aHasPeers ? aNow + kPeersTime : aNow;
  }
  /// Records what the other entries report: whether a newer version of the configuration
  /// is in force there, which the operator is to write again, and for how long they await
  /// records that a restore lost. At a process that was level with them once, neither
  /// matters.
  void RecordPeers(bool aIsBehind, timing::Duration aRewriteLeft, timing::Instant aNow)
  {
    if (mStarts) {
      mStarts = aIsBehind || aRewriteLeft > timing::Duration(0);
      mBelievedFrom = aNow + (aIsBehind ? kRewriteTime : aRewriteLeft);
    }
  }
  /// True if what this process has read may be that of a backup which the other entries
  /// know to be older.
  bool IsOutdated(timing::Instant aNow) const { return aNow < mBelievedFrom; }

  /// Records that the newest configuration was adopted, or that it cannot be read.
  void RecordConfiguration(bool aAdopted) { mConfigurationAdopted = aAdopted; }

  bool AreKeysFresh(timing::Instant aNow) const
  {
    return mHasConfirmation && !IsOutdated(aNow) && aNow - mFreshAsOf < mMaxKeyStaleness;
  }
  /// True if every change that must be in force by now is known. Otherwise a key or a
  /// route that is not known may have been added.
  bool IsConfigurationCurrent(timing::Instant aNow) const
  {
    return mHasConfirmation && mConfigurationAdopted && !IsOutdated(aNow) &&
           aNow - mFreshAsOf < mChangeTime;
  }
  bool IsReady(timing::Instant aNow) const
  {
    return mHasConfirmation && !IsOutdated(aNow) &&
           aNow - mContactAsOf < kMaxReadyStaleness;
  }
  /// True if a record that is removed now may have expired although the process that owns
  /// it is running.
  bool RecordsMayHaveLapsed(timing::Instant aNow) const
  {
    return mHasConfirmation &&
           (aNow - mLastResponse > kMinOutage ||
            (mOutageEnd != timing::Instant{} && aNow - mOutageEnd < kLapseWindow));
  }
  timing::Duration Staleness(timing::Instant aNow) const
  {
    return mHasConfirmation ? aNow - mFreshAsOf : timing::Duration::max();
  }

private:
  timing::Duration mChangeTime{ std::chrono::seconds(2) };
  timing::Duration mMaxKeyStaleness{ std::chrono::seconds(4) };
  bool mHasConfirmation{ false };
  bool mConfigurationAdopted{ true };
  timing::Instant mFreshAsOf{};
  /// The same without regard to a restore.
  timing::Instant mContactAsOf{};
  timing::Instant mRewriteEnd{};
  /// This process has started and was not level with the other entries yet.
  bool mStarts{ false };
  timing::Instant mBelievedFrom{};
  /// Confirmations of earlier instants are those of a backup.
  timing::Instant mConfirmableFrom{};
  /// When the last response was read.
  timing::Instant mLastResponse{};
  timing::Instant mOutageEnd{};
};

}

#endif
