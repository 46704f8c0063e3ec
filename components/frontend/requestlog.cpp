#include "components/frontend/requestlog.hpp"

#include <chrono>
#include <cmath>
#include <string>

namespace samphiresail::frontend {

namespace {

/// Most lines a second of requests that were not sent. More than an entry's share of all
/// requests of a deployment, so that at normal load none is left out.
constexpr std::size_t kMaxLines = 50;
/// The same while the entry is behind, when each line delays the requests that it serves.
constexpr std::size_t kMaxLinesBehind = 10;

bool MayLogUnsent(FrontendContext& aContext, std::string_view aReason)
{
  const timing::Instant now = aContext.mClock.Now();
  return aContext.mUnsentLines.Allow(
    aReason, aContext.mLag.IsBehind(now) ? kMaxLinesBehind : kMaxLines, now);
}

std::int64_t Millis(timing::Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

}

void LogRefusal(FrontendContext& aContext,
                const gateway::RequestMetadata& aFacts,
                const gateway::Refusal& aRefusal)
{
  if (!MayLogUnsent(aContext, aRefusal.mReason)) {
    return;
  }
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

void LogCallerLeft(FrontendContext& aContext, const gateway::RequestMetadata& aFacts)
{
  constexpr std::string_view kReason = "caller left before its request was admitted";
  if (MayLogUnsent(aContext, kReason)) {
    aContext.mLogger.Info(kReason, { { "request", aFacts.mId.Str() } });
  }
}

void LogLeftOutLines(FrontendContext& aContext, timing::Instant aNow)
{
  const logging::LineLimiter::Counts counts = aContext.mUnsentLines.TakeLeftOut(aNow);
  if (counts.empty()) {
    return;
  }
  std::size_t lines = 0;
  std::string reasons;
  for (const auto& [reason, count] : counts) {
    lines += count;
    reasons.append(reasons.empty() ? "" : ", ")
      .append(reason + ": " + std::to_string(count));
  }
  aContext.mLogger.Warn("lines of requests that were not sent were left out",
                        { { "lines", lines },
                          { "reasons", reasons },
                          { "behind_ms", Millis(aContext.mLag.Lag(aNow)) } });
}

void LogRequest(FrontendContext& aContext,
                const Exchange& aExchange,
                const Forwarder& aForwarder)
{
  if (aExchange.mAttemptsSent == 0 && !MayLogUnsent(aContext, aForwarder.Outcome())) {
    return;
  }
  const gateway::Admission& admission = aExchange.mAdmission;
  const auto& tried = aExchange.mTried;
  const gateway::Attempt& attempt = aExchange.mCurrent->mAttempt;
  const bool paused = aExchange.mPauses.Longest() > timing::Duration(0);
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
      { "longest_pause_ms", Millis(aExchange.mPauses.Longest()) },
      { "pause_at", paused ? gateway::Name(aExchange.mPauses.Cause()) : "" },
      { "tried", tried.size() },
      { "sent", aExchange.mAttemptsSent },
      { "configuration", admission.mConfiguration->mVersion },
      { "configuration_age_ms", Millis(admission.mConfigurationAge) },
      { "took_ms", Millis(aContext.mClock.Now() - admission.mArrived) } });
}

}
