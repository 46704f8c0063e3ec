#ifndef SAMPHIRESAIL_COMPONENTS_LIMITS_CREDITPOOL_HPP
#define SAMPHIRESAIL_COMPONENTS_LIMITS_CREDITPOOL_HPP

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::limits {

/// Identifies a grant by the entry that issued it and the nonce of the request for it.
struct GrantOrigin
{
  ids::ProcessId mHolder;
  std::uint64_t mNonce{ 0 };
};

/// Portion of a charge that was spent from one grant.
struct ChargePart
{
  std::shared_ptr<const GrantOrigin> mOrigin;
  units::Tokens mTokens;
  /// Total tokens spent from the grant, including this portion.
  units::Tokens mSpent;
};

/// Tokens spent by an admitted request and the grants from which they were taken.
struct Charge
{
  ids::ClientAccountId mAccount;
  units::Tokens mTokens;
  timing::Instant mAt;
  std::vector<ChargePart> mParts;
};

/// Unused tokens to be returned to the entry that issued the grant.
struct Refund
{
  ids::ClientAccountId mAccount;
  GrantOrigin mOrigin;
  units::Tokens mTokens;
  /// Total tokens spent from the grant, up to and including the refunded charge.
  units::Tokens mSpent;
};

/// State of one grant at the time of a report.
struct GrantUse
{
  GrantOrigin mOrigin;
  units::Tokens mSpent;
  /// True if nothing more will be spent from the grant.
  bool mClosed{ false };
};

/// Charges, demand and grant use of one client account since the last report.
struct AccountActivity
{
  ids::ClientAccountId mAccount;
  units::Tokens mCharged;
  /// Tokens for which callers are waiting now.
  units::Tokens mWaiting;
  /// Unspent tokens of unexpired grants.
  units::Tokens mAvailable;
  std::vector<GrantUse> mUses;
};

/// Unspent grants of all client accounts, to which the traffic threads charge
/// requests. All functions may be called from any thread.
class CreditPool
{
public:
  /// Called on the thread that starts to wait for credit.
  using DemandCallback = std::function<void()>;

  explicit CreditPool(DemandCallback aOnDemand = {});

  /// Spends unexpired credit. Returns nullopt and spends nothing if it does not suffice.
  std::optional<Charge> TryCharge(const ids::ClientAccountId& aAccount,
                                  units::Tokens aTokens,
                                  timing::Instant aNow);

  /// Spends credit as soon as there is enough; returns nullopt after the timeout.
  std::optional<Charge> WaitForCredit(const ids::ClientAccountId& aAccount,
                                      units::Tokens aTokens,
                                      const timing::Clock& aClock,
                                      timing::Duration aTimeout);

  /// Adds a grant that may be spent until its expiry and wakes the waiting callers.
  void AddGrant(const ids::ClientAccountId& aAccount,
                GrantOrigin aOrigin,
                units::Tokens aTokens,
                timing::Instant aExpiry);

  /// Expires all grants of an account, so that their unspent tokens return to the
  /// holders.
  void EndGrants(const ids::ClientAccountId& aAccount, timing::Instant aNow);

  /// Queues refunds for the unused part of a charge.
  void RefundUnused(const Charge& aCharge, units::Tokens aUnused);

  /// Adds aChange, which may be negative, to the tokens for which callers wait without
  /// blocking a thread. The caller subtracts the same amount at the end of its wait.
  void ChangeWaiting(const ids::ClientAccountId& aAccount, units::Tokens aChange);

  /// Returns and clears the refunds queued since the last call.
  std::vector<Refund> TakeRefunds();

  /// Returns the activity of all known accounts since the last call and erases the grants
  /// that are used up or expired.
  std::vector<AccountActivity> TakeActivity(timing::Instant aNow);

private:
  struct Grant
  {
    std::shared_ptr<const GrantOrigin> mOrigin;
    std::int64_t mTokens{ 0 };
    std::int64_t mSpent{ 0 };
    std::int64_t mReported{ 0 };
    timing::Instant mExpiry;
  };

  struct Account
  {
    std::vector<Grant> mGrants;
    std::int64_t mCharged{ 0 };
    std::int64_t mWaiting{ 0 };
  };

  struct Shard
  {
    std::mutex mMutex;
    std::condition_variable mGranted;
    std::unordered_map<ids::ClientAccountId, Account> mAccounts;
  };

  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(const ids::ClientAccountId& aAccount);
  static std::optional<Charge> Spend(Account& aState,
                                     const ids::ClientAccountId& aAccount,
                                     units::Tokens aTokens,
                                     timing::Instant aNow);
  static AccountActivity ReportActivity(const ids::ClientAccountId& aAccount,
                                        Account& aState,
                                        timing::Instant aNow);

  std::array<Shard, kShards> mShards;
  std::mutex mRefundMutex;
  std::vector<Refund> mRefunds;
  DemandCallback mOnDemand;
};

}

#endif
