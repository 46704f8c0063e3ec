#include "apps/load/trials/trialcommands.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <numeric>

#include <CLI/CLI.hpp>

#include "apps/load/trials/credittrial.hpp"
#include "apps/load/trials/enginetrial.hpp"
#include "apps/load/trials/queuetrial.hpp"
#include "apps/load/trials/routetrial.hpp"
#include "components/catalogue/configurationcodec.hpp"

namespace samphiresail::load {

namespace {

struct SeedRange
{
  std::uint64_t mFirst{ 1 };
  std::uint64_t mCount{ 5 };
};

void PrintCredit(const SeedRange& aSeeds, CreditTrialOptions aOptions, const char* aName)
{
  CreditTrialResult total;
  for (std::uint64_t it = 0; it < aSeeds.mCount; ++it) {
    aOptions.mSeed = aSeeds.mFirst + it;
    const auto result = RunCreditTrial(aOptions);
    total.mRequests += result.mRequests;
    total.mInside += result.mInside;
    total.mWrongful += result.mWrongful;
    total.mMessages += result.mMessages;
    total.mTokens += result.mTokens;
    total.mInsideTokens += result.mInsideTokens;
    total.mMeanWaitMs += result.mMeanWaitMs / static_cast<double>(aSeeds.mCount);
    total.mPeakBurst = std::max(total.mPeakBurst, result.mPeakBurst);
  }
  const double wrongful =
    100.0 * static_cast<double>(total.mWrongful) / static_cast<double>(total.mInside);
  const double seconds = static_cast<double>(aSeeds.mCount) * aOptions.mSeconds;
  std::printf(
    "%-28s entries %2zu demand %.2f requests %6zu inside %6zu wrongful %5zu = "
    "%.3f %% tokens of ideal %.3f peak burst %.2f mean wait %.2f ms messages/s %.0f\n",
    aName,
    aOptions.mEntries,
    aOptions.mDemand,
    total.mRequests,
    total.mInside,
    total.mWrongful,
    wrongful,
    static_cast<double>(total.mTokens) / static_cast<double>(total.mInsideTokens),
    total.mPeakBurst,
    total.mMeanWaitMs,
    static_cast<double>(total.mMessages) / seconds);
}

void RunCredit(const SeedRange& aSeeds)
{
  struct Case
  {
    const char* mName;
    Spread mSpread;
    CreditPolicy mPolicy;
  };
  constexpr std::array kCases{
    Case{ "grants, even", Spread::Even, CreditPolicy::Grants },
    Case{ "static split, even", Spread::Even, CreditPolicy::StaticSplit },
    Case{ "grants, one entry", Spread::One, CreditPolicy::Grants },
    Case{ "static split, one entry", Spread::One, CreditPolicy::StaticSplit },
    Case{ "grants, wandering", Spread::Wandering, CreditPolicy::Grants },
    Case{ "static split, wandering", Spread::Wandering, CreditPolicy::StaticSplit },
  };
  for (const std::size_t entries : { 3U, 6U }) {
    for (const double demand : { 0.6, 0.8, 5.0 }) {
      for (const Case& it : kCases) {
        CreditTrialOptions options;
        options.mEntries = entries;
        options.mDemand = demand;
        options.mSpread = it.mSpread;
        options.mPolicy = it.mPolicy;
        options.mSeconds = demand > 1.0 ? 20 : 120;
        PrintCredit(aSeeds, options, it.mName);
      }
    }
  }
}

void Merge(QueueTrialResult& aTotal, const QueueTrialResult& aResult)
{
  const auto add = [](auto& aInto, const auto& aFrom) {
    for (const auto& [key, attained] : aFrom) {
      aInto[key].mRequests += attained.mRequests;
      aInto[key].mInTime += attained.mInTime;
    }
  };
  add(aTotal.mByClass, aResult.mByClass);
  add(aTotal.mByAccount, aResult.mByAccount);
}

void PrintQueue(const SeedRange& aSeeds, QueueTrialOptions aOptions, const char* aName)
{
  QueueTrialResult total;
  for (std::uint64_t it = 0; it < aSeeds.mCount; ++it) {
    aOptions.mSeed = aSeeds.mFirst + it;
    Merge(total, RunQueueTrial(aOptions));
  }
  std::printf("%-8s load %.2f excess %.0f batch %.2f |",
              aName,
              aOptions.mLoad,
              aOptions.mExcess,
              aOptions.mBatch);
  for (const auto& [requestClass, attained] : total.mByClass) {
    std::printf(" %s %.2f%%",
                std::string(catalogue::ClassName(requestClass)).c_str(),
                100.0 * attained.Share());
  }
  double worst = 1.0;
  double sum = 0.0;
  for (const auto& [account, attained] : total.mByAccount) {
    if (account != "federation") {
      worst = std::min(worst, attained.Share());
      sum += attained.Share();
    }
  }
  std::printf(" | worst club %.2f%% mean club %.2f%% federation %.2f%%\n",
              100.0 * worst,
              100.0 * sum / static_cast<double>(total.mByAccount.size() - 1),
              100.0 * total.mByAccount["federation"].Share());
}

void RunQueue(const SeedRange& aSeeds)
{
  for (const double load : { 0.6, 0.8, 0.9 }) {
    for (const double excess : { 1.0, 5.0 }) {
      QueueTrialOptions options;
      options.mLoad = load;
      options.mExcess = excess;
      options.mPolicy = QueuePolicy::Fair;
      PrintQueue(aSeeds, options, "fair");
      options.mPolicy = QueuePolicy::FirstInFirstOut;
      PrintQueue(aSeeds, options, "fifo");
    }
  }
}

void PrintRoute(const SeedRange& aSeeds, RouteTrialOptions aOptions, const char* aName)
{
  RouteTrialResult total;
  const auto count = static_cast<double>(aSeeds.mCount);
  for (std::uint64_t it = 0; it < aSeeds.mCount; ++it) {
    aOptions.mSeed = aSeeds.mFirst + it;
    const auto result = RunRouteTrial(aOptions);
    total.mRequests += result.mRequests;
    total.mMedianWaitMs += result.mMedianWaitMs / count;
    total.mP99WaitMs += result.mP99WaitMs / count;
    total.mInTime += result.mInTime / count;
    total.mPrefixHits += result.mPrefixHits / count;
  }
  std::printf("%-12s entries %3zu endpoints %3zu slow %2zu prefixes %4zu load %.2f | "
              "requests %7zu wait p50 %.1f ms p99 %.1f ms in time %.2f%% prefix hits "
              "%.1f%%\n",
              aName,
              aOptions.mEntries,
              aOptions.mEndpoints,
              aOptions.mSlow,
              aOptions.mPrefixes,
              aOptions.mLoad,
              total.mRequests,
              total.mMedianWaitMs,
              total.mP99WaitMs,
              100.0 * total.mInTime,
              100.0 * total.mPrefixHits);
}

void RunRoute(const SeedRange& aSeeds)
{
  struct Case
  {
    std::size_t mEntries;
    std::size_t mEndpoints;
    std::size_t mSlow;
    std::size_t mPrefixes;
  };
  constexpr std::array kCases{ Case{ 3, 10, 0, 0 },   Case{ 3, 10, 1, 0 },
                               Case{ 3, 10, 1, 100 }, Case{ 3, 10, 1, 1000000 },
                               Case{ 30, 10, 1, 0 },  Case{ 30, 60, 6, 500 } };
  for (const Case& it : kCases) {
    for (const double load : { 0.8, 0.9 }) {
      RouteTrialOptions options;
      options.mEntries = it.mEntries;
      options.mEndpoints = it.mEndpoints;
      options.mSlow = it.mSlow;
      options.mPrefixes = it.mPrefixes;
      options.mLoad = load;
      options.mSeconds = it.mEndpoints > 10 ? 30 : 120;
      PrintRoute(aSeeds, options, "power-of-two");
      options.mPolicy = RoutePolicy::RoundRobin;
      PrintRoute(aSeeds, options, "round-robin");
      options.mPolicy = RoutePolicy::Random;
      PrintRoute(aSeeds, options, "random");
    }
  }
}

void PrintEngine(const SeedRange& aSeeds, EngineTrialOptions aOptions, const char* aName)
{
  EngineTrialResult total;
  total.mMedianErrorFactor = 0.0;
  total.mErrorFactor90 = 0.0;
  const auto count = static_cast<double>(aSeeds.mCount);
  for (std::uint64_t it = 0; it < aSeeds.mCount; ++it) {
    aOptions.mSeed = aSeeds.mFirst + it;
    const EngineTrialResult result = RunEngineTrial(aOptions);
    for (std::size_t i = 0; i < kEngineTrialClasses; ++i) {
      total.mClasses[i].mAsked += result.mClasses[i].mAsked;
      total.mClasses[i].mOnTime += result.mClasses[i].mOnTime;
      total.mClasses[i].mLate += result.mClasses[i].mLate;
      total.mClasses[i].mCut += result.mClasses[i].mCut;
    }
    total.mOthers.mAsked += result.mOthers.mAsked;
    total.mOthers.mOnTime += result.mOthers.mOnTime;
    total.mReturned += result.mReturned;
    total.mReturnedServed += result.mReturnedServed;
    total.mMedianErrorFactor += result.mMedianErrorFactor / count;
    total.mErrorFactor90 += result.mErrorFactor90 / count;
    total.mKeptFraction += result.mKeptFraction / count;
    total.mPreemptions += result.mPreemptions;
  }
  std::printf("%-16s entries %zu engines %zu load %.1f slow %.0f |",
              aName,
              aOptions.mEntries,
              aOptions.mEngines,
              aOptions.mLoad,
              aOptions.mFirstSlowness);
  constexpr std::array kNames{ "long prompt", "long response", "tolerant" };
  for (std::size_t i = 0; i < kEngineTrialClasses; ++i) {
    std::printf(" %s on time %.1f%% served %.1f%% cut %zu",
                kNames[i],
                100.0 * total.mClasses[i].OnTime(),
                100.0 * total.mClasses[i].Served(),
                total.mClasses[i].mCut);
  }
  std::printf(
    " | returned %zu served %zu | forecast factor p50 %.2f p90 %.2f | kept %.1f%% "
    "| preemptions %zu | other accounts on time %.1f%%\n",
    total.mReturned,
    total.mReturnedServed,
    total.mMedianErrorFactor,
    total.mErrorFactor90,
    100.0 * total.mKeptFraction,
    total.mPreemptions,
    total.mOthers.mAsked > 0 ? 100.0 * total.mOthers.OnTime() : 0.0);
}

void RunEngine(const SeedRange& aSeeds)
{
  struct Case
  {
    const char* mName;
    gateway::EnginePolicy mPolicy;
  };
  constexpr std::array kCases{
    Case{ "work", {} },
    Case{ "slots", { false, true, true, false } },
    Case{ "no kept parts", { true, false, true } },
    Case{ "no urgency", { true, true, false } },
    Case{ "none of them", { false, false, false, false } },
  };
  for (const double slowness : { 1.0, 4.0 }) {
    for (const double load : { 0.5, 0.8, 1.3 }) {
      for (const Case& it : kCases) {
        EngineTrialOptions options;
        options.mLoad = load;
        options.mFirstSlowness = slowness;
        options.mPolicy = it.mPolicy;
        PrintEngine(aSeeds, options, it.mName);
      }
    }
  }
}

/// Plays engines whose memory is full before their slots are.
void RunMemory(const SeedRange& aSeeds)
{
  struct Case
  {
    const char* mName;
    gateway::EnginePolicy mPolicy;
  };
  constexpr std::array kCases{
    Case{ "memory", {} },
    Case{ "forecast waits", { true, true, true, false } },
  };
  for (const double load : { 0.3, 0.5, 0.7, 1.0 }) {
    for (const Case& it : kCases) {
      EngineTrialOptions options;
      options.mEntries = 12;
      options.mLoad = load;
      options.mFigures.mPreempts = true;
      options.mFigures.mMemoryTokens = 48000.0;
      options.mFigures.mChunkTokens = 2048.0;
      options.mFigures.mReadTime = gateway::Milliseconds(0.02);
      options.mOutputFactors = { 10.0, 4.0, 30.0 };
      options.mLeastOutput = 0.2;
      options.mMostOutput = 0.6;
      options.mPolicy = it.mPolicy;
      PrintEngine(aSeeds, options, it.mName);
    }
  }
}

/// Plays an account that sends six times its usual rate.
void RunAccounts(const SeedRange& aSeeds)
{
  struct Case
  {
    const char* mName;
    double mFirstFactor;
    bool mByAccount;
  };
  constexpr std::array kCases{ Case{ "usual rates", 1.0, true },
                               Case{ "shares", 6.0, true },
                               Case{ "no shares", 6.0, false } };
  struct Fleet
  {
    std::size_t mEntries;
    std::size_t mEngines;
  };
  for (const Fleet fleet : { Fleet{ 2, 6 }, Fleet{ 4, 6 }, Fleet{ 16, 48 } }) {
    for (const Case& it : kCases) {
      EngineTrialOptions options;
      options.mEntries = fleet.mEntries;
      options.mEngines = fleet.mEngines;
      options.mLoad = 0.4;
      options.mFigures.mPreempts = true;
      options.mAccounts = 8;
      options.mFirstFactor = it.mFirstFactor;
      options.mPolicy.mByAccount = it.mByAccount;
      PrintEngine(aSeeds, options, it.mName);
    }
  }
}

void AddTrial(CLI::App& aTrial,
              const char* aName,
              const char* aDescription,
              void (*aRun)(const SeedRange&),
              const std::shared_ptr<SeedRange>& aSeeds)
{
  auto* command = aTrial.add_subcommand(aName, aDescription);
  command->add_option("--seed", aSeeds->mFirst, "First seed");
  command->add_option("--seeds", aSeeds->mCount, "Number of seeds");
  command->callback([aRun, aSeeds] { aRun(*aSeeds); });
}

}

void AddTrialCommands(CLI::App& aApp)
{
  auto* trial =
    aApp.add_subcommand("trial", "Runs decision cores with an injected clock");
  trial->require_subcommand(1);
  const auto seeds = std::make_shared<SeedRange>();
  AddTrial(
    *trial, "credit", "Wrongful refusals against a static split", RunCredit, seeds);
  AddTrial(*trial, "queue", "Fair queue against first in first out", RunQueue, seeds);
  AddTrial(*trial,
           "engine",
           "Engines compared by their work against slots and first in first out",
           RunEngine,
           seeds);
  AddTrial(*trial,
           "memory",
           "Engines filled to what their memory holds against a forecast of waits",
           RunMemory,
           seeds);
  AddTrial(*trial,
           "accounts",
           "Fair shares of engines while one account sends six times its usual rate",
           RunAccounts,
           seeds);
  AddTrial(*trial, "route", "Two choices against the baselines", RunRoute, seeds);
}

}
