#include "apps/load/trials/enginetrial.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <unordered_map>

#include "components/gateway/trafficcontrol.hpp"

namespace samphiresail::load {

using namespace std::chrono_literals;
using gateway::AttemptEnd;
using gateway::NoEndpoint;

namespace {

constexpr timing::Duration kReportInterval = 250ms;
constexpr timing::Duration kTick = 40ms;
constexpr timing::Duration kOneWay = 1ms;
constexpr double kTokensOfEvent = 4.0;
const ids::ServiceId kService("engines");
const ids::ModelId kModel("m");

struct ClassFigures
{
  const char* mPath;
  std::chrono::milliseconds mTarget;
  std::chrono::milliseconds mTimeout;
  int mPriority;
  std::int64_t mPrompt;
  std::int64_t mOutput;
  /// Part of all requests.
  double mShare;
};

constexpr std::array<ClassFigures, kEngineTrialClasses> kClasses{ {
  { "/long-prompt/", 700ms, 5000ms, 1, 2500, 30, 0.6 },
  { "/long-response/", 500ms, 12000ms, 0, 900, 150, 0.25 },
  { "/tolerant/", 5000ms, 15000ms, 1, 2500, 30, 0.15 },
} };
constexpr std::int64_t kSharedTokens = 500;

std::shared_ptr<gateway::ServingConfiguration> Configuration(
  const EngineFigures& aFigures,
  std::size_t aAccounts)
{
  auto configuration = std::make_shared<gateway::ServingConfiguration>();
  for (const ClassFigures& figures : kClasses) {
    gateway::Route route;
    route.mName = figures.mPath;
    route.mHost = "h";
    route.mPathPrefix = figures.mPath;
    route.mKind = gateway::RequestKind::Stream;
    route.mTargetLatency = figures.mTarget;
    route.mTimeout = figures.mTimeout;
    route.mPriority = figures.mPriority;
    route.mServices = { { kService, 1.0 } };
    configuration->mRoutes.push_back(route);
  }
  for (std::size_t i = 0; i < aAccounts; ++i) {
    gateway::ClientAccount account;
    account.mName = ids::ClientAccountId("a" + std::to_string(i));
    account.mKeys = { std::to_string(i) };
    configuration->mAccounts.push_back(account);
  }
  gateway::Service service;
  service.mName = kService;
  service.mEngine = gateway::EngineSpec{};
  service.mEngine->mSlots = aFigures.mSlots;
  service.mEngine->mMemoryTokens = aFigures.mMemoryTokens;
  configuration->mServices.push_back(service);
  configuration->Index();
  return configuration;
}

/// State of the trial.
class EngineTrial
{
public:
  explicit EngineTrial(const EngineTrialOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mEnd(mEvents.Now() + std::chrono::seconds(aOptions.mSeconds))
  {
    for (std::size_t i = 0; i < aOptions.mEngines; ++i) {
      mEngines.push_back(std::make_unique<SimulatedEngine>(mEvents, aOptions.mFigures));
    }
    mEngines.front()->SetSlowness(aOptions.mFirstSlowness);
    const auto configuration = Configuration(aOptions.mFigures, aOptions.mAccounts);
    for (std::size_t i = 0; i < aOptions.mEntries; ++i) {
      AddEntry(configuration, i);
    }
  }

  EngineTrialResult Run()
  {
    mEvents.After(0ms, [this] { Arrive(); });
    mEvents.After(kReportInterval, [this] { Report(); });
    mEvents.RunUntil(mEnd + 16s);
    SummarizeForecasts();
    double read = 0.0;
    for (const auto& engine : mEngines) {
      read += engine->TokensRead();
      mResult.mPreemptions += engine->Preemptions();
    }
    mResult.mKeptFraction = 1.0 - read / std::max(mPromptTokensServed, 1.0);
    return mResult;
  }

private:
  struct Entry
  {
    std::unique_ptr<gateway::TrafficControl> mControl;
  };
  /// One request of a caller.
  struct Caller
  {
    std::size_t mClass{ 0 };
    gateway::RequestMetadata mMetadata;
    double mUsedTokens{ 0.0 };
    /// Urgent and not of the first account.
    bool mIsOther{ false };
    timing::Instant mFirst{};
    timing::Instant mDeadline{};
    bool mReturned{ false };
  };
  using CallerPointer = std::shared_ptr<Caller>;
  struct Exchange
  {
    CallerPointer mCaller;
    std::size_t mEntry{ 0 };
    gateway::Admission mAdmission;
    gateway::Attempt mAttempt;
    timing::Instant mFirstToken{};
    bool mEnded{ false };
  };
  using ExchangePointer = std::shared_ptr<Exchange>;

  void AddEntry(const std::shared_ptr<gateway::ServingConfiguration>& aConfiguration,
                std::size_t aIndex)
  {
    const timing::Instant now = mEvents.Now();
    auto control = std::make_unique<gateway::TrafficControl>(
      ids::AvailabilityZoneId("z"), mOptions.mSeed * 100 + aIndex);
    control->SetConfiguration(aConfiguration, now);
    control->mKeyRequirement.OnVersion({ 1, 1 });
    control->SetEnginePolicy(mOptions.mPolicy);
    control->SetEntries(mOptions.mEntries, kReportInterval);
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      gateway::EndpointReport report;
      report.mId = ids::EndpointId("e" + std::to_string(i));
      report.mService = kService;
      report.mZone = ids::AvailabilityZoneId("z");
      report.mSlots = mOptions.mFigures.mSlots;
      report.mModels[kModel];
      control->mDirectory.Update(report, now);
    }
    mEntries.push_back({ std::move(control) });
  }

  /// Factor by which more requests arrive than without the excess of the first account.
  double Excess() const
  {
    return mOptions.mAccounts == 0 ? 1.0
                                   : 1.0 + (mOptions.mFirstFactor - 1.0) /
                                             static_cast<double>(mOptions.mAccounts);
  }

  /// Sets the account of a request.
  void SetAccount(Caller& aCaller)
  {
    if (mOptions.mAccounts == 0) {
      return;
    }
    std::vector<double> shares(mOptions.mAccounts, 1.0);
    shares.front() = mOptions.mFirstFactor;
    std::discrete_distribution<std::size_t> pick(shares.begin(), shares.end());
    const std::size_t account = pick(mRandom);
    aCaller.mMetadata.mKey = std::to_string(account);
    aCaller.mIsOther = account != 0 && aCaller.mClass != 2;
    mResult.mOthers.mAsked += aCaller.mIsOther ? 1 : 0;
  }

  /// Requests a second at which the engines are busy with reading for mLoad of the time.
  double ArrivalRate() const
  {
    double tokens = 0.0;
    for (const ClassFigures& figures : kClasses) {
      tokens += figures.mShare * static_cast<double>(figures.mPrompt);
    }
    const double readsPerSecond = 1000.0 / mOptions.mFigures.mReadTime.count();
    return mOptions.mLoad * readsPerSecond * static_cast<double>(mEngines.size()) /
           tokens;
  }

  void Arrive()
  {
    if (mEvents.Now() >= mEnd) {
      return;
    }
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    std::exponential_distribution<double> gap(ArrivalRate() * Excess());
    std::lognormal_distribution<double> size(-0.1, 0.45);
    auto caller = std::make_shared<Caller>();
    const double draw = unit(mRandom);
    caller->mClass = draw < kClasses[0].mShare                        ? 0
                     : draw < kClasses[0].mShare + kClasses[1].mShare ? 1
                                                                      : 2;
    const ClassFigures& figures = kClasses[caller->mClass];
    const auto scaled = [&](std::int64_t aMean) {
      return std::max<std::int64_t>(
        2, static_cast<std::int64_t>(static_cast<double>(aMean) * size(mRandom)));
    };
    std::uniform_int_distribution<std::uint64_t> shared(1, mOptions.mSharedParts);
    gateway::RequestMetadata& metadata = caller->mMetadata;
    metadata.mId = ids::RequestId(std::to_string(++mRequests));
    metadata.mHost = "h";
    metadata.mPath = figures.mPath;
    metadata.mModel = kModel;
    metadata.mHasTokenCounts = true;
    metadata.mPromptParts = { { shared(mRandom), kSharedTokens },
                              { 1000000 + mRequests, scaled(figures.mPrompt) } };
    metadata.mPromptTokens = kSharedTokens + metadata.mPromptParts.back().mTokens;
    metadata.mOutputTokens = scaled(static_cast<std::int64_t>(
      static_cast<double>(figures.mOutput) * mOptions.mOutputFactors[caller->mClass]));
    const double used =
      mOptions.mLeastOutput < 1.0
        ? mOptions.mLeastOutput +
            (mOptions.mMostOutput - mOptions.mLeastOutput) * unit(mRandom)
        : 1.0;
    caller->mUsedTokens = std::ceil(static_cast<double>(metadata.mOutputTokens) * used);
    SetAccount(*caller);
    caller->mFirst = mEvents.Now();
    caller->mDeadline = mEvents.Now() + figures.mTimeout;
    ++mResult.mClasses[caller->mClass].mAsked;
    Ask(caller);
    const auto next = std::chrono::duration<double>(gap(mRandom));
    mEvents.After(std::chrono::duration_cast<timing::Duration>(next),
                  [this] { Arrive(); });
  }

  void Ask(const CallerPointer& aCaller)
  {
    const timing::Instant now = mEvents.Now();
    auto exchange = std::make_shared<Exchange>();
    exchange->mCaller = aCaller;
    exchange->mEntry =
      std::uniform_int_distribution<std::size_t>(0, mEntries.size() - 1)(mRandom);
    gateway::RequestMetadata metadata = aCaller->mMetadata;
    metadata.mCallerTimeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(aCaller->mDeadline - now);
    gateway::TrafficControl& control = Control(*exchange);
    control.mStoreFreshness.ConfirmUpTo(now);
    auto admitted = control.Admit(std::move(metadata), now);
    exchange->mAdmission = std::get<gateway::Admission>(std::move(admitted));
    Choose(exchange);
  }

  void Choose(const ExchangePointer& aExchange)
  {
    const timing::Instant now = mEvents.Now();
    gateway::TrafficControl& control = Control(*aExchange);
    gateway::Choice choice = control.Begin(aExchange->mAdmission, {}, now);
    if (choice.mEndpoint != nullptr) {
      aExchange->mAttempt = choice.mAttempt;
      Send(aExchange);
      return;
    }
    const auto longest = std::chrono::duration_cast<timing::Duration>(
      control.Allowance(aExchange->mAdmission, now).mAtEntry);
    const timing::Instant deadline = aExchange->mAdmission.mArrived + longest;
    const auto free = std::chrono::duration_cast<timing::Duration>(
      choice.mFreeAfter.value_or(gateway::Milliseconds(0)));
    if (choice.mReason == NoEndpoint::Full && now < deadline && now + free <= deadline) {
      mEvents.After(kTick, [this, aExchange] { Choose(aExchange); });
      return;
    }
    Refuse(aExchange, control.RefuseNotRun(aExchange->mAdmission, choice, now));
  }

  void Refuse(const ExchangePointer& aExchange, const gateway::Refusal& aRefusal)
  {
    const CallerPointer caller = aExchange->mCaller;
    const timing::Duration wait = aRefusal.mRetryAfter.value_or(0ms);
    if (caller->mReturned || mEvents.Now() + wait >= caller->mDeadline) {
      ++mResult.mClasses[caller->mClass].mRefused;
      return;
    }
    caller->mReturned = true;
    ++mResult.mReturned;
    mEvents.After(wait, [this, caller] { Ask(caller); });
  }

  void Send(const ExchangePointer& aExchange)
  {
    const std::size_t engine = std::stoul(aExchange->mAttempt.mEndpoint.Str().substr(1));
    mEvents.After(kOneWay, [this, aExchange, engine] {
      SimulatedEngine::Request request;
      request.mParts = aExchange->mCaller->mMetadata.mPromptParts;
      request.mOutputTokens =
        static_cast<double>(aExchange->mCaller->mMetadata.mOutputTokens);
      request.mUsedTokens = aExchange->mCaller->mUsedTokens;
      request.mPriority =
        mOptions.mPolicy.mByUrgency
          ? gateway::PriorityAt(aExchange->mAdmission, aExchange->mAttempt.mSentAt)
          : 5;
      request.mOnFirstToken = [this, aExchange, engine] {
        mEvents.After(kOneWay, [this, aExchange, engine] { OnFirst(aExchange, engine); });
      };
      request.mOnEnd = [this, aExchange] {
        mEvents.After(kOneWay, [this, aExchange] { OnEnd(aExchange); });
      };
      const std::uint64_t number = mEngines[engine]->Accept(std::move(request));
      mEvents.At(aExchange->mCaller->mDeadline, [this, aExchange, engine, number] {
        if (!aExchange->mEnded) {
          aExchange->mEnded = true;
          mEngines[engine]->Cancel(number);
          Control(*aExchange)
            .End(aExchange->mAttempt, AttemptEnd::Abandoned, mEvents.Now());
          EngineTrialClassResult& result = mResult.mClasses[aExchange->mCaller->mClass];
          ++(aExchange->mFirstToken == timing::Instant{} ? result.mRefused : result.mCut);
        }
      });
    });
  }

  void OnFirst(const ExchangePointer& aExchange, std::size_t aEngine)
  {
    const timing::Instant now = mEvents.Now();
    const Caller& caller = *aExchange->mCaller;
    if (aExchange->mEnded) {
      return;
    }
    aExchange->mFirstToken = now;
    gateway::ResponseMetadata response;
    response.mRunning = mEngines[aEngine]->Running();
    response.mWaiting = mEngines[aEngine]->Waiting();
    const gateway::Attempt& attempt = aExchange->mAttempt;
    const gateway::Milliseconds took = now - attempt.mSentAt;
    if (mEvents.Now() > mEnd - std::chrono::seconds(mOptions.mSeconds) + 5s) {
      mErrors.push_back(std::abs(std::log(took / attempt.mForecast.mFirstEvent)));
    }
    gateway::TrafficControl& control = Control(*aExchange);
    control.OnResponse(aExchange->mAttempt, response, now);
    control.OnFirstEvent(aExchange->mAttempt, aExchange->mAdmission, now);
    EngineTrialClassResult& result = mResult.mClasses[caller.mClass];
    const bool onTime = now - caller.mFirst <= kClasses[caller.mClass].mTarget;
    ++(onTime ? result.mOnTime : result.mLate);
    if (caller.mIsOther) {
      ++(onTime ? mResult.mOthers.mOnTime : mResult.mOthers.mLate);
    }
    mResult.mReturnedServed += caller.mReturned ? 1 : 0;
    mPromptTokensServed += static_cast<double>(caller.mMetadata.mPromptTokens);
  }

  void OnEnd(const ExchangePointer& aExchange)
  {
    const timing::Instant now = mEvents.Now();
    if (aExchange->mEnded) {
      return;
    }
    aExchange->mEnded = true;
    gateway::TrafficControl& control = Control(*aExchange);
    const auto events = static_cast<std::size_t>(
      std::ceil(aExchange->mCaller->mUsedTokens / kTokensOfEvent));
    control.OnOutput(aExchange->mAdmission, events, now - aExchange->mFirstToken);
    control.OnStreamComplete(
      aExchange->mAttempt, aExchange->mAdmission, aExchange->mFirstToken, now);
    control.End(aExchange->mAttempt, AttemptEnd::Answered, now);
  }

  /// Lets every entry know the loads and refusals of the others.
  void Report()
  {
    const timing::Instant now = mEvents.Now();
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      std::unordered_map<std::uint64_t, gateway::EngineLoad> loads;
      for (std::size_t j = 0; j < mEntries.size(); ++j) {
        if (j == i) {
          continue;
        }
        for (const auto& [id, endpoint] : mEntries[j].mControl->mDirectory.All()) {
          loads[endpoint.mHash] += endpoint.mOwnLoad;
        }
        mEntries[i].mControl->mReturningCallers.AddReported(
          mEntries[j].mControl->mReturningCallers.Recent(now), now);
      }
      mEntries[i].mControl->mDirectory.SetPeersLoad(loads, now);
      mEntries[i].mControl->Tick(now);
    }
    if (now < mEnd + 15s) {
      mEvents.After(kReportInterval, [this] { Report(); });
    }
  }

  void SummarizeForecasts()
  {
    if (mErrors.empty()) {
      return;
    }
    std::ranges::sort(mErrors);
    mResult.mMedianErrorFactor = std::exp(mErrors[mErrors.size() / 2]);
    mResult.mErrorFactor90 = std::exp(mErrors[mErrors.size() * 9 / 10]);
  }

  gateway::TrafficControl& Control(const Exchange& aExchange)
  {
    return *mEntries[aExchange.mEntry].mControl;
  }

  EngineTrialOptions mOptions;
  std::mt19937_64 mRandom;
  EventQueue mEvents;
  timing::Instant mEnd;
  std::vector<std::unique_ptr<SimulatedEngine>> mEngines;
  std::vector<Entry> mEntries;
  std::uint64_t mRequests{ 0 };
  double mPromptTokensServed{ 0.0 };
  std::vector<double> mErrors;
  EngineTrialResult mResult;
};

}

EngineTrialResult RunEngineTrial(const EngineTrialOptions& aOptions)
{
  return EngineTrial(aOptions).Run();
}

}
