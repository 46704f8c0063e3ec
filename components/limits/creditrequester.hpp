#ifndef SAMPHIRESAIL_COMPONENTS_LIMITS_CREDITREQUESTER_HPP
#define SAMPHIRESAIL_COMPONENTS_LIMITS_CREDITREQUESTER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "components/limits/creditpool.hpp"
#include "components/limits/sharerecord.hpp"

namespace samphiresail::limits {

/// Request to a holder for tokens. It also reports the use of earlier grants, and mTokens
/// is 0 if it does only that.
struct CreditRequestMessage
{
  ids::ProcessId mHolder;
  ids::ClientAccountId mAccount;
  std::uint64_t mNonce{ 0 };
  units::Tokens mTokens;
  std::vector<GrantUse> mUses;
};

/// Grant of a holder's reply that may be added to the pool.
struct AcceptedGrant
{
  ids::ClientAccountId mAccount;
  GrantOrigin mOrigin;
  units::Tokens mTokens;
  timing::Instant mExpiry;
};

/// Decides how much credit this entry requests from which holder.
///
/// It requests the tokens for which callers are waiting plus a reserve for the recent
/// demand, normally from the nearest holder. While that holder is short of credit
/// because it granted less than requested, the request is split in proportion to the
/// shares over the holders that are not short, or over all if all are. So credit follows
/// the demand when the load balancer distributes requests unevenly.
class CreditRequester
{
public:
  explicit CreditRequester(timing::Duration aGrantLife);

  /// Returns the messages to send for one account. aNearest is the holder in the same
  /// availability zone, empty if there is none. With aFlush, the use of grants is
  /// reported without delay.
  std::vector<CreditRequestMessage> Plan(const AccountActivity& aActivity,
                                         const std::vector<LimitShare>& aShares,
                                         const ids::ProcessId& aNearest,
                                         bool aFlush,
                                         timing::Instant aNow);

  /// Handles the reply of a holder; returns nullopt if it is late, a duplicate or empty.
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
