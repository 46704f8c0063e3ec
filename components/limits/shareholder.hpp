#ifndef SAMPHIRESAIL_COMPONENTS_LIMITS_SHAREHOLDER_HPP
#define SAMPHIRESAIL_COMPONENTS_LIMITS_SHAREHOLDER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "components/catalogue/catalogue.hpp"
#include "components/limits/ratebucket.hpp"
#include "components/limits/sharerecord.hpp"

namespace samphiresail::limits {

/// Durations that bound how long a former holder of a share can still use it. They must
/// be the same at all entries of a deployment.
struct ShareTimes
{
  /// Staleness bound of the store's records, above which an entry grants nothing.
  timing::Duration mInTouch{ 0 };
  timing::Duration mGrantLife{ 0 };
};

/// Token buckets for the shares that this entry holds.
///
/// A share that another entry may still use becomes usable only after the in-touch limit
/// and the lifetime of a grant have passed since the record was confirmed as accepted. A
/// share that its former holder released becomes usable after the lifetime of a grant. In
/// both cases the bucket starts empty.
class ShareHolder
{
public:
  ShareHolder(ids::ProcessId aSelf, units::Incarnation aIncarnation, ShareTimes aTimes);

  /// Adopts a record and the limits of the configuration. aAccepted is the highest
  /// version of the record that is confirmed as accepted.
  void Adopt(const ShareRecord& aRecord,
             units::Version aAccepted,
             const catalogue::Catalogue& aCatalogue,
             timing::Instant aNow);

  /// Applies the shares whose delay is over.
  void Tick(units::Version aAccepted, timing::Instant aNow);

  /// Stops granting permanently.
  void Stop();

  units::Tokens Grant(const ids::ClientAccountId& aAccount,
                      const GrantKey& aKey,
                      units::Tokens aWanted,
                      timing::Instant aNow);
  void Report(const ids::ClientAccountId& aAccount,
              const GrantKey& aKey,
              units::Tokens aSpent,
              bool aClosed,
              timing::Instant aNow);
  units::Tokens Refund(const ids::ClientAccountId& aAccount,
                       const GrantKey& aKey,
                       units::Tokens aSpent,
                       units::Tokens aTokens,
                       timing::Instant aNow);

  /// Returns true if the delay of a reclaimed share has not begun because its record is
  /// not confirmed as accepted.
  bool AwaitsAcceptance(units::Version aAccepted) const;

  /// Returns true if a share is held and no increase of it is pending, so that it can be
  /// transferred.
  bool IsFullyUsable(const ids::ClientAccountId& aAccount) const;

private:
  struct PendingShare
  {
    units::Version mSince;
    std::uint32_t mMillionths{ 0 };
    bool mReclaimed{ false };
    std::optional<timing::Instant> mUsableAt;
  };

  struct HeldShare
  {
    HeldShare(timing::Instant aStart, timing::Duration aGrantLife)
      : mBucket(aStart, aGrantLife)
    {
    }

    RateBucket mBucket;
    std::uint32_t mMillionths{ 0 };
    /// Version of the record that last assigned the share.
    units::Version mSince;
    units::TokensPerSecond mRate;
    units::Tokens mBurst;
    std::optional<PendingShare> mPending;
  };

  void AdoptShare(const LimitShare& aShare,
                  const catalogue::ClientAccount& aAccount,
                  timing::Instant aNow);
  void StartWaitingPeriod(PendingShare& aPending,
                          units::Version aAccepted,
                          timing::Instant aNow) const;
  static void ApplyLimits(HeldShare& aHeld, timing::Instant aNow);

  ids::ProcessId mSelf;
  units::Incarnation mIncarnation;
  ShareTimes mTimes;
  bool mStopped{ false };
  std::map<ids::ClientAccountId, HeldShare> mHeld;
};

}

#endif
