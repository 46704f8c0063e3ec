#ifndef SAMPHIRESAIL_APPS_LOAD_TRIALS_CREDITTRIAL_HPP
#define SAMPHIRESAIL_APPS_LOAD_TRIALS_CREDITTRIAL_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace samphiresail::load {

/// How the balancer spreads the requests over the entries.
enum class Spread
{
  Even,
  /// All to one entry.
  One,
  /// All to one entry, another one every five seconds.
  Wandering,
};

enum class CreditPolicy
{
  /// Shares with holders, and grants where the demand is.
  Grants,
  /// Baseline: each entry has an equal part of rate and burst for itself.
  StaticSplit,
};

struct CreditTrialOptions
{
  std::uint64_t mSeed{ 1 };
  std::size_t mEntries{ 3 };
  /// Mean demand as a share of the account's rate.
  double mDemand{ 0.8 };
  Spread mSpread{ Spread::One };
  CreditPolicy mPolicy{ CreditPolicy::Grants };
  int mSeconds{ 120 };
};

struct CreditTrialResult
{
  std::size_t mRequests{ 0 };
  /// Requests that one central bucket admits.
  std::size_t mInside{ 0 };
  /// Requests inside the rate that the entries refused.
  std::size_t mWrongful{ 0 };
  /// Tokens used by admitted requests, and by those that one central bucket admits.
  std::int64_t mTokens{ 0 };
  std::int64_t mInsideTokens{ 0 };
  /// Greatest use of the burst that the observer saw, over the burst; above 1 the account
  /// exceeded rate and burst in some window.
  double mPeakBurst{ 0.0 };
  double mMeanWaitMs{ 0.0 };
  std::size_t mMessages{ 0 };
};

/// Runs the credit cores of several entries with messages that take 1.5 ms one way.
CreditTrialResult RunCreditTrial(const CreditTrialOptions& aOptions);

}

#endif
