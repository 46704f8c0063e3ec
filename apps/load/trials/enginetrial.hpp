#ifndef SAMPHIRESAIL_APPS_LOAD_TRIALS_ENGINETRIAL_HPP
#define SAMPHIRESAIL_APPS_LOAD_TRIALS_ENGINETRIAL_HPP

#include <array>
#include <cstdint>
#include <string>

#include "apps/load/trials/simulatedengine.hpp"
#include "components/gateway/endpointchooser.hpp"

namespace samphiresail::load {

/// Kinds of requests in the trial: an urgent one with long prompts, a more urgent one
/// with short prompts and long responses, and one that can wait.
enum class EngineTrialClass
{
  LongPrompt,
  LongResponse,
  LatencyTolerant,
};
constexpr std::size_t kEngineTrialClasses = 3;

struct EngineTrialOptions
{
  std::uint64_t mSeed{ 1 };
  std::size_t mEntries{ 4 };
  std::size_t mEngines{ 6 };
  EngineFigures mFigures;
  /// Work that arrives, as a fraction of what all engines can read.
  double mLoad{ 0.6 };
  int mSeconds{ 40 };
  gateway::EnginePolicy mPolicy;
  /// The first engine is slower by this factor.
  double mFirstSlowness{ 1.0 };
  /// Number of different first parts of prompts.
  std::uint64_t mSharedParts{ 40 };
  /// Factors of the stated outputs of each class.
  std::array<double, kEngineTrialClasses> mOutputFactors{ 1.0, 1.0, 1.0 };
  /// Part of the stated output that responses have, at least and at most.
  double mLeastOutput{ 1.0 };
  double mMostOutput{ 1.0 };
  /// Client accounts that send at equal rates, and the factor by which the first of them
  /// sends more than the others; 0 accounts for requests without any.
  std::size_t mAccounts{ 0 };
  double mFirstFactor{ 1.0 };
};

struct EngineTrialClassResult
{
  std::size_t mAsked{ 0 };
  /// First token within the target latency, counted from the first attempt.
  std::size_t mOnTime{ 0 };
  std::size_t mLate{ 0 };
  std::size_t mRefused{ 0 };
  /// Responses that began and had not ended when the caller's time was over.
  std::size_t mCut{ 0 };
  double OnTime() const
  {
    return static_cast<double>(mOnTime) / static_cast<double>(mAsked);
  }
  double Served() const
  {
    return static_cast<double>(mOnTime + mLate) / static_cast<double>(mAsked);
  }
};

struct EngineTrialResult
{
  std::array<EngineTrialClassResult, kEngineTrialClasses> mClasses;
  /// Urgent requests of all accounts but the first.
  EngineTrialClassResult mOthers;
  /// Of callers that came back after a refusal.
  std::size_t mReturned{ 0 };
  std::size_t mReturnedServed{ 0 };
  /// Factor between forecast and time to the first token: median, and the largest of the
  /// better nine tenths of the requests.
  double mMedianErrorFactor{ 1.0 };
  double mErrorFactor90{ 1.0 };
  /// Fraction of the prompt tokens that engines did not have to read.
  double mKeptFraction{ 0.0 };
  /// Times that an engine preempted a request.
  std::size_t mPreemptions{ 0 };
};

/// Plays requests of several entries that decide by TrafficControl on simulated engines.
/// Entries report their loads to each other every 250 ms; messages take 1 ms.
EngineTrialResult RunEngineTrial(const EngineTrialOptions& aOptions);

}

#endif
