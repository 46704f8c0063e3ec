#include "components/gateway/trafficcontrol.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace samphiresail::gateway {

namespace {

using std::chrono::milliseconds;

/// A refusal never asks for a retry at once; the header has this resolution.
constexpr milliseconds kMinRetryAfter{ 1 };
/// Timeout of a caller that states none; the route's timeout applies as well.
constexpr milliseconds kDefaultCallerTimeout{ 10000 };
/// Retry-After while the store or the configuration cannot be reached.
constexpr milliseconds kMinOutageRetry{ 500 };
/// When a caller should retry whose request is tried for another caller, with the danger
/// that it ends an endpoint.
constexpr milliseconds kMinSuspectRetry{ 500 };
constexpr milliseconds kMaxSuspectRetry{ 1000 };
constexpr milliseconds kMaxOutageRetry{ 1500 };
/// Retry-After while all endpoints are full, if no forecast says when one is free: about
/// the length of a generation.
constexpr milliseconds kMinFullRetry{ 400 };
constexpr milliseconds kMaxFullRetry{ 1600 };
/// With a forecast, callers return spread over this many times the forecast and the
/// shortest spread.
constexpr double kFullRetrySpread = 2.0;
constexpr milliseconds kMinFullRetrySpread{ 400 };
/// Callers wait for no more than this fraction of the time that they have left.
constexpr double kMaxRetryFraction = 0.3;
/// Retry-After while a model is being loaded, if its load time is not known.
constexpr milliseconds kMinLoadRetry{ 1000 };
constexpr milliseconds kMaxLoadRetry{ 3000 };
/// Fraction of a model's load time after which the first callers retry.
constexpr double kMinLoadRetryFraction = 0.5;
/// Target latency of a route that states none.
constexpr milliseconds kDefaultTarget{ 1000 };
/// Added to the priority number of latency-tolerant requests, so that they come after
/// urgent ones.
constexpr int kLatencyTolerantPriorityOffset = 4;
constexpr int kMaxPriority = 9;

milliseconds TargetOf(const Route& aRoute)
{
  return aRoute.mTargetLatency.count() > 0 ? aRoute.mTargetLatency : kDefaultTarget;
}

/// Returns the time to load the request's model, or 0 if it is not known.
milliseconds LoadTimeOf(const Admission& aAdmission)
{
  if (!aAdmission.mService->mEngine) {
    return milliseconds(0);
  }
  const auto& models = aAdmission.mService->mEngine->mModels;
  const auto it =
    std::ranges::find(models, aAdmission.mMetadata.mModel, &ModelSpec::mName);
  return it == models.end() ? milliseconds(0) : it->mLoadTime;
}

std::string QuotaReason(QuotaCondition aCondition)
{
  return aCondition == QuotaCondition::OverRate
           ? "the account is over its rate"
           : "the account is over this entry's part of its rate";
}

EngineWork WorkOf(const RequestMetadata& aMetadata)
{
  const auto prompt = static_cast<double>(aMetadata.mPromptTokens);
  return {
    aMetadata.mModel, prompt, prompt, static_cast<double>(aMetadata.mOutputTokens)
  };
}

}

int PriorityAt(const Admission& aAdmission, timing::Instant aNow)
{
  if (!aAdmission.mRoute->mLatencyTolerant) {
    return aAdmission.mPriority;
  }
  const Milliseconds elapsed =
    ToMilliseconds(aNow - aAdmission.mArrived + aAdmission.mEarlierAttempts);
  const Milliseconds left =
    ToMilliseconds(std::max(aAdmission.mDeadline - aNow, timing::Duration(1)));
  const double used = aAdmission.mBegun ? 1.0 : elapsed / (elapsed + left);
  const int rise = std::min(static_cast<int>(kLatencyTolerantPriorityOffset * used),
                            kLatencyTolerantPriorityOffset - 1);
  return std::max(aAdmission.mPriority - rise, 0);
}

TrafficControl::TrafficControl(ids::AvailabilityZoneId aOwnZone, std::uint64_t aSeed)
  : mQuarantine(aSeed)
  , mChooser(mDirectory,
             mCold,
             mEngineModel,
             mEngineMemory,
             mPromptCache,
             mPace,
             mLimits,
             std::move(aOwnZone),
             aSeed)
  , mRandom(aSeed)
{
}

void TrafficControl::SetConfiguration(
  std::shared_ptr<const ServingConfiguration> aConfiguration,
  timing::Instant aNow)
{
  mConfiguration = std::move(aConfiguration);
  mQuotas.Configure(*mConfiguration, aNow);
  double total = 0.0;
  std::size_t limited = 0;
  for (const ClientAccount& account : mConfiguration->mAccounts) {
    total += account.mTokensPerSecond;
    limited += account.mTokensPerSecond > 0.0 ? 1 : 0;
  }
  mDefaultWeight = limited > 0 ? total / static_cast<double>(limited) : 1.0;
}

void TrafficControl::SetEntries(std::size_t aEntries,
                                timing::Duration aPeerReportInterval)
{
  mEntries = aEntries;
  mPeerReportInterval = aPeerReportInterval;
  mChooser.SetEntries(aEntries, aPeerReportInterval);
}

void TrafficControl::SetEnginePolicy(const EnginePolicy& aPolicy)
{
  mEnginePolicy = aPolicy;
  mChooser.SetPolicy(aPolicy);
}

milliseconds TrafficControl::RetryAfter(milliseconds aMin, milliseconds aMax)
{
  const milliseconds first = std::max(aMin, kMinRetryAfter);
  std::uniform_int_distribution<milliseconds::rep> spread(first.count(),
                                                          std::max(first, aMax).count());
  return milliseconds(spread(mRandom));
}

const ids::ServiceId* TrafficControl::PickService(const Route& aRoute)
{
  const double total = std::accumulate(
    aRoute.mServices.begin(),
    aRoute.mServices.end(),
    0.0,
    [](double aSum, const ServiceShare& aShare) { return aSum + aShare.mWeight; });
  double at = std::uniform_real_distribution<double>(0.0, std::max(total, 1e-9))(mRandom);
  const ids::ServiceId* picked = nullptr;
  for (const ServiceShare& share : aRoute.mServices) {
    // One without a weight gets no request, also if rounding leaves a rest.
    if (share.mWeight > 0.0) {
      picked = &share.mService;
      at -= share.mWeight;
      if (at < 0) {
        break;
      }
    }
  }
  return picked;
}

Refusal TrafficControl::RefuseInOutage(std::string aReason)
{
  Refusal refusal;
  refusal.mReason = std::move(aReason);
  refusal.mRetryAfter = RetryAfter(kMinOutageRetry, kMaxOutageRetry);
  return refusal;
}

Refusal TrafficControl::RefuseTooLarge(Refusal aRefusal, timing::Instant aNow)
{
  return mConfiguration && mStoreFreshness.IsConfigurationCurrent(aNow)
           ? std::move(aRefusal)
           : RefuseInOutage("the configuration may be out of date");
}

std::variant<Admission, Refusal> TrafficControl::Admit(RequestMetadata aMetadata,
                                                       timing::Instant aNow,
                                                       timing::Duration aUnread)
{
  if (mStop && aNow >= mStop->RefuseFrom()) {
    return RefuseStopping(nullptr, aNow);
  }
  if (!mConfiguration) {
    return RefuseInOutage("no configuration is known yet");
  }
  if (mStoreFreshness.IsOutdated(aNow)) {
    return RefuseInOutage("what was read of the store may be a backup");
  }
  // An unknown route or key may have been added by a change that is not known yet.
  const bool current = mStoreFreshness.IsConfigurationCurrent(aNow);
  const Route* route = mConfiguration->FindRoute(aMetadata.mHost, aMetadata.mPath);
  if (route == nullptr) {
    return current ? Refusal{ 404, "no route matches", {}, {}, {}, 0.0 }
                   : RefuseInOutage("the configuration may be out of date");
  }
  auto authenticated = Authenticate(aMetadata, *route, aNow);
  if (auto* refusal = std::get_if<Refusal>(&authenticated)) {
    return std::move(*refusal);
  }
  const auto* account = std::get<const ClientAccount*>(authenticated);
  const ids::ServiceId* picked = PickService(*route);
  const Service* service =
    picked == nullptr ? nullptr : mConfiguration->FindService(*picked);
  if (service == nullptr) {
    return RefuseInOutage("the route has no service");
  }
  const auto block = mQuarantine.BlockOf(aMetadata, aNow);
  const bool tests = block && mQuarantine.IsTestDue(aMetadata, aNow);
  if (block && !tests) {
    return RefuseQuarantined(*route, aMetadata, aNow);
  }
  Admission admission;
  admission.mTestsQuarantine = tests;
  admission.mTestedCause = tests ? VerdictId(block->mCauses) : 0;
  admission.mConfiguration = mConfiguration;
  admission.mRoute = route;
  admission.mService = service;
  admission.mAccount = account;
  admission.mArrived = aNow - aUnread;
  admission.mUnread = aUnread;
  admission.mCallerDeadline =
    admission.mArrived + aMetadata.mCallerTimeout.value_or(kDefaultCallerTimeout);
  admission.mDeadline =
    route->mTimeout.count() > 0
      ? std::min(admission.mCallerDeadline, admission.mArrived + route->mTimeout)
      : admission.mCallerDeadline;
  admission.mPriority =
    account != nullptr && account->mPriority ? *account->mPriority : route->mPriority;
  if (route->mLatencyTolerant) {
    admission.mPriority += kLatencyTolerantPriorityOffset;
  }
  admission.mPriority = std::clamp(admission.mPriority, 0, kMaxPriority);
  admission.mConfigurationAge = mStoreFreshness.Staleness(aNow);
  admission.mEarlierAttempts = EarlierAttempts(aMetadata, admission.mArrived);
  const timing::Instant firstAttempt = admission.mArrived - admission.mEarlierAttempts;
  if (aUnread > timing::Duration(0) && aNow >= admission.mDeadline) {
    RecordRefusal(aMetadata, firstAttempt, aNow);
    Refusal refusal = RefuseInOutage("its time was over before it was read");
    refusal.mRoute = route->mName;
    return refusal;
  }
  if (mStop) {
    admission.mMetadata = aMetadata;
    if (!MayBegin(admission, aNow)) {
      RecordRefusal(aMetadata, firstAttempt, aNow);
      return RefuseStopping(route, aNow);
    }
    admission.mDeadline = std::min(admission.mDeadline, mStop->AnswerBy());
  }
  if (service->mEngine) {
    const EngineCapacity capacity{ std::max(1U, service->mEngine->mSlots),
                                   service->mEngine->mMemoryTokens };
    const Milliseconds time = mEngineModel.EngineTime(WorkOf(aMetadata), capacity);
    admission.mEngineSeconds = std::chrono::duration<double>(time).count();
    if (admission.mEarlierAttempts == timing::Duration(0)) {
      // The demand of callers that return was recorded when they first asked.
      mDemand.Record(
        aMetadata.mModel, aMetadata.mAdapter, admission.mEngineSeconds, aNow);
      if (account != nullptr) {
        mAccountShares.RecordDemand(aMetadata.mModel,
                                    account->mName,
                                    WeightOf(*account),
                                    admission.mEngineSeconds,
                                    aNow);
      }
    }
  } else {
    mServiceDemand.Add(service->mName.Str(), 1.0, aNow);
  }
  if (account != nullptr) {
    admission.mTokens =
      aMetadata.mHasTokenCounts
        ? static_cast<double>(aMetadata.mPromptTokens + aMetadata.mOutputTokens)
        : account->mPlainTokens;
    const QuotaDecision quota =
      mQuotas.TryConsume(account->mName, admission.mTokens, aNow);
    if (!quota.mAdmitted) {
      RecordRefusal(aMetadata, firstAttempt, aNow);
      const auto wait = std::chrono::ceil<milliseconds>(quota.mRetryAfter);
      return Refusal{ 429,
                      QuotaReason(quota.mCondition),
                      wait + RetryAfter(milliseconds(0), kMinOutageRetry),
                      route->mName,
                      account->mName,
                      admission.mTokens };
    }
  }
  mRetryBudget.RecordFirstAttempt(service->mName, aNow);
  admission.mMetadata = std::move(aMetadata);
  return admission;
}

timing::Duration TrafficControl::EarlierAttempts(const RequestMetadata& aMetadata,
                                                 timing::Instant aNow) const
{
  const auto key = ReturningCallers::Key(aMetadata);
  const auto first = key ? mReturningCallers.FirstAttempt(*key) : std::nullopt;
  return first ? std::max(aNow - *first, timing::Duration(1)) : timing::Duration(0);
}

void TrafficControl::RecordRefusal(const RequestMetadata& aMetadata,
                                   timing::Instant aFirst,
                                   timing::Instant aNow)
{
  if (const auto key = ReturningCallers::Key(aMetadata)) {
    mReturningCallers.Refuse(*key, aFirst, aNow);
  }
}

WaitAllowance TrafficControl::Allowance(const Admission& aAdmission,
                                        timing::Instant aNow) const
{
  const Route& route = *aAdmission.mRoute;
  const timing::Duration waited = aNow - aAdmission.mArrived;
  RequestUrgency urgency;
  urgency.mTarget = TargetOf(route);
  urgency.mTightestTarget =
    route.mTightestTarget.count() > 0 ? route.mTightestTarget : kDefaultTarget;
  urgency.mRank = route.mUrgencyRank;
  urgency.mLatencyTolerant = route.mLatencyTolerant;
  urgency.mBegun = aAdmission.mBegun;
  urgency.mOverShare = IsOverShare(aAdmission, aNow);
  urgency.mReturned = aAdmission.mEarlierAttempts > timing::Duration(0);
  urgency.mElapsed = ToMilliseconds(aAdmission.mEarlierAttempts + waited);
  urgency.mWaited = ToMilliseconds(waited);
  urgency.mTimeLeft =
    ToMilliseconds(std::max(aAdmission.mDeadline - aNow, timing::Duration(0)));
  if (!aAdmission.mService->mEngine || !mEnginePolicy.mByUrgency) {
    return AllowedWaitWithoutUrgency(urgency);
  }
  const RequestMetadata& metadata = aAdmission.mMetadata;
  return AllowedWait(
    urgency,
    mEngineModel.ReadTime(metadata.mModel, static_cast<double>(metadata.mPromptTokens)));
}

bool TrafficControl::TrySpendRetry(const Admission& aAdmission,
                                   std::size_t aSent,
                                   timing::Instant aNow)
{
  return aSent < aAdmission.mRoute->mMaxAttempts && aNow < aAdmission.mDeadline &&
         MayBegin(aAdmission, aNow) &&
         mQuarantine.EndsUnder(aAdmission.mMetadata.mIdentity, aNow) < kMaxEndsForRetry &&
         mRetryBudget.TrySpend(aAdmission.mService->mName, mEntries, aNow);
}

milliseconds TrafficControl::RetryAfterFull(const Admission& aAdmission,
                                            const Choice& aChoice,
                                            timing::Instant aNow)
{
  if (!aChoice.mFreeAfter) {
    return RetryAfter(kMinFullRetry, kMaxFullRetry);
  }
  const auto free = std::chrono::ceil<milliseconds>(*aChoice.mFreeAfter);
  const auto spread = std::chrono::duration_cast<milliseconds>(free * kFullRetrySpread);
  const milliseconds end = free + std::max(spread, kMinFullRetrySpread);
  if (aNow >= aAdmission.mCallerDeadline) {
    return RetryAfter(free, end);
  }
  const auto most = std::chrono::duration_cast<milliseconds>(
    kMaxRetryFraction * ToMilliseconds(aAdmission.mCallerDeadline - aNow));
  return RetryAfter(std::min(free, most), std::min(end, most));
}

Refusal TrafficControl::RefuseNotRun(const Admission& aAdmission,
                                     const Choice& aChoice,
                                     timing::Instant aNow)
{
  if (aAdmission.mAccount != nullptr) {
    mQuotas.Refund(aAdmission.mAccount->mName, aAdmission.mTokens);
  }
  RecordRefusal(
    aAdmission.mMetadata, aAdmission.mArrived - aAdmission.mEarlierAttempts, aNow);
  mWaitingRequests.Erase(aAdmission.mMetadata.mId);
  Refusal refusal;
  refusal.mRoute = aAdmission.mRoute->mName;
  refusal.mTokens = aAdmission.mTokens;
  switch (aChoice.mReason) {
    case NoEndpoint::ModelAbsent: {
      refusal.mReason = "no endpoint holds the model";
      const milliseconds load = LoadTimeOf(aAdmission);
      refusal.mRetryAfter =
        load.count() > 0 ? RetryAfter(std::chrono::duration_cast<milliseconds>(
                                        kMinLoadRetryFraction * ToMilliseconds(load)),
                                      load)
                         : RetryAfter(kMinLoadRetry, kMaxLoadRetry);
      break;
    }
    case NoEndpoint::AdapterAbsent:
      refusal.mReason = "no endpoint holds the adapter";
      refusal.mRetryAfter = RetryAfter(kMinFullRetry, kMaxFullRetry);
      break;
    case NoEndpoint::Full:
      refusal.mReason = IsOverShare(aAdmission, aNow)
                          ? "engines are full and the account is over its fair share"
                          : "all endpoints are full or in cold start";
      refusal.mRetryAfter = RetryAfterFull(aAdmission, aChoice, aNow);
      break;
    case NoEndpoint::Paused: {
      refusal.mReason = "all endpoints asked for a pause";
      const auto free =
        std::chrono::ceil<milliseconds>(aChoice.mFreeAfter.value_or(Milliseconds(0)));
      refusal.mRetryAfter = RetryAfter(free, free + kMinFullRetrySpread);
      break;
    }
    case NoEndpoint::Quarantined:
      refusal = RefuseQuarantined(*aAdmission.mRoute, aAdmission.mMetadata, aNow);
      break;
    case NoEndpoint::SuspectTested:
      ++mQuarantineRefusals;
      refusal.mReason = "endpoints end under a part, another request tells which: " +
                        PartNames(mQuarantine.CausesTested(aAdmission.mMetadata));
      refusal.mRetryAfter = RetryAfter(kMinSuspectRetry, kMaxSuspectRetry);
      break;
    case NoEndpoint::Suspected:
      refusal.mReason = "endpoints may have ended under a part of it";
      refusal.mRetryAfter = RetryAfter(kMinFullRetry, kMaxFullRetry);
      break;
    case NoEndpoint::Stopping: {
      const Refusal stopping = RefuseStopping(aAdmission.mRoute, aNow);
      refusal.mReason = stopping.mReason;
      refusal.mRetryAfter = stopping.mRetryAfter;
      break;
    }
    case NoEndpoint::TooLate:
      refusal.mReason = "the stream would not end before the caller's timeout";
      refusal.mRetryAfter = RetryAfter(kMinFullRetry, kMaxFullRetry);
      break;
    case NoEndpoint::NoneUsable:
      refusal.mReason = "no endpoint may get work";
      refusal.mRetryAfter = RetryAfter(kMinOutageRetry, kMaxOutageRetry);
      break;
  }
  return refusal;
}

Refusal TrafficControl::RefuseQuarantined(const Route& aRoute,
                                          const RequestMetadata& aMetadata,
                                          timing::Instant aNow)
{
  ++mQuarantineRefusals;
  Refusal refusal;
  refusal.mRoute = aRoute.mName;
  if (const auto block = mQuarantine.BlockOf(aMetadata, aNow)) {
    const bool whole = block->mCauses.front() == aMetadata.mIdentity;
    const bool several = block->mCauses.size() > 1;
    refusal.mReason = (whole     ? "endpoints end under this request: "
                       : several ? "endpoints end under these parts together: "
                                 : "endpoints end under a part: ") +
                      PartNames(block->mCauses);
    refusal.mRetryAfter = std::chrono::ceil<milliseconds>(block->mUntil - aNow);
  } else {
    refusal.mReason = "endpoints ended under this request, another one tries it: " +
                      PartName(aMetadata.mIdentity);
    refusal.mRetryAfter = RetryAfter(kMinSuspectRetry, kMaxSuspectRetry);
  }
  return refusal;
}

void TrafficControl::Tick(timing::Instant aNow)
{
  mQuarantine.Tick(aNow);
  mDirectory.Tick(aNow);
  mCold.Tick(aNow);
  mPromptCache.Tick(aNow);
  mReturningCallers.Tick(aNow);
  mDemand.Tick(aNow);
  mAccountShares.Tick(aNow);
  mWaitingRequests.Tick(aNow);
  mServiceDemand.Tick(aNow);
}

}
