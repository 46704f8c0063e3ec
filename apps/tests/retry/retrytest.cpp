#include <catch2/catch.hpp>

#include "components/retry/retrybudget.hpp"
#include "components/retry/retrypolicy.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using retry::Failure;
using retry::RetryAction;

TEST_CASE("retry budget limits the retries of an account to a fraction of its requests")
{
  retry::RetryBudget budget({ .mRatio = 0.1, .mPerSecond = 0.0, .mBurst = 5.0 });
  const ids::ClientAccountId account("a");
  const timing::Instant now{ 1h };
  int retries = 0;
  for (int it = 0; it < 1000; ++it) {
    budget.RecordRequest(account, now);
    retries += budget.TrySpend(account, now) ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 105);
  CHECK(budget.TrySpend(ids::ClientAccountId("other"), now));
}

TEST_CASE("retry budget refills slowly for a quiet account")
{
  retry::RetryBudget budget({ .mRatio = 0.1, .mPerSecond = 0.5, .mBurst = 1.0 });
  const ids::ClientAccountId account("a");
  const timing::Instant now{ 1h };
  CHECK(budget.TrySpend(account, now));
  CHECK_FALSE(budget.TrySpend(account, now + 1s));
  CHECK(budget.TrySpend(account, now + 2s));
}

TEST_CASE("an overload is retried at another endpoint only once")
{
  std::mt19937_64 generator(7);
  retry::RetryHistory history;
  const retry::RetryLimits limits;
  const auto first = DecideRetry(limits, Failure::Overload, history, generator);
  CHECK(first.mAction == RetryAction::TryElsewhere);
  const auto second = DecideRetry(limits, Failure::Overload, history, generator);
  CHECK(second.mAction == RetryAction::GiveUp);
  const auto final = DecideRetry(limits, Failure::Final, history, generator);
  CHECK(final.mAction == RetryAction::GiveUp);
}

TEST_CASE("attempts rejected as stale are sent again a bounded number of times")
{
  std::mt19937_64 generator(7);
  retry::RetryHistory history;
  const retry::RetryLimits limits{ .mStale = 2 };
  using retry::DecideRetry;
  CHECK(DecideRetry(limits, Failure::Stale, history, generator).mAction ==
        RetryAction::Resend);
  CHECK(DecideRetry(limits, Failure::Stale, history, generator).mAction ==
        RetryAction::Resend);
  CHECK(DecideRetry(limits, Failure::Stale, history, generator).mAction ==
        RetryAction::GiveUp);
}

TEST_CASE("backoff is jittered and bounded")
{
  std::mt19937_64 generator(7);
  const retry::RetryLimits limits{ .mBaseDelay = 10ms, .mMaxDelay = 100ms };
  std::chrono::milliseconds longest{ 0 };
  for (std::uint32_t it = 0; it < 1000; ++it) {
    const auto delay = BackoffDelay(limits, it, generator);
    CHECK(delay >= 0ms);
    CHECK(delay <= 100ms);
    longest = std::max(longest, delay);
  }
  CHECK(longest > 80ms);
  CHECK(BackoffDelay(limits, 0, generator) <= 10ms);
}
