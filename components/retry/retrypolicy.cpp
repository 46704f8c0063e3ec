#include "components/retry/retrypolicy.hpp"

#include <algorithm>

namespace samphiresail::retry {

namespace {

constexpr std::uint32_t kMaxDoublings = 16;

RetryDecision DecideElsewhere(const RetryLimits& aLimits,
                              std::uint32_t aLimit,
                              std::uint32_t& aCount,
                              std::mt19937_64& aGenerator)
{
  if (aCount >= aLimit) {
    return {};
  }
  const auto delay = BackoffDelay(aLimits, aCount, aGenerator);
  ++aCount;
  return { RetryAction::TryElsewhere, delay };
}

}

std::chrono::milliseconds BackoffDelay(const RetryLimits& aLimits,
                                       std::uint32_t aRetry,
                                       std::mt19937_64& aGenerator)
{
  const auto doublings = std::min(aRetry, kMaxDoublings);
  const auto maxDelay =
    std::min(aLimits.mBaseDelay * (1U << doublings), aLimits.mMaxDelay);
  std::uniform_int_distribution<std::int64_t> delay(0, maxDelay.count());
  return std::chrono::milliseconds(delay(aGenerator));
}

RetryDecision DecideRetry(const RetryLimits& aLimits,
                          Failure aFailure,
                          RetryHistory& aHistory,
                          std::mt19937_64& aGenerator)
{
  switch (aFailure) {
    case Failure::Stale:
      if (aHistory.mStale >= aLimits.mStale) {
        return {};
      }
      ++aHistory.mStale;
      return { RetryAction::Resend, {} };
    case Failure::Elsewhere:
      return DecideElsewhere(
        aLimits, aLimits.mElsewhere, aHistory.mElsewhere, aGenerator);
    case Failure::Overload:
      return DecideElsewhere(aLimits, aLimits.mOverload, aHistory.mOverload, aGenerator);
    case Failure::Final:
      break;
  }
  return {};
}

}
