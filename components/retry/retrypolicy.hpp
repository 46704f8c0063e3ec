#ifndef SAMPHIRESAIL_COMPONENTS_RETRY_RETRYPOLICY_HPP
#define SAMPHIRESAIL_COMPONENTS_RETRY_RETRYPOLICY_HPP

#include <chrono>
#include <cstdint>
#include <random>

namespace samphiresail::retry {

/// Why an attempt failed without having run.
enum class Failure
{
  /// The ticket, configuration version or incarnation was stale; the same endpoint may
  /// accept the attempt with fresh ones.
  Stale,
  /// The endpoint is leaving, down or lacks the model; another one may accept the
  /// attempt.
  Elsewhere,
  /// The endpoint is in cold start or its queue is full.
  Overload,
  /// No further attempt can succeed.
  Final,
};

enum class RetryAction
{
  GiveUp,
  /// Sends the attempt again without delay. Not charged to the budget because nothing was
  /// queued.
  Resend,
  /// Tries another endpoint after the delay and costs one retry of the budget.
  TryElsewhere,
};

struct RetryDecision
{
  RetryAction mAction{ RetryAction::GiveUp };
  std::chrono::milliseconds mDelay{ 0 };
};

/// Numbers of retries of a request so far, by the kind of failure that caused them.
struct RetryHistory
{
  std::uint32_t mStale{ 0 };
  std::uint32_t mElsewhere{ 0 };
  std::uint32_t mOverload{ 0 };
};

struct RetryLimits
{
  std::uint32_t mStale{ 3 };
  std::uint32_t mElsewhere{ 4 };
  /// After an overload one other endpoint is tried; then the caller receives the time
  /// after which it may retry.
  std::uint32_t mOverload{ 1 };
  std::chrono::milliseconds mBaseDelay{ 5 };
  std::chrono::milliseconds mMaxDelay{ 200 };
};

/// Returns an exponential backoff with full jitter: a uniform draw from zero to the base
/// delay doubled once for each retry, capped at the maximum delay.
std::chrono::milliseconds BackoffDelay(const RetryLimits& aLimits,
                                       std::uint32_t aRetry,
                                       std::mt19937_64& aGenerator);

/// Decides on the action after a failed attempt and counts it in aHistory. TryElsewhere
/// must also be charged to the account's retry budget.
RetryDecision DecideRetry(const RetryLimits& aLimits,
                          Failure aFailure,
                          RetryHistory& aHistory,
                          std::mt19937_64& aGenerator);

}

#endif
