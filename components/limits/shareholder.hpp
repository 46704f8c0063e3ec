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

/// Times that bound how long a former holder of a share can still use it. All entries of
/// a deployment must have the same.
struct ShareTimes
{
  /// Age of the evidence about the store above which an entry grants nothing.
  timing::Duration mInTouch{ 0 };
  timing::Duration mGrantLife{ 0 };
};

/// Buckets for the shares that this entry holds.
///
/// A share that another entry may still use is taken up only after the in-touch limit
/// and a grant's life have passed since the record was known to be accepted; a share that
/// its former holder gave up, after a grant's life. Either starts empty.
class ShareHolder
{
public:
  ShareHolder(ids::ProcessId aSelf, units::Incarnation aIncarnation, ShareTimes aTimes);

  /// Adopts a record and the limits of the configuration. aAccepted is the highest
  /// version of the record that is known to be accepted.
  void Adopt(const ShareRecord& aRecord,
             units::Version aAccepted,
             const catalogue::Catalogue& aCatalogue,
             timing::Instant aNow);

  /// Takes up the shares whose waiting time is over.
  void Tick(units::Version aAccepted, timing::Instant aNow);

  /// Grants nothing from now on.
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

  /// Returns true if a share waits for the acceptance of its record.
  bool AwaitsAcceptance(units::Version aAccepted) const;

  /// Returns true if the share may be used as a whole, so that it can be handed over.
  bool IsFullyUsable(const ids::ClientAccountId& aAccount) const;

private:
  struct Waiting
  {
    units::Version mSince;
    std::uint32_t mMillionths{ 0 };
    bool mReclaimed{ false };
    std::optional<timing::Instant> mUsableAt;
  };

  struct Held
  {
    Held(timing::Instant aStart, timing::Duration aGrantLife)
      : mBucket(aStart, aGrantLife)
    {
    }

    RateBucket mBucket;
    std::uint32_t mMillionths{ 0 };
    /// Version of the record that gave the share last.
    units::Version mSince;
    units::TokensPerSecond mRate;
    units::Tokens mBurst;
    std::optional<Waiting> mWaiting;
  };

  void AdoptShare(const LimitShare& aShare,
                  const catalogue::ClientAccount& aAccount,
                  timing::Instant aNow);
  void StartWaiting(Waiting& aWaiting,
                    units::Version aAccepted,
                    timing::Instant aNow) const;
  static void ApplyLimits(Held& aHeld, timing::Instant aNow);

  ids::ProcessId mSelf;
  units::Incarnation mIncarnation;
  ShareTimes mTimes;
  bool mStopped{ false };
  std::map<ids::ClientAccountId, Held> mHeld;
};

}

#endif
