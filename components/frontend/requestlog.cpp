#include "components/frontend/requestlog.hpp"

#include <chrono>
#include <cmath>

namespace samphiresail::frontend {

namespace {

std::int64_t Millis(timing::Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

}

void LogRefusal(FrontendContext& aContext,
                const gateway::RequestMetadata& aFacts,
                const gateway::Refusal& aRefusal)
{
  const auto& configuration = aContext.mControl.Configuration();
  const timing::Duration age =
    aContext.mControl.mStoreFreshness.Staleness(aContext.mClock.Now());
  aContext.mLogger.Info(
    "request refused",
    { { "request", aFacts.mId.Str() },
      { "status", aRefusal.mStatus },
      { "reason", aRefusal.mReason },
      { "retry_after_ms",
        aRefusal.mRetryAfter.value_or(std::chrono::milliseconds(-1)).count() },
      { "route", aRefusal.mRoute },
      { "account", aRefusal.mAccount.Str() },
      { "tokens", aRefusal.mTokens },
      { "configuration", configuration ? configuration->mVersion : 0 },
      { "configuration_age_ms", configuration ? Millis(age) : -1 } });
}

void LogRequest(FrontendContext& aContext,
                const Exchange& aExchange,
                const Forwarder& aForwarder)
{
  const gateway::Admission& admission = aExchange.mAdmission;
  const auto& tried = aExchange.mTried;
  const gateway::Attempt& attempt = aExchange.mCurrent->mAttempt;
  aContext.mLogger.Info(
    "request",
    { { "request", admission.mMetadata.mId.Str() },
      { "status", aForwarder.Status() },
      { "outcome", aForwarder.Outcome() },
      { "route", admission.mRoute->mName },
      { "account", admission.mAccount != nullptr ? admission.mAccount->mName.Str() : "" },
      { "tokens", admission.mTokens },
      { "model", admission.mMetadata.mModel.Str() },
      { "adapter", admission.mMetadata.mAdapter },
      { "endpoint", tried.empty() ? "" : tried.back().Str() },
      { "read_late_ms", Millis(admission.mUnread) },
      { "queued_ms", Millis(aExchange.mQueued) },
      { "earlier_attempts_ms", Millis(admission.mEarlierAttempts) },
      { "endpoint_load", attempt.mLoadWhenChosen.mRequests },
      { "unread_ms", std::lround(attempt.mLoadWhenChosen.mUnread.count()) },
      { "forecast_ms", std::lround(attempt.mForecast.mFirstEvent.count()) },
      { "kept_tokens", std::lround(attempt.mKeptTokens) },
      { "first_event_ms",
        aExchange.mTimeToFirstEvent ? Millis(*aExchange.mTimeToFirstEvent) : -1 },
      { "tried", tried.size() },
      { "sent", aExchange.mAttemptsSent },
      { "configuration", admission.mConfiguration->mVersion },
      { "configuration_age_ms", Millis(admission.mConfigurationAge) },
      { "took_ms", Millis(aContext.mClock.Now() - admission.mArrived) } });
}

}
