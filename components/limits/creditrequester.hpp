#ifndef SAMPHIRESAIL_COMPONENTS_LIMITS_CREDITREQUESTER_HPP
#define SAMPHIRESAIL_COMPONENTS_LIMITS_CREDITREQUESTER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "components/limits/creditpool.hpp"
#include "components/limits/sharerecord.hpp"

namespace samphiresail::limits {

/// Request to a holder for tokens, which may be 0, with the use of earlier grants.
struct CreditRequestMessage
{
  ids::ProcessId mHolder;
  ids::ClientAccountId mAccount;
  std::uint64_t mNonce{ 0 };
  units::Tokens mTokens;
  std::vector<GrantUse> mUses;
};

/// Grant that may be added to the pool.
struct AcceptedGrant
{
  ids::ClientAccountId mAccount;
  GrantOrigin mOrigin;
  units::Tokens mTokens;
  timing::Instant mExpiry;
};

/// Decides how much credit this entry requests from which holder.
///
/// It requests what callers wait for plus a short reserve for the recent demand, at first
/// from the nearest holder. While that grants less than requested, the need is split
/// over the holders that are not short of credit, or all if all are, by their shares. So
/// credit follows the demand when the load balancer spreads requests unevenly.
class CreditRequester
{
public:
  explicit CreditRequester(timing::Duration aGrantLife);

  /// Returns the messages to send for one account. aNearest is the holder in the same
  /// availability zone, empty if there is none. aFlush reports the use of grants at once.
  std::vector<CreditRequestMessage> Plan(const AccountActivity& aActivity,
                                         const std::vector<LimitShare>& aShares,
                                         const ids::ProcessId& aNearest,
                                         bool aFlush,
                                         timing::Instant aNow);

  /// Handles the reply of a holder; returns nothing if it is late, a duplicate or empty.
  std::optional<AcceptedGrant> OnGrant(const ids::ProcessId& aHolder,
                                       std::uint64_t aNonce,
                                       units::Tokens aTokens,
                                       timing::Instant aNow);

  /// Returns true if an account has had no demand for so long that its credit should go
  /// back to the holders.
  bool IsIdle(const AccountActivity& aActivity, timing::Instant aNow) const;

private:
  struct Pending
  {
    ids::ClientAccountId mAccount;
    ids::ProcessId mHolder;
    std::int64_t mTokens{ 0 };
    timing::Instant mRequestedAt;
    bool mReplied{ false };
  };

  struct Demand
  {
    double mPerSecond{ 0.0 };
    std::optional<timing::Instant> mLastPlanAt;
    timing::Instant mLastDemandAt;
    /// Time until which a holder is treated as short of credit.
    std::map<ids::ProcessId, timing::Instant> mShortUntil;
    std::vector<GrantUse> mUnreported;
    timing::Instant mLastReportAt;
  };

  void UpdateDemand(Demand& aDemand,
                    const AccountActivity& aActivity,
                    timing::Instant aNow);
  std::int64_t TokensNeeded(const Demand& aDemand,
                            const AccountActivity& aActivity,
                            timing::Instant aNow) const;
  static std::map<ids::ProcessId, std::int64_t> SplitByHolder(
    const Demand& aDemand,
    std::int64_t aNeed,
    const std::vector<LimitShare>& aShares,
    const ids::ProcessId& aNearest,
    timing::Instant aNow);

  timing::Duration mGrantLife;
  std::uint64_t mLastNonce{ 0 };
  std::map<ids::ClientAccountId, Demand> mDemands;
  std::map<std::uint64_t, Pending> mPending;
};

}

#endif
