#include "components/gateway/trafficcontrol.hpp"

#include <algorithm>
#include <numeric>

namespace samphiresail::gateway {

namespace {

using std::chrono::milliseconds;

/// Timeout of a caller that states none; the route's timeout applies as well.
constexpr milliseconds kDefaultCallerTimeout{ 10000 };
/// Retry-After while the store or the configuration cannot be reached.
constexpr milliseconds kMinOutageRetry{ 500 };
constexpr milliseconds kMaxOutageRetry{ 1500 };
/// Retry-After while all endpoints are full: about the length of a generation.
constexpr milliseconds kMinFullRetry{ 400 };
constexpr milliseconds kMaxFullRetry{ 1600 };
/// Retry-After while a model is being loaded: about the time of a load.
constexpr milliseconds kMinLoadRetry{ 1000 };
constexpr milliseconds kMaxLoadRetry{ 3000 };
/// Weight of the latest outcome in the moving average of failures.
constexpr double kFailureWeight = 0.12;
/// How long an unreachable endpoint is avoided.
constexpr milliseconds kUnreachablePause{ 1000 };
/// Target latency from which a request counts as latency-tolerant.
constexpr milliseconds kLatencyTolerantTarget{ 2000 };
/// Added to the priority number of latency-tolerant requests, so that they come after
/// urgent ones.
constexpr int kLatencyTolerantPriorityOffset = 4;
constexpr int kMaxPriority = 9;

bool IsLatencyTolerant(const Route& aRoute)
{
  return aRoute.mTargetLatency >= kLatencyTolerantTarget;
}

}

TrafficControl::TrafficControl(ids::AvailabilityZoneId aOwnZone, std::uint64_t aSeed)
  : mChooser(mDirectory, mCold, std::move(aOwnZone), aSeed)
  , mRandom(aSeed)
{
}

void TrafficControl::SetConfiguration(
  std::shared_ptr<const ServingConfiguration> aConfiguration,
  timing::Instant aNow)
{
  mConfiguration = std::move(aConfiguration);
  mQuotas.Configure(*mConfiguration, aNow);
}

void TrafficControl::SetEntries(std::size_t aEntries,
                                timing::Duration aPeerReportInterval)
{
  mEntries = aEntries;
  mPeerReportInterval = aPeerReportInterval;
  mChooser.SetEntries(aEntries);
}

milliseconds TrafficControl::RetryAfter(milliseconds aMin, milliseconds aMax)
{
  std::uniform_int_distribution<milliseconds::rep> spread(aMin.count(), aMax.count());
  return milliseconds(spread(mRandom));
}

const ids::ServiceId& TrafficControl::PickService(const Route& aRoute)
{
  const double total = std::accumulate(
    aRoute.mServices.begin(),
    aRoute.mServices.end(),
    0.0,
    [](double aSum, const ServiceShare& aShare) { return aSum + aShare.mWeight; });
  double at = std::uniform_real_distribution<double>(0.0, std::max(total, 1e-9))(mRandom);
  for (const ServiceShare& share : aRoute.mServices) {
    at -= share.mWeight;
    if (at < 0) {
      return share.mService;
    }
  }
  return aRoute.mServices.back().mService;
}

std::variant<Admission, Refusal> TrafficControl::Admit(RequestMetadata aMetadata,
                                                       timing::Instant aNow)
{
  const auto outage = [this](std::string aReason) {
    Refusal refusal;
    refusal.mReason = std::move(aReason);
    refusal.mRetryAfter = RetryAfter(kMinOutageRetry, kMaxOutageRetry);
    return refusal;
  };
  if (aNow >= mRefuseFrom) {
    return outage("this entry stops");
  }
  if (!mConfiguration) {
    return outage("no configuration is known yet");
  }
  const bool fresh = mStoreFreshness.AreKeysFresh(aNow);
  const Route* route = mConfiguration->FindRoute(aMetadata.mHost, aMetadata.mPath);
  if (route == nullptr) {
    return fresh ? Refusal{ 404, "no route matches", {}, {}, {}, 0.0 }
                 : outage("the configuration may be out of date");
  }
  const ClientAccount* account = nullptr;
  if (!mConfiguration->mAccounts.empty() && !route->mPublic) {
    if (!fresh) {
      return outage("keys may be out of date");
    }
    account = mConfiguration->FindAccountOfKey(aMetadata.mKey);
    if (account == nullptr) {
      return Refusal{ 401, "the key is not known", {}, route->mName, {}, 0.0 };
    }
  }
  const Service* service =
    route->mServices.empty() ? nullptr : mConfiguration->FindService(PickService(*route));
  if (service == nullptr) {
    return outage("the route has no service");
  }
  Admission admission;
  admission.mConfiguration = mConfiguration;
  admission.mRoute = route;
  admission.mService = service;
  admission.mAccount = account;
  admission.mArrived = aNow;
  admission.mCallerDeadline =
    aNow + aMetadata.mCallerTimeout.value_or(kDefaultCallerTimeout);
  admission.mDeadline = route->mTimeout.count() > 0
                          ? std::min(admission.mCallerDeadline, aNow + route->mTimeout)
                          : admission.mCallerDeadline;
  admission.mPriority =
    account != nullptr && account->mPriority ? *account->mPriority : route->mPriority;
  if (IsLatencyTolerant(*route)) {
    admission.mPriority += kLatencyTolerantPriorityOffset;
  }
  admission.mPriority = std::clamp(admission.mPriority, 0, kMaxPriority);
  admission.mConfigurationAge = mStoreFreshness.Staleness(aNow);
  if (service->mEngine) {
    mDemand.Record(aMetadata.mModel, aMetadata.mAdapter, aNow);
  } else {
    mServiceDemand.Add(service->mName.Str(), aNow);
  }
  if (account != nullptr) {
    admission.mTokens =
      aMetadata.mHasTokenCounts
        ? static_cast<double>(aMetadata.mPromptTokens + aMetadata.mOutputTokens)
        : account->mPlainTokens;
    const QuotaDecision quota =
      mQuotas.TryConsume(account->mName, admission.mTokens, aNow);
    if (!quota.mAdmitted) {
      const auto wait = std::chrono::ceil<milliseconds>(quota.mRetryAfter);
      return Refusal{ 429,
                      "the account is over its rate",
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

Choice TrafficControl::Begin(const Admission& aAdmission,
                             const std::vector<ids::EndpointId>& aTried,
                             timing::Instant aNow)
{
  const Choice choice = mChooser.Choose(*aAdmission.mService,
                                        aAdmission.mMetadata,
                                        aTried,
                                        IsLatencyTolerant(*aAdmission.mRoute),
                                        UnreportedRequests(aAdmission, aNow),
                                        aNow);
  if (choice.mEndpoint != nullptr) {
    ++choice.mEndpoint->mInFlight;
    mCold.Record(choice.mEndpoint->mReport.mId, aNow);
  }
  return choice;
}

double TrafficControl::UnreportedRequests(const Admission& aAdmission,
                                          timing::Instant aNow) const
{
  const RequestMetadata& metadata = aAdmission.mMetadata;
  const double rate =
    aAdmission.mService->mEngine
      ? mDemand.Rate(DemandMeter::Name(metadata.mModel, metadata.mAdapter), aNow)
      : mServiceDemand.Rate(aAdmission.mService->mName.Str(), aNow);
  const double others = static_cast<double>(mEntries) - 1.0;
  return rate * others * std::chrono::duration<double>(mPeerReportInterval).count();
}

void TrafficControl::ObserveLoad(const ids::EndpointId& aEndpoint,
                                 const ResponseMetadata& aMetadata,
                                 timing::Instant aNow)
{
  Endpoint* endpoint = mDirectory.Find(aEndpoint);
  if (endpoint == nullptr || !aMetadata.mRunning || !aMetadata.mWaiting) {
    return;
  }
  const unsigned reported = *aMetadata.mRunning + *aMetadata.mWaiting;
  endpoint->mPeersInFlight =
    reported > endpoint->mInFlight ? reported - endpoint->mInFlight : 0;
  endpoint->mObservedAt = aNow;
}

void TrafficControl::ObserveRefusal(const ids::EndpointId& aEndpoint,
                                    const Admission& aAdmission,
                                    const ResponseMetadata& aMetadata,
                                    timing::Instant aNow)
{
  const Endpoint* endpoint = mDirectory.Find(aEndpoint);
  if (endpoint == nullptr || !aAdmission.mService->mEngine) {
    return;
  }
  const bool full = aMetadata.mRunning && *aMetadata.mRunning >= endpoint->mReport.mSlots;
  if (!full || aMetadata.mWrongEndpoint) {
    mDirectory.MarkUnavailable(
      aEndpoint, aAdmission.mMetadata.mModel, aAdmission.mMetadata.mAdapter, aNow);
  }
}

void TrafficControl::End(const ids::EndpointId& aEndpoint,
                         AttemptEnd aEnd,
                         timing::Instant aNow)
{
  Endpoint* endpoint = mDirectory.Find(aEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  if (endpoint->mInFlight > 0) {
    --endpoint->mInFlight;
  }
  const auto recordOutcome = [endpoint](double aFailed) {
    endpoint->mFailureFraction += kFailureWeight * (aFailed - endpoint->mFailureFraction);
  };
  switch (aEnd) {
    case AttemptEnd::Answered:
      recordOutcome(0.0);
      break;
    case AttemptEnd::Failed:
      recordOutcome(1.0);
      break;
    case AttemptEnd::Unreachable:
      recordOutcome(1.0);
      endpoint->mAvoidUntil = aNow + kUnreachablePause;
      break;
    case AttemptEnd::Refused:
    case AttemptEnd::Abandoned:
      break;
  }
}

bool TrafficControl::TrySpendRetry(const Admission& aAdmission,
                                   std::size_t aSent,
                                   timing::Instant aNow)
{
  return aSent < aAdmission.mRoute->mMaxAttempts && aNow < aAdmission.mDeadline &&
         mRetryBudget.TrySpend(aAdmission.mService->mName, mEntries, aNow);
}

Refusal TrafficControl::RefuseNotRun(const Admission& aAdmission, NoEndpoint aReason)
{
  if (aAdmission.mAccount != nullptr) {
    mQuotas.Refund(aAdmission.mAccount->mName, aAdmission.mTokens);
  }
  Refusal refusal;
  refusal.mRoute = aAdmission.mRoute->mName;
  refusal.mTokens = aAdmission.mTokens;
  switch (aReason) {
    case NoEndpoint::ModelAbsent:
      refusal.mReason = "no endpoint holds the model";
      refusal.mRetryAfter = RetryAfter(kMinLoadRetry, kMaxLoadRetry);
      break;
    case NoEndpoint::AdapterAbsent:
      refusal.mReason = "no endpoint holds the adapter";
      refusal.mRetryAfter = RetryAfter(kMinFullRetry, kMaxFullRetry);
      break;
    case NoEndpoint::Full:
      refusal.mReason = "all endpoints are full or in cold start";
      refusal.mRetryAfter = RetryAfter(kMinFullRetry, kMaxFullRetry);
      break;
    case NoEndpoint::NoneUsable:
      refusal.mReason = "no endpoint may get work";
      refusal.mRetryAfter = RetryAfter(kMinOutageRetry, kMaxOutageRetry);
      break;
  }
  return refusal;
}

void TrafficControl::Tick(timing::Instant aNow)
{
  mDirectory.Tick(aNow);
  mCold.Tick(aNow);
  mDemand.Tick(aNow);
  mServiceDemand.Tick(aNow);
}

}
