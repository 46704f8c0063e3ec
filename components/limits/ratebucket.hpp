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

/// Identifies a grant among all that a holder gave.
struct GrantKey
{
  ids::ProcessId mRequester;
  units::Incarnation mIncarnation;
  std::uint64_t mNonce{ 0 };

  auto operator<=>(const GrantKey&) const = default;
};

/// Token bucket for a holder's share of one client account. The level plus what
/// outstanding grants may still spend never exceeds the capacity, so that over any window
/// the spent tokens stay below the capacity plus the refill.
class RateBucket
{
public:
  /// Starts with an empty bucket and no capacity.
  RateBucket(timing::Instant aStart, timing::Duration aGrantLife);

  /// Sets refill per second and capacity. A smaller capacity cuts the level at once; a
  /// larger one does not raise it.
  void SetLimits(units::TokensPerSecond aRate,
                 units::Tokens aCapacity,
                 timing::Instant aNow);

  /// Fills the bucket; only for the first share that an account ever had.
  void Fill();

  /// Grants up to the wanted tokens; 0 if there are none or the key was used before.
  units::Tokens Grant(const GrantKey& aKey, units::Tokens aWanted, timing::Instant aNow);

  /// Notes how much of a grant was spent. A closed grant returns its rest to the bucket.
  void Report(const GrantKey& aKey,
              units::Tokens aSpent,
              bool aClosed,
              timing::Instant aNow);

  /// Takes back unused tokens of the charge after which aSpent tokens of the grant were
  /// spent. Returns the tokens accepted: never more than the smallest free room since
  /// the charge was reported, and none for a charge that was refunded before.
  units::Tokens Refund(const GrantKey& aKey,
                       units::Tokens aSpent,
                       units::Tokens aTokens,
                       timing::Instant aNow);

  /// Returns the tokens that could be granted now.
  units::Tokens Level(timing::Instant aNow);

private:
  /// From which point of the history on a spent total is no longer outstanding.
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
    std::set<std::int64_t> mRefunded;
  };

  /// Smallest free room from an instant until that of the next point.
  struct RoomPoint
  {
    timing::Instant mFrom;
    double mRoom{ 0.0 };
  };

  void Advance(timing::Instant aNow);
  void CloseGrant(GrantState& aGrant);
  void ForgetOld(timing::Instant aNow);
  void NoteRoom();
  std::uint64_t BeginRoomPoint();
  double Room() const;

  timing::Instant mLast;
  timing::Duration mGrantLife;
  double mRate{ 0.0 };
  double mCapacity{ 0.0 };
  double mLevel{ 0.0 };
  double mOutstanding{ 0.0 };
  std::map<GrantKey, GrantState> mGrants;
  /// Grants in the order of their expiry: those before mOpen have expired.
  std::deque<GrantKey> mByExpiry;
  std::size_t mOpen{ 0 };
  std::deque<RoomPoint> mHistory;
  std::uint64_t mHistoryBegin{ 0 };
};

}

#endif
