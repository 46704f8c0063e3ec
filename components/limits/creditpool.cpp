#include "components/limits/creditpool.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace samphiresail::limits {

CreditPool::CreditPool(DemandCallback aOnDemand)
  : mOnDemand(std::move(aOnDemand))
{
}

CreditPool::Shard& CreditPool::ShardOf(const ids::ClientAccountId& aAccount)
{
  return mShards.at(std::hash<ids::ClientAccountId>{}(aAccount) % kShards);
}

std::optional<Charge> CreditPool::Spend(Account& aState,
                                        const ids::ClientAccountId& aAccount,
                                        units::Tokens aTokens,
                                        timing::Instant aNow)
{
  const auto usable = [&](const Grant& aGrant) {
#ifndef SAMPHIRESAIL_MUTANT_GRANT_EXPIRY
    return aNow < aGrant.mExpiry ? aGrant.mTokens - aGrant.mSpent : 0;
#else
    return aGrant.mTokens - aGrant.mSpent;
#endif
  };
  const std::int64_t available = std::accumulate(
    aState.mGrants.begin(),
    aState.mGrants.end(),
    std::int64_t{ 0 },
    [&](std::int64_t aSum, const Grant& aGrant) { return aSum + usable(aGrant); });
  if (available < aTokens.Count()) {
    return std::nullopt;
  }
  Charge charge{ aAccount, aTokens, aNow, {} };
  std::int64_t missing = aTokens.Count();
  for (Grant& grant : aState.mGrants) {
    const std::int64_t part = std::min(missing, usable(grant));
    if (part > 0) {
      grant.mSpent += part;
      missing -= part;
      charge.mParts.push_back(
        { grant.mOrigin, units::Tokens(part), units::Tokens(grant.mSpent) });
    }
  }
  aState.mCharged += aTokens.Count();
  return charge;
}

std::optional<Charge> CreditPool::TryCharge(const ids::ClientAccountId& aAccount,
                                            units::Tokens aTokens,
                                            timing::Instant aNow)
{
  Shard& shard = ShardOf(aAccount);
  const std::lock_guard lock(shard.mMutex);
  return Spend(shard.mAccounts[aAccount], aAccount, aTokens, aNow);
}

std::optional<Charge> CreditPool::WaitForCredit(const ids::ClientAccountId& aAccount,
                                                units::Tokens aTokens,
                                                const timing::Clock& aClock,
                                                timing::Duration aTimeout)
{
  Shard& shard = ShardOf(aAccount);
  const timing::Instant deadline = aClock.Now() + aTimeout;
  std::unique_lock lock(shard.mMutex);
  Account& state = shard.mAccounts[aAccount];
  std::optional<Charge> charge = Spend(state, aAccount, aTokens, aClock.Now());
  if (charge) {
    return charge;
  }
  state.mWaiting += aTokens.Count();
  if (mOnDemand) {
    lock.unlock();
    mOnDemand();
    lock.lock();
  }
  shard.mGranted.wait_until(lock, deadline, [&] {
    charge = Spend(state, aAccount, aTokens, aClock.Now());
    return charge.has_value();
  });
  state.mWaiting -= aTokens.Count();
  return charge;
}

void CreditPool::AddGrant(const ids::ClientAccountId& aAccount,
                          GrantOrigin aOrigin,
                          units::Tokens aTokens,
                          timing::Instant aExpiry)
{
  Shard& shard = ShardOf(aAccount);
  {
    const std::lock_guard lock(shard.mMutex);
    shard.mAccounts[aAccount].mGrants.push_back(
      { std::make_shared<const GrantOrigin>(std::move(aOrigin)),
        aTokens.Count(),
        0,
        0,
        aExpiry });
  }
  shard.mGranted.notify_all();
}

void CreditPool::EndGrants(const ids::ClientAccountId& aAccount, timing::Instant aNow)
{
  Shard& shard = ShardOf(aAccount);
  const std::lock_guard lock(shard.mMutex);
  for (Grant& grant : shard.mAccounts[aAccount].mGrants) {
    grant.mExpiry = std::min(grant.mExpiry, aNow);
  }
}

void CreditPool::RefundUnused(const Charge& aCharge, units::Tokens aUnused)
{
  const std::lock_guard lock(mRefundMutex);
  std::int64_t missing = aUnused.Count();
  for (auto it = aCharge.mParts.rbegin(); it != aCharge.mParts.rend(); ++it) {
    const std::int64_t part = std::min(missing, it->mTokens.Count());
    if (part > 0) {
      missing -= part;
      mRefunds.push_back(
        { aCharge.mAccount, *it->mOrigin, units::Tokens(part), it->mSpent });
    }
  }
}

void CreditPool::ChangeWaiting(const ids::ClientAccountId& aAccount,
                               units::Tokens aChange)
{
  Shard& shard = ShardOf(aAccount);
  const std::lock_guard lock(shard.mMutex);
  shard.mAccounts[aAccount].mWaiting += aChange.Count();
}

std::vector<Refund> CreditPool::TakeRefunds()
{
  const std::lock_guard lock(mRefundMutex);
  return std::exchange(mRefunds, {});
}

AccountActivity CreditPool::ReportActivity(const ids::ClientAccountId& aAccount,
                                           Account& aState,
                                           timing::Instant aNow)
{
  AccountActivity activity{ aAccount,
                            units::Tokens(std::exchange(aState.mCharged, 0)),
                            units::Tokens(aState.mWaiting),
                            {},
                            {} };
  for (Grant& grant : aState.mGrants) {
    const bool closed = grant.mSpent == grant.mTokens || aNow >= grant.mExpiry;
    if (closed || grant.mSpent != grant.mReported) {
      activity.mUses.push_back({ *grant.mOrigin, units::Tokens(grant.mSpent), closed });
      grant.mReported = grant.mSpent;
    }
    if (closed) {
      grant.mOrigin.reset();
    } else {
      activity.mAvailable += units::Tokens(grant.mTokens - grant.mSpent);
    }
  }
  std::erase_if(aState.mGrants, [](const Grant& aGrant) { return !aGrant.mOrigin; });
  return activity;
}

std::vector<AccountActivity> CreditPool::TakeActivity(timing::Instant aNow)
{
  std::vector<AccountActivity> activities;
  for (Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    for (auto& [account, state] : shard.mAccounts) {
      activities.push_back(ReportActivity(account, state, aNow));
    }
  }
  return activities;
}

}
