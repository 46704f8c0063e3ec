#include "components/retry/retrybudget.hpp"

#include <algorithm>
#include <chrono>

namespace samphiresail::retry {

RetryBudget::RetryBudget(const RetryBudgetOptions& aOptions)
  : mOptions(aOptions)
{
}

void RetryBudget::RecordRequest(const ids::ClientAccountId& aAccount,
                                timing::Instant aNow)
{
  const std::lock_guard lock(mMutex);
  Balance& balance = Refill(aAccount, aNow);
  balance.mRetries = std::min(balance.mRetries + mOptions.mRatio, mOptions.mBurst);
}

bool RetryBudget::TrySpend(const ids::ClientAccountId& aAccount, timing::Instant aNow)
{
  const std::lock_guard lock(mMutex);
  Balance& balance = Refill(aAccount, aNow);
  if (balance.mRetries < 1.0) {
    return false;
  }
  balance.mRetries -= 1.0;
  return true;
}

RetryBudget::Balance& RetryBudget::Refill(const ids::ClientAccountId& aAccount,
                                          timing::Instant aNow)
{
  const auto [it, added] =
    mBalances.try_emplace(aAccount, Balance{ mOptions.mBurst, aNow });
  Balance& balance = it->second;
  if (aNow > balance.mRefilledAt) {
    const std::chrono::duration<double> elapsed = aNow - balance.mRefilledAt;
    balance.mRetries =
      std::min(balance.mRetries + elapsed.count() * mOptions.mPerSecond, mOptions.mBurst);
    balance.mRefilledAt = aNow;
  }
  return balance;
}

}
