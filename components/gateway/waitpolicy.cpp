#include "components/gateway/waitpolicy.hpp"

#include <algorithm>

namespace samphiresail::gateway {

namespace {

/// Target latencies below this do not shorten the queues at the engines any further.
constexpr Milliseconds kMinTarget{ 150.0 };

// Longest waits at an engine, as fractions of the shortest target latency of the service.
/// The most urgent route.
constexpr double kUrgentFraction = 0.75;
/// Reduction for each rank below the most urgent one.
constexpr double kRankReduction = 0.1;
constexpr double kMinUrgentFraction = 0.5;
/// Added for callers that were refused before and can still be served in time.
constexpr double kReturnedBonus = 0.15;
constexpr double kMostFraction = kUrgentFraction + kReturnedBonus;
/// Latency-tolerant requests, when they arrive and when they reach their target. They try
/// for longer than urgent ones, so a higher fraction would serve them more often.
constexpr double kTolerantFraction = 0.05;
constexpr double kTolerantLateFraction = 0.35;
/// Requests that can no longer meet their target. What they find queued at an engine is
/// time that others would need to come in time.
constexpr double kLateFraction = 0.1;
/// The same for callers that were refused before. Under lasting overload a larger
/// fraction would serve only them, all too late.
constexpr double kLateReturnedFraction = 0.2;

/// Part of the target latency that is kept for the way back and for errors of forecasts.
constexpr double kTargetMargin = 0.1;
/// Fraction of its target latency for which a latency-tolerant request waits at the
/// entry.
constexpr double kTolerantEntryFraction = 0.5;
/// Fraction of the caller's remaining time for which a returned caller waits at the
/// entry.
constexpr double kReturnedEntryFraction = 0.3;

}

WaitAllowance AllowedWait(const RequestUrgency& aUrgency, Milliseconds aRead)
{
  const Milliseconds tightest = std::max(aUrgency.mTightestTarget, kMinTarget);
  const Milliseconds targetLeft =
    aUrgency.mTarget * (1.0 - kTargetMargin) - aUrgency.mElapsed - aRead;
  WaitAllowance allowance;
  if (aUrgency.mBegun) {
    allowance.mAtEngine = kMostFraction * tightest;
    allowance.mAtEntry = aUrgency.mTimeLeft + aUrgency.mWaited;
  } else if (aUrgency.mLatencyTolerant) {
    const double used = std::clamp(aUrgency.mElapsed / aUrgency.mTarget, 0.0, 1.0);
    const double fraction = kTolerantFraction +
                            used * (kTolerantLateFraction - kTolerantFraction) +
                            (aUrgency.mReturned ? kReturnedBonus : 0.0);
    allowance.mAtEngine = fraction * tightest;
    allowance.mBehind = kMostFraction * tightest - allowance.mAtEngine;
    allowance.mAtEntry = kTolerantEntryFraction * aUrgency.mTarget;
  } else {
    const double cap =
      std::max(kUrgentFraction - kRankReduction * aUrgency.mRank, kMinUrgentFraction);
    const bool onTime = targetLeft > Milliseconds(0);
    const double most = cap + (aUrgency.mReturned && onTime ? kReturnedBonus : 0.0);
    const double least = aUrgency.mReturned ? kLateReturnedFraction : kLateFraction;
    allowance.mAtEngine = std::clamp(targetLeft, least * tightest, most * tightest);
    allowance.mBehind = (kMostFraction - (onTime ? most : least)) * tightest;
    allowance.mAtEntry = std::max(targetLeft + aUrgency.mWaited, Milliseconds(0));
  }
  if (aUrgency.mOverShare && !aUrgency.mBegun) {
    allowance.mAtEngine =
      std::min(allowance.mAtEngine, Milliseconds(kTolerantLateFraction * tightest));
    allowance.mBehind = (kMostFraction - kTolerantLateFraction) * tightest;
  }
  if (aUrgency.mReturned) {
    allowance.mAtEntry =
      std::max(allowance.mAtEntry,
               kReturnedEntryFraction * (aUrgency.mTimeLeft + aUrgency.mWaited));
  }
  allowance.mAtEngine = std::min(allowance.mAtEngine, aUrgency.mTimeLeft);
  allowance.mAtEntry =
    std::min(allowance.mAtEntry, aUrgency.mTimeLeft + aUrgency.mWaited);
  return allowance;
}

WaitAllowance AllowedWaitWithoutUrgency(const RequestUrgency& aUrgency)
{
  return { std::min(aUrgency.mTarget, aUrgency.mTimeLeft),
           std::min(aUrgency.mTarget / 2, aUrgency.mTimeLeft + aUrgency.mWaited),
           Milliseconds(0) };
}

}
