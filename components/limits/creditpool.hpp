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

/// Identifies a grant at the holder that gave it.
struct GrantOrigin
{
  ids::ProcessId mHolder;
  std::uint64_t mNonce{ 0 };
};

/// Part of a charge that one grant paid for.
struct ChargePart
{
  std::shared_ptr<const GrantOrigin> mOrigin;
  units::Tokens mTokens;
  /// What was spent of the grant in total once this part was.
  units::Tokens mSpent;
};

/// Tokens that an admitted request has spent.
struct Charge
{
  ids::ClientAccountId mAccount;
  units::Tokens mTokens;
  timing::Instant mAt;
  std::vector<ChargePart> mParts;
};

/// Unused tokens to hand back to the holder of the grant that paid for them.
struct Refund
{
  ids::ClientAccountId mAccount;
  GrantOrigin mOrigin;
  units::Tokens mTokens;
  /// What was spent of the grant in total once the charge was paid.
  units::Tokens mSpent;
};

/// State of one grant at the time of a report.
struct GrantUse
{
  GrantOrigin mOrigin;
  units::Tokens mSpent;
  /// True if no more will be spent of it.
  bool mClosed{ false };
};

/// What happened at one client account since the last report.
struct AccountActivity
{
  ids::ClientAccountId mAccount;
  units::Tokens mCharged;
  /// Tokens for which callers wait at this moment.
  units::Tokens mWaiting;
  /// Tokens that unexpired grants still hold.
  units::Tokens mAvailable;
  std::vector<GrantUse> mUses;
};

/// Credit that the traffic threads spend. All functions may be called from any thread.
class CreditPool
{
public:
  /// Called by a traffic thread that has to wait for credit.
  using DemandCallback = std::function<void()>;

  explicit CreditPool(DemandCallback aOnDemand = {});

  /// Spends unexpired credit; returns nothing and spends nothing if there is too little.
  std::optional<Charge> TryCharge(const ids::ClientAccountId& aAccount,
                                  units::Tokens aTokens,
                                  timing::Instant aNow);

  /// Waits for credit until it can be spent or the timeout has passed.
  std::optional<Charge> WaitForCredit(const ids::ClientAccountId& aAccount,
                                      units::Tokens aTokens,
                                      const timing::Clock& aClock,
                                      timing::Duration aTimeout);

  /// Adds a grant that may be spent until its expiry and wakes the waiting callers.
  void AddGrant(const ids::ClientAccountId& aAccount,
                GrantOrigin aOrigin,
                units::Tokens aTokens,
                timing::Instant aExpiry);

  /// Ends all grants of an account, so that their rest goes back to the holders.
  void EndGrants(const ids::ClientAccountId& aAccount, timing::Instant aNow);

  /// Hands back the part of a charge that was not used.
  void RefundUnused(const Charge& aCharge, units::Tokens aUnused);

  /// States tokens that a caller waits for without a thread of its own, until it changes
  /// the statement by the same amount with the opposite sign.
  void ChangeWaiting(const ids::ClientAccountId& aAccount, units::Tokens aChange);

  /// Returns the refunds since the last call.
  std::vector<Refund> TakeRefunds();

  /// Reports all accounts with grants or demand, and forgets grants that are used up or
  /// expired.
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
  static AccountActivity Report(const ids::ClientAccountId& aAccount,
                                Account& aState,
                                timing::Instant aNow);

  std::array<Shard, kShards> mShards;
  std::mutex mRefundMutex;
  std::vector<Refund> mRefunds;
  DemandCallback mOnDemand;
};

}

#endif
