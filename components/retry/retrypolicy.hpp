#ifndef SAMPHIRESAIL_COMPONENTS_RETRY_RETRYPOLICY_HPP
#define SAMPHIRESAIL_COMPONENTS_RETRY_RETRYPOLICY_HPP

#include <chrono>
#include <cstdint>
#include <random>

namespace samphiresail::retry {

/// Why an attempt that has not run came back.
enum class Failure
{
  /// Ticket, configuration version or incarnation was old; the same endpoint may answer.
  Stale,
  /// The endpoint is leaving, down or without the model; another one may answer.
  Elsewhere,
  /// The endpoint is in cold start or its queue is full.
  Overload,
  /// Another attempt cannot succeed.
  Final,
};

enum class RetryAction
{
  GiveUp,
  /// Sends again at once; costs no budget because nothing was queued.
  Resend,
  /// Tries another endpoint after the delay; costs one retry of the budget.
  TryElsewhere,
};

struct RetryDecision
{
  RetryAction mAction{ RetryAction::GiveUp };
  std::chrono::milliseconds mDelay{ 0 };
};

/// Attempts of a request that came back so far, by kind.
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
  /// An overload is tried elsewhere once; after that the caller is told when to return.
  std::uint32_t mOverload{ 1 };
  std::chrono::milliseconds mBaseDelay{ 5 };
  std::chrono::milliseconds mMaxDelay{ 200 };
};

/// Returns a delay drawn evenly from zero to the base doubled once for each retry, up to
/// the maximum.
std::chrono::milliseconds BackoffDelay(const RetryLimits& aLimits,
                                       std::uint32_t aRetry,
                                       std::mt19937_64& aGenerator);

/// Decides what follows a failed attempt and counts it in aHistory. A decision to try
/// elsewhere still needs a retry from the account's budget.
RetryDecision DecideRetry(const RetryLimits& aLimits,
                          Failure aFailure,
                          RetryHistory& aHistory,
                          std::mt19937_64& aGenerator);

}

#endif
