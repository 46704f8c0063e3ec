#ifndef SAMPHIRESAIL_COMPONENTS_RETRY_RETRYBUDGET_HPP
#define SAMPHIRESAIL_COMPONENTS_RETRY_RETRYBUDGET_HPP

#include <mutex>
#include <unordered_map>

#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::retry {

struct RetryBudgetOptions
{
  /// Retries earned by each first attempt.
  double mRatio{ 0.1 };
  /// Retries per second that an account earns regardless of its traffic, so that one with
  /// few requests can retry as well.
  double mPerSecond{ 0.2 };
  /// Maximum retries that an account can accumulate.
  double mBurst{ 10.0 };
};

/// Limits the retries of each client account to a fraction of its first attempts, so that
/// retries do not amplify an overload. Thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(const RetryBudgetOptions& aOptions = {});

  /// Adds the retries earned by one first attempt.
  void RecordRequest(const ids::ClientAccountId& aAccount, timing::Instant aNow);

  /// Spends one retry; returns false if the account has none left.
  bool TrySpend(const ids::ClientAccountId& aAccount, timing::Instant aNow);

private:
  struct Balance
  {
    double mRetries{ 0.0 };
    timing::Instant mRefilledAt{};
  };

  Balance& Refill(const ids::ClientAccountId& aAccount, timing::Instant aNow);

  RetryBudgetOptions mOptions;
  std::mutex mMutex;
  std::unordered_map<ids::ClientAccountId, Balance> mBalances;
};

}

#endif
