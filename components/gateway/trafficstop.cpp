#include "components/gateway/trafficcontrol.hpp"

#include <algorithm>

namespace samphiresail::gateway {

namespace {

using std::chrono::milliseconds;

/// Retry-After during a planned stop: other entries serve, and the caller's connection
/// ends with the response.
constexpr milliseconds kMinStopRetry{ 50 };
constexpr milliseconds kMaxStopRetry{ 300 };

}

bool TrafficControl::MayBegin(const Admission& aAdmission, timing::Instant aNow) const
{
  if (!mStop) {
    return true;
  }
  const Route& route = *aAdmission.mRoute;
  const RequestMetadata& metadata = aAdmission.mMetadata;
  ExpectedRun run;
  // Engines make no request wait longer than the shortest target latency.
  run.mTarget =
    aAdmission.mService->mEngine ? route.mTightestTarget : route.mTargetLatency;
  run.mRetryable = route.IsRetryable();
  run.mDeadline =
    route.mTimeout.count() > 0
      ? std::min(aAdmission.mCallerDeadline, aAdmission.mArrived + route.mTimeout)
      : aAdmission.mCallerDeadline;
  if (aAdmission.mService->mEngine && !run.mRetryable) {
    run.mRun = mEngineModel.RunTime(metadata.mModel,
                                    static_cast<double>(metadata.mPromptTokens),
                                    static_cast<double>(metadata.mOutputTokens));
  }
  return mStop->MayBegin(run, aNow);
}

Refusal TrafficControl::RefuseStopping(const Route* aRoute, timing::Instant aNow)
{
  Refusal refusal;
  refusal.mReason = "this entry stops";
  refusal.mRetryAfter = RetryAfter(kMinStopRetry, kMaxStopRetry);
  if (aRoute != nullptr && mStop && aNow < mStop->NoticedAt()) {
    // A zone may have no other entry until then.
    const auto notice = std::chrono::ceil<milliseconds>(mStop->NoticedAt() - aNow);
    *refusal.mRetryAfter += std::min(notice, aRoute->mTargetLatency / 2);
  }
  return refusal;
}

}
