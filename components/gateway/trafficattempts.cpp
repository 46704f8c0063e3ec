#include "components/gateway/trafficcontrol.hpp"

#include <algorithm>
#include <utility>

#include "components/gateway/suspectedcause.hpp"

namespace samphiresail::gateway {

namespace {

using std::chrono::milliseconds;

/// Weight of the latest outcome in the moving average of failures.
constexpr double kFailureWeight = 0.12;
/// How long an unreachable endpoint is avoided.
constexpr milliseconds kUnreachablePause{ 1000 };
/// Fraction of an engine's running requests whose prompts are assumed to be unread.
constexpr double kUnreadFractionOfRunning = 0.1;
/// Shortest silence, with requests unanswered, after which an endpoint is avoided.
constexpr Milliseconds kMinSilenceLimit{ 1000.0 };
/// The same as a multiple of the forecast of a first event.
constexpr double kSilenceLimitForecasts = 3.0;

/// True if late responses count against the endpoint: the route limits the pauses of its
/// streams, or the endpoint says that it shares its machine.
bool IsJudged(const Admission& aAdmission, const Endpoint& aEndpoint)
{
  return aAdmission.mService->mEngine ? aAdmission.mRoute->mGapAim.count() > 0
                                      : aEndpoint.mReportsMachine;
}

}

Choice TrafficControl::Begin(const Admission& aAdmission,
                             const std::vector<ids::EndpointId>& aTried,
                             timing::Instant aNow)
{
  const RequestMetadata& metadata = aAdmission.mMetadata;
  if (IsQuarantined(aAdmission, aTried, aNow)) {
    return { nullptr, NoEndpoint::Quarantined, {}, {} };
  }
  if (!MayBegin(aAdmission, aNow)) {
    return { nullptr, NoEndpoint::Stopping, {}, {} };
  }
  const std::optional<std::uint64_t> cause = SuspectedCause(
    metadata, [&](std::uint64_t aCause) { return mQuarantine.EndsUnder(aCause, aNow); });
  if (cause && mSuspectAttempts.WaitsForOthers(metadata.mIdentity,
                                               *cause,
                                               mQuarantine.EndsUnder(*cause, aNow),
                                               aAdmission.mArrived,
                                               aNow)) {
    return { nullptr, NoEndpoint::Suspected, {}, {} };
  }
  Choice choice = ChooseApart(aAdmission, aTried, cause, aNow);
  if (choice.mEndpoint == nullptr) {
    if (choice.mReason == NoEndpoint::Full && aAdmission.mService->mEngine) {
      RecordWait(aAdmission, choice, aNow);
    }
    return choice;
  }
  if (aTried.empty() && !CanEnd(aAdmission, choice.mAttempt, aNow)) {
    return { nullptr, NoEndpoint::TooLate, {}, {} };
  }
  if (const auto reason = TryBeginTest(metadata, choice.mAttempt, aNow)) {
    return { nullptr, *reason, {}, {} };
  }
  if (cause && metadata.mIdentity != 0) {
    choice.mAttempt.mSuspect = metadata.mIdentity;
    mSuspectAttempts.Begin(choice.mAttempt.mEndpoint, metadata.mIdentity, *cause);
  }
  if (mEnginePolicy.mByPace && IsJudged(aAdmission, *choice.mEndpoint)) {
    choice.mAttempt.mTarget = ToMilliseconds(aAdmission.mRoute->mTargetLatency);
  }
  RecordStart(*choice.mEndpoint, choice.mAttempt);
  mCold.Record(choice.mAttempt.mEndpoint, aNow);
  if (aAdmission.mService->mEngine) {
    RecordBegun(aAdmission, aTried.empty(), aNow);
    const std::uint64_t key =
      HashName(DemandMeter::Name(metadata.mModel, metadata.mAdapter));
    mPromptCache.Record(choice.mEndpoint->mHash,
                        PromptCacheEstimate::LeadingParts(key, metadata.mPromptParts),
                        static_cast<double>(metadata.mPromptTokens),
                        aNow);
  }
  return choice;
}

bool TrafficControl::CanEnd(const Admission& aAdmission,
                            const Attempt& aAttempt,
                            timing::Instant aNow) const
{
  if (!aAdmission.mService->mEngine || aAdmission.mRoute->mKind != RequestKind::Stream) {
    return true;
  }
  const RequestMetadata& metadata = aAdmission.mMetadata;
  const Milliseconds generating = mGenerationTimes.FastTime(
    metadata.mModel, static_cast<double>(metadata.mOutputTokens));
  return generating <= Milliseconds(0) || aAttempt.mForecast.mFirstEvent + generating <=
                                            ToMilliseconds(aAdmission.mDeadline - aNow);
}

std::optional<NoEndpoint> TrafficControl::TryBeginTest(const RequestMetadata& aRequest,
                                                       Attempt& aAttempt,
                                                       timing::Instant aNow)
{
  if (mQuarantine.BlockOf(aRequest, aNow)) {
    if (!mQuarantine.TryTest(aRequest, aNow)) {
      return NoEndpoint::Quarantined;
    }
    aAttempt.mTested = mQuarantine.BlockingCauses(aRequest);
    aAttempt.mFullTest = true;
    return std::nullopt;
  }
  aAttempt.mTested = mQuarantine.CausesTested(aRequest);
  const bool allowed =
    aAttempt.mTested.empty() || mQuarantine.TryTestCauses(aAttempt.mTested, aNow);
  return allowed ? std::nullopt : std::optional(NoEndpoint::SuspectTested);
}

bool TrafficControl::MayStillSend(const Admission& aAdmission,
                                  const Attempt& aAttempt,
                                  timing::Instant aNow) const
{
  return mDirectory.TakesRequests(aAttempt.mEndpoint, aNow) &&
         (!aAttempt.mTested.empty() || !mQuarantine.BlockOf(aAdmission.mMetadata, aNow));
}

bool TrafficControl::IsQuarantined(const Admission& aAdmission,
                                   const std::vector<ids::EndpointId>& aTried,
                                   timing::Instant aNow) const
{
  const RequestMetadata& metadata = aAdmission.mMetadata;
  const bool test = aAdmission.mTestsQuarantine && aTried.empty();
  if (!test && mQuarantine.BlockOf(metadata, aNow)) {
    return true;
  }
  if (mQuarantine.EndsUnder(metadata.mIdentity, aNow) < kMaxEndsForRetry) {
    return false;
  }
  // All entries together send about one of those that come at the same time.
  return mSuspectAttempts.IsInProgress(metadata.mIdentity) ||
         HashName(metadata.mId.Str()) % std::max<std::size_t>(mEntries, 1) != 0;
}

Choice TrafficControl::ChooseApart(const Admission& aAdmission,
                                   const std::vector<ids::EndpointId>& aTried,
                                   std::optional<std::uint64_t> aSuspectedCause,
                                   timing::Instant aNow)
{
  const WaitAllowance allowance = Allowance(aAdmission, aNow);
  const double waiting = mWaitingRequests.MeanCount(aAdmission.mMetadata.mModel) *
                         static_cast<double>(mEntries - 1);
  const auto choose = [&](const std::vector<ids::EndpointId>& aExcluded) {
    const RoutingRequest request{ *aAdmission.mService,
                                  aAdmission.mMetadata,
                                  aExcluded,
                                  aAdmission.mRoute->mLatencyTolerant,
                                  allowance.mAtEngine,
                                  allowance.mBehind,
                                  UnreportedRequests(aAdmission, aNow),
                                  mEnginePolicy.mByPace
                                    ? ToMilliseconds(aAdmission.mRoute->mGapAim)
                                    : Milliseconds(0),
                                  waiting,
                                  aSuspectedCause };
    return mChooser.Choose(request, aNow);
  };
  if (aSuspectedCause) {
    std::vector<ids::EndpointId> excluded =
      mSuspectAttempts.EndpointsOfOthers(*aSuspectedCause);
    excluded.insert(excluded.end(), aTried.begin(), aTried.end());
    Choice choice = choose(excluded);
    if (choice.mEndpoint != nullptr) {
      return choice;
    }
  }
  return choose(aTried);
}

bool TrafficControl::OnUnansweredBreak(const Attempt& aAttempt,
                                       const Admission& aAdmission,
                                       timing::Instant aNow)
{
  const std::uint64_t hash = HashName(aAttempt.mEndpoint.Str());
  mQuarantine.OnBroken(hash, aAdmission.mMetadata, aNow);
  mSuspectAttempts.RecordBreak(aAdmission.mMetadata.mIdentity, aNow);
  return mQuarantine.TryProbe(hash, aNow);
}

void TrafficControl::OnProbe(const ids::EndpointId& aEndpoint,
                             bool aRefused,
                             timing::Instant aNow)
{
  const std::uint64_t hash = HashName(aEndpoint.Str());
  if (aRefused) {
    mQuarantine.OnConnectionRefused(hash, aNow);
  } else {
    mQuarantine.OnConnected(hash);
  }
}

void TrafficControl::OnAnswered(const Admission& aAdmission, timing::Instant aNow)
{
  mQuarantine.OnSound(aAdmission.mMetadata, aNow);
}

void TrafficControl::RecordStart(Endpoint& aEndpoint, const Attempt& aAttempt)
{
  const Milliseconds limit =
    std::max(kMinSilenceLimit, kSilenceLimitForecasts * aAttempt.mForecast.mFirstEvent);
  aEndpoint.mOwnLoad += aAttempt.mLoad;
  if (aEndpoint.mUnanswered == 0) {
    aEndpoint.mSilentSince = aAttempt.mSentAt;
    aEndpoint.mSilenceLimit = limit;
  }
  ++aEndpoint.mUnanswered;
  aEndpoint.mSilenceLimit = std::max(aEndpoint.mSilenceLimit, limit);
}

double TrafficControl::UnreportedRequests(const Admission& aAdmission,
                                          timing::Instant aNow) const
{
  const RequestMetadata& metadata = aAdmission.mMetadata;
  const bool engine = aAdmission.mService->mEngine.has_value();
  const double amount =
    engine ? mDemand.Rate(DemandMeter::Name(metadata.mModel, metadata.mAdapter), aNow)
           : mServiceDemand.Rate(aAdmission.mService->mName.Str(), aNow);
  const double perRequest = engine ? std::max(aAdmission.mEngineSeconds, 1e-6) : 1.0;
  const double others = static_cast<double>(mEntries) - 1.0;
  return amount / perRequest * others *
         std::chrono::duration<double>(mPeerReportInterval).count();
}

void TrafficControl::OnResponse(Attempt& aAttempt,
                                const ResponseMetadata& aMetadata,
                                timing::Instant aNow)
{
  Endpoint* endpoint = mDirectory.Find(aAttempt.mEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  endpoint->mSilentSince = aNow;
  if (aAttempt.mUnanswered) {
    aAttempt.mUnanswered = false;
    endpoint->mUnanswered -= std::min(endpoint->mUnanswered, 1U);
  }
  if (aMetadata.mMachineSlowness) {
    endpoint->mReportsMachine = true;
    mEngineModel.ObserveMachine(aAttempt.mEndpoint, *aMetadata.mMachineSlowness);
  }
  if (!aMetadata.mRunning || !aMetadata.mWaiting) {
    return;
  }
  const unsigned reported = *aMetadata.mRunning + *aMetadata.mWaiting;
  const unsigned own = endpoint->mOwnLoad.mRequests;
  const unsigned peers = reported > own ? reported - own : 0;
  EngineLoad& known = endpoint->mPeersLoad;
  if (peers <= known.mRequests) {
    const double left = known.mRequests > 0 ? double(peers) / known.mRequests : 0.0;
    known.mUnread *= left;
    known.mMemoryTokens *= left;
  } else {
    // Requests that no peer has reported yet are assumed to be like this one, or in their
    // memory like the mean of those that are known. Those that wait for a slot are
    // unread, most of the running ones are read.
    const double unknown = peers - known.mRequests;
    const double waiting = std::min<double>(unknown, *aMetadata.mWaiting);
    known.mUnread +=
      aAttempt.mLoad.mUnread * (waiting + kUnreadFractionOfRunning * (unknown - waiting));
    const EngineLoad load = endpoint->Load();
    known.mMemoryTokens += load.mMemoryTokens / std::max(load.mRequests, 1U) * unknown;
  }
  known.mRequests = peers;
  endpoint->mObservedAt = aNow;
}

void TrafficControl::OnFirstEvent(Attempt& aAttempt,
                                  const Admission& aAdmission,
                                  timing::Instant aNow)
{
  if (Endpoint* endpoint = mDirectory.Find(aAttempt.mEndpoint)) {
    endpoint->mOwnLoad -= EngineLoad{ 0, aAttempt.mLoad.mUnread, 0.0 };
    endpoint->mSilentSince = aNow;
  }
  aAttempt.mLoad.mUnread = Milliseconds(0);
  aAttempt.mLastEventAt = aNow;
  if (aAdmission.mService->mEngine) {
    mPace.OnEvent(aAttempt.mEndpoint, true, aNow);
    aAttempt.mLate = ToMilliseconds(aNow - aAttempt.mSentAt) > aAttempt.mTarget;
    mEngineModel.ObserveFirstEvent(aAttempt.mEndpoint,
                                   aAdmission.mMetadata.mModel,
                                   aAttempt.mForecast,
                                   ToMilliseconds(aNow - aAttempt.mSentAt),
                                   aNow);
  }
}

void TrafficControl::OnProgress(Attempt& aAttempt,
                                const Admission& aAdmission,
                                timing::Instant aNow)
{
  if (Endpoint* endpoint = mDirectory.Find(aAttempt.mEndpoint)) {
    endpoint->mSilentSince = aNow;
  }
  const timing::Duration longest = aAdmission.mRoute->mGapAim;
  if (longest > timing::Duration(0) && aAttempt.mLastEventAt) {
    mPace.OnEvent(aAttempt.mEndpoint, false, aNow);
    aAttempt.mLate = aAttempt.mLate || aNow - *aAttempt.mLastEventAt > longest;
  }
  aAttempt.mLastEventAt = aNow;
}

void TrafficControl::OnStreamComplete(const Attempt& aAttempt,
                                      const Admission& aAdmission,
                                      timing::Instant aFirstEvent,
                                      timing::Instant aNow)
{
  if (aAdmission.mService->mEngine) {
    mEngineModel.ObserveCompletion(
      static_cast<double>(aAdmission.mMetadata.mOutputTokens),
      ToMilliseconds(aNow - aFirstEvent),
      ToMilliseconds(aNow - aAttempt.mSentAt));
  }
}

void TrafficControl::OnOutput(const Admission& aAdmission,
                              std::size_t aEvents,
                              timing::Duration aGenerating)
{
  const RequestMetadata& metadata = aAdmission.mMetadata;
  if (aAdmission.mService->mEngine && metadata.mLastEventId.empty() && aEvents > 0) {
    const auto stated = static_cast<double>(metadata.mOutputTokens);
    mEngineMemory.ObserveOutput(metadata.mModel, stated, static_cast<double>(aEvents));
    mGenerationTimes.Observe(metadata.mModel, stated, ToMilliseconds(aGenerating));
  }
}

void TrafficControl::ForgetEndpoint(const ids::EndpointId& aEndpoint)
{
  mEngineModel.Forget(aEndpoint);
  mPace.Forget(aEndpoint);
  mLimits.Forget(HashName(aEndpoint.Str()));
  mPromptCache.Forget(HashName(aEndpoint.Str()));
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

void TrafficControl::Avoid(const ids::EndpointId& aEndpoint, timing::Instant aNow)
{
  if (Endpoint* endpoint = mDirectory.Find(aEndpoint)) {
    endpoint->mAvoidUntil = aNow + kUnreachablePause;
  }
}

void TrafficControl::End(const Attempt& aAttempt, AttemptEnd aEnd, timing::Instant aNow)
{
  if (aAttempt.mSuspect != 0) {
    mSuspectAttempts.End(aAttempt.mEndpoint, aAttempt.mSuspect);
  }
  const bool mayHaveRun = aAttempt.mRequestSent && aEnd != AttemptEnd::Refused;
  if (!mayHaveRun && !aAttempt.mTested.empty()) {
    mQuarantine.OnTestNotRun(
      aAttempt.mTested, aAttempt.mFullTest, aAttempt.mSentAt, aNow);
  }
  if (aAttempt.mLastEventAt) {
    mPace.OnEnd(aAttempt.mEndpoint);
  }
  Endpoint* endpoint = mDirectory.Find(aAttempt.mEndpoint);
  if (endpoint == nullptr) {
    return;
  }
  endpoint->mOwnLoad -= aAttempt.mLoad;
  RecordOutcome(*endpoint, aAttempt, aEnd, aNow);
  if (aAttempt.mUnanswered) {
    endpoint->mUnanswered -= std::min(endpoint->mUnanswered, 1U);
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

void TrafficControl::RecordOutcome(const Endpoint& aEndpoint,
                                   const Attempt& aAttempt,
                                   AttemptEnd aEnd,
                                   timing::Instant aNow)
{
  const bool ended = aEnd == AttemptEnd::Answered || aEnd == AttemptEnd::Failed;
  // A caller that leaves after a late event may have left for that reason.
  const bool leftLate = aEnd == AttemptEnd::Abandoned && aAttempt.mLate;
  if (aAttempt.mTarget <= Milliseconds(0) || (!ended && !leftLate)) {
    return;
  }
  const bool slow =
    !aAttempt.mLastEventAt && ToMilliseconds(aNow - aAttempt.mSentAt) > aAttempt.mTarget;
  mLimits.Record(
    aEndpoint.mHash, aAttempt.mLate || slow || aEnd == AttemptEnd::Failed, aNow);
}

void TrafficControl::UpdateLimits(
  const std::unordered_map<std::uint64_t, EndpointOutcomes>& aReported,
  timing::Instant aNow)
{
  std::unordered_map<ids::ServiceId, std::vector<LimitedEndpoint>> services;
  for (const auto& [id, endpoint] : mDirectory.All()) {
    const auto reported = aReported.find(endpoint.mHash);
    services[endpoint.mReport.mService].push_back(
      { endpoint.mHash,
        endpoint.mReport.mSlots,
        endpoint.Load().mRequests,
        reported == aReported.end() ? EndpointOutcomes{} : reported->second });
  }
  for (const auto& [service, endpoints] : services) {
    mLimits.Step(endpoints, aNow);
  }
}

bool TrafficControl::IsStalled(const Admission& aAdmission,
                               const Attempt& aAttempt,
                               timing::Instant aNow)
{
  if (!aAttempt.mUnanswered || !aAdmission.mRoute->IsRetryable()) {
    return false;
  }
  const Endpoint* endpoint = mDirectory.Find(aAttempt.mEndpoint);
  return endpoint != nullptr && endpoint->IsSilent(aNow);
}

}
