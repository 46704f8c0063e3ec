#include <catch2/catch.hpp>

#include "apps/load/trials/enginetrial.hpp"

using namespace samphiresail::load;
using samphiresail::gateway::EnginePolicy;
using samphiresail::gateway::Milliseconds;

namespace {

constexpr std::size_t kLongPrompt = 0;
constexpr std::size_t kLongResponse = 1;
constexpr std::size_t kTolerant = 2;
constexpr EnginePolicy kSlots{ false, false, false, false };

EngineTrialResult Play(double aLoad,
                       const EnginePolicy& aPolicy = {},
                       double aSlowness = 1.0)
{
  EngineTrialOptions options;
  options.mSeed = 7;
  options.mSeconds = 20;
  options.mLoad = aLoad;
  options.mPolicy = aPolicy;
  options.mFirstSlowness = aSlowness;
  return RunEngineTrial(options);
}

}

TEST_CASE("play: long prompts at moderate load come in time", "[gateway]")
{
  const EngineTrialResult byWork = Play(0.5);
  const EngineTrialResult bySlots = Play(0.5, kSlots);
  CHECK(byWork.mClasses[kLongPrompt].OnTime() > bySlots.mClasses[kLongPrompt].OnTime());
  CHECK(byWork.mClasses[kLongResponse].OnTime() >
        bySlots.mClasses[kLongResponse].OnTime());
}

TEST_CASE("play: under overload callers are served in time or refused, not all late",
          "[gateway]")
{
  const EngineTrialResult byWork = Play(1.3);
  const EngineTrialResult bySlots = Play(1.3, kSlots);
  for (const std::size_t kind : { kLongPrompt, kLongResponse }) {
    CHECK(byWork.mClasses[kind].OnTime() >= 3 * bySlots.mClasses[kind].OnTime());
  }
  // The more urgent kinds come in time at least as often as the one that can wait, but
  // for five in a hundred.
  CHECK(byWork.mClasses[kLongPrompt].OnTime() >=
        byWork.mClasses[kTolerant].OnTime() - 0.05);
  CHECK(byWork.mClasses[kLongResponse].OnTime() >=
        byWork.mClasses[kTolerant].OnTime() - 0.05);
}

TEST_CASE("play: at moderate load 95 in 100 urgent requests come in time", "[gateway]")
{
  // The users' target for first tokens.
  const EngineTrialResult byWork = Play(0.5);
  CHECK(byWork.mClasses[kLongPrompt].OnTime() >= 0.95);
  CHECK(byWork.mClasses[kLongResponse].OnTime() >= 0.95);
}

TEST_CASE("play: under overload twice as many come in time as late", "[gateway]")
{
  const EngineTrialResult byWork = Play(1.3);
  for (const std::size_t kind : { kLongPrompt, kLongResponse }) {
    CHECK(byWork.mClasses[kind].mOnTime >= 2 * byWork.mClasses[kind].mLate);
  }
}

TEST_CASE("play: a slow engine gets less work", "[gateway]")
{
  const EngineTrialResult byWork = Play(0.5, {}, 4.0);
  const EngineTrialResult bySlots = Play(0.5, kSlots, 4.0);
  CHECK(byWork.mClasses[kLongPrompt].OnTime() > bySlots.mClasses[kLongPrompt].OnTime());
}

TEST_CASE("play: forecasts fit engines whose figures are not configured", "[gateway]")
{
  EngineTrialOptions options;
  options.mSeed = 3;
  options.mSeconds = 20;
  options.mLoad = 0.6;
  options.mFigures.mReadTime = GENERATE(Milliseconds(0.02), Milliseconds(0.15));
  const EngineTrialResult result = RunEngineTrial(options);
  INFO("read time " << options.mFigures.mReadTime.count());
  CHECK(result.mMedianErrorFactor < 2.0);
}

// Guards against engines that are filled until they preempt streams again and again.
TEST_CASE("play: engines whose memory is short preempt few streams", "[gateway]")
{
  struct Sum
  {
    std::size_t mPreemptions{ 0 };
    std::size_t mCut{ 0 };
    std::size_t mOnTime{ 0 };
  };
  const auto play = [](bool aByMemory) {
    Sum sum;
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
      EngineTrialOptions options;
      options.mSeed = seed;
      options.mEntries = 12;
      options.mLoad = 0.5;
      options.mFigures.mPreempts = true;
      options.mFigures.mMemoryTokens = 48000.0;
      options.mFigures.mChunkTokens = 2048.0;
      options.mFigures.mReadTime = Milliseconds(0.02);
      options.mOutputFactors = { 10.0, 4.0, 30.0 };
      options.mLeastOutput = 0.2;
      options.mMostOutput = 0.6;
      options.mPolicy.mByMemory = aByMemory;
      const EngineTrialResult result = RunEngineTrial(options);
      sum.mPreemptions += result.mPreemptions;
      for (const EngineTrialClassResult& it : result.mClasses) {
        sum.mCut += it.mCut;
        sum.mOnTime += it.mOnTime;
      }
    }
    return sum;
  };
  const Sum byMemory = play(true);
  const Sum byForecast = play(false);
  CHECK(byMemory.mPreemptions * 2 <= byForecast.mPreemptions);
  CHECK(byMemory.mCut < byForecast.mCut);
  CHECK(byMemory.mOnTime >= byForecast.mOnTime);
}

// Guards against one account that takes the engines of all others.
TEST_CASE(
  "play: an account that sends six times as much costs the others less with shares",
  "[gateway]")
{
  const auto play = [](bool aByAccount) {
    EngineTrialClassResult others;
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
      EngineTrialOptions options;
      options.mSeed = seed;
      options.mLoad = 0.4;
      options.mAccounts = 8;
      options.mFirstFactor = 6.0;
      options.mPolicy.mByAccount = aByAccount;
      const EngineTrialResult result = RunEngineTrial(options);
      others.mAsked += result.mOthers.mAsked;
      others.mOnTime += result.mOthers.mOnTime;
    }
    return others.OnTime();
  };
  CHECK(play(true) > play(false));
}

// Guards against entries that all fill the same room, of which they learned at once.
TEST_CASE("play: requests that wait at many entries do not overfill the engines",
          "[gateway]")
{
  EngineTrialOptions options;
  options.mSeed = 1;
  options.mSeconds = 20;
  options.mEntries = 16;
  options.mEngines = 48;
  options.mLoad = 0.65;
  const EngineTrialResult result = RunEngineTrial(options);
  options.mPolicy.mByMemory = false;
  const EngineTrialResult alone = RunEngineTrial(options);
  CHECK(result.mClasses[kLongPrompt].OnTime() > alone.mClasses[kLongPrompt].OnTime());
  CHECK(result.mClasses[kLongResponse].OnTime() > alone.mClasses[kLongResponse].OnTime());
}
