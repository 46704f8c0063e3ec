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
  run.mTarget = route.mTargetLatency;
  run.mRetryable = route.IsRetryable();
  run.mDeadline =
    route.mTimeout.count() > 0
      ? std::min(aAdmission.mCallerDeadline, aAdmission.mArrived + route.mTimeout)
      : aAdmission.mCallerDeadline;
  if (aAdmission.mService->mEngine) {
    run.mRun = mEngineModel.RunTime(metadata.mModel,
                                    static_cast<double>(metadata.mPromptTokens),
                                    static_cast<double>(metadata.mOutputTokens));
  }
  return mStop->MayBegin(run, aNow);
}

Refusal TrafficControl::RefuseStopping()
{
  Refusal refusal;
  refusal.mReason = "this entry stops";
  refusal.mRetryAfter = RetryAfter(kMinStopRetry, kMaxStopRetry);
  return refusal;
}

}
