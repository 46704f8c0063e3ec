#ifndef SAMPHIRESAIL_COMPONENTS_LIMITS_RATEBUCKET_HPP
#define SAMPHIRESAIL_COMPONENTS_LIMITS_RATEBUCKET_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::limits {

/// Identifies a grant at the holder that issued it.
struct GrantKey
{
  ids::ProcessId mRequester;
  units::Incarnation mIncarnation;
  std::uint64_t mNonce{ 0 };

  auto operator<=>(const GrantKey&) const = default;
};

/// Token bucket for a holder's share of one client account. The level plus the unspent
/// tokens of outstanding grants never exceeds the capacity, so that the tokens spent in
/// any window do not exceed the capacity plus the refill of that window.
class RateBucket
{
public:
  /// Starts with an empty bucket and no capacity.
  RateBucket(timing::Instant aStart, timing::Duration aGrantLife);

  /// Sets refill per second and capacity. A smaller capacity lowers the level at once;
  /// a larger one does not raise it.
  void SetLimits(units::TokensPerSecond aRate,
                 units::Tokens aCapacity,
                 timing::Instant aNow);

  /// Fills the bucket. Only valid for the first share assigned for an account.
  void Fill();

  /// Grants up to aWanted tokens; 0 if there are none or the key was used before.
  units::Tokens Grant(const GrantKey& aKey, units::Tokens aWanted, timing::Instant aNow);

  /// Records how much of a grant was spent. Closing a grant returns its unspent tokens to
  /// the bucket.
  void Report(const GrantKey& aKey,
              units::Tokens aSpent,
              bool aClosed,
              timing::Instant aNow);

  /// Returns unused tokens of a charge to the bucket. aSpent is the total spent from
  /// the grant after the charge and identifies the charge. Returns the tokens accepted:
  /// at most the smallest free capacity since the charge was reported, and none for a
  /// charge refunded before.
  units::Tokens Refund(const GrantKey& aKey,
                       units::Tokens aSpent,
                       units::Tokens aTokens,
                       timing::Instant aNow);

  /// Returns the tokens that could be granted now.
  units::Tokens Level(timing::Instant aNow);

private:
  /// First history point at which the tokens up to mSpent no longer count as outstanding.
  struct ReportPoint
  {
    std::int64_t mSpent{ 0 };
    std::uint64_t mHistoryIndex{ 0 };
  };

  struct GrantState
  {
    std::int64_t mTokens{ 0 };
    std::int64_t mSpent{ 0 };
    timing::Instant mExpiry;
    bool mClosed{ false };
    std::vector<ReportPoint> mReports;
    std::set<std::int64_t> mRefundedCharges;
  };

  /// Smallest free capacity from mFrom until the next point.
  struct HistoryPoint
  {
    timing::Instant mFrom;
    double mFreeCapacity{ 0.0 };
  };

  void Advance(timing::Instant aNow);
  void CloseGrant(GrantState& aGrant);
  void EraseOld(timing::Instant aNow);
  void RecordFreeCapacity();
  std::uint64_t BeginHistoryPoint();
  double FreeCapacity() const;

  timing::Instant mAdvancedTo;
  timing::Duration mGrantLife;
  double mRate{ 0.0 };
  double mCapacity{ 0.0 };
  double mLevel{ 0.0 };
  double mOutstandingTokens{ 0.0 };
  std::map<GrantKey, GrantState> mGrants;
  /// Grants in the order of their expiry; the first mExpiredCount have expired.
  std::deque<GrantKey> mByExpiry;
  std::size_t mExpiredCount{ 0 };
  std::deque<HistoryPoint> mHistory;
  std::uint64_t mHistoryBegin{ 0 };
};

}

#endif
