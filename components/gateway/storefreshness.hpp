#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_STOREFRESHNESS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_STOREFRESHNESS_HPP

#include <algorithm>
#include <cstdint>
#include <optional>

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

  /// Records the version of the configuration in force here, and the newest one at the
  /// other entries; 0 if none is known. A process that is behind as it starts has read a
  /// store that lost the newer version; any other one has time to learn of it.
  void RecordVersions(std::uint64_t aOwn,
                      std::uint64_t aPeers,
                      bool aStarting,
                      timing::Instant aNow)
  {
    if (aOwn == 0 || aPeers <= aOwn) {
      mOutdatedFrom.reset();
    } else if (!mOutdatedFrom) {
      mOutdatedFrom = aStarting ? aNow : aNow + mChangeTime;
    }
  }
  /// Sets whether the versions of the other entries are yet to be heard of.
  void SetPeersAwaited(bool aAwaited) { mPeersAwaited = aAwaited; }
  /// True if other entries have had a newer configuration in force for too long, or may
  /// have one when this process starts.
  bool IsOutdated(timing::Instant aNow) const
  {
    return mPeersAwaited || (mOutdatedFrom && aNow >= *mOutdatedFrom);
  }

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
  /// Since when the configuration in force counts as older than that of other entries.
  std::optional<timing::Instant> mOutdatedFrom;
  bool mPeersAwaited{ false };
  /// Confirmations of earlier instants are those of a backup.
  timing::Instant mConfirmableFrom{};
  /// When the last response was read.
  timing::Instant mLastResponse{};
  timing::Instant mOutageEnd{};
};

}

#endif
