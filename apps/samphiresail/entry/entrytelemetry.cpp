#include "apps/samphiresail/entry/entrytelemetry.hpp"

#include "components/catalogue/configurationcodec.hpp"

namespace samphiresail::entry {

EntryTelemetry::EntryTelemetry(const settings::EntrySettings& aSettings,
                               units::Incarnation aIncarnation,
                               const timing::Clock& aClock)
  : mTimeline(aSettings.mCommon.mName,
              aIncarnation,
              aClock,
              aSettings.mCommon.mTimelineEvents)
  , mLog(aSettings.mCommon.mName.Str(), logging::ParseLevel(aSettings.mCommon.mLogLevel))
{
  mMetrics.Serve(aSettings.mCommon.mMetrics);
}

void EntryTelemetry::OnAdmitted(const RequestSummary& aRequest)
{
  mTimeline.Record("admit",
                   { .mRequest = aRequest.mId.Str(),
                     .mAccount = aRequest.mAccount.Str(),
                     .mDetail = catalogue::ClassName(aRequest.mClass) });
}

void EntryTelemetry::OnAttempt(const RequestSummary& aRequest,
                               const ids::EndpointId& aEndpoint,
                               const ids::AttemptId& aAttempt)
{
  mTimeline.Record("submit",
                   { .mRequest = aRequest.mId.Str(),
                     .mAccount = aRequest.mAccount.Str(),
                     .mEndpoint = aEndpoint.Str(),
                     .mDetail = aAttempt.Str() });
  mMetrics.AddCounter("samphiresail_attempts_total", "Attempts sent to endpoints")
    .Increment();
}

void EntryTelemetry::OnAttemptFailed(const RequestSummary& aRequest,
                                     const ids::EndpointId& aEndpoint,
                                     std::string_view aReason)
{
  mTimeline.Record("attempt-failed",
                   { .mRequest = aRequest.mId.Str(),
                     .mAccount = aRequest.mAccount.Str(),
                     .mEndpoint = aEndpoint.Str(),
                     .mDetail = aReason });
  mMetrics
    .AddCounter("samphiresail_attempts_failed_total",
                "Attempts that came back without an answer",
                { { "reason", std::string(aReason) } })
    .Increment();
}

void EntryTelemetry::OnFinished(const RequestSummary& aRequest,
                                std::string_view aResult,
                                timing::Duration aElapsed)
{
  mTimeline.Record("finish",
                   { .mRequest = aRequest.mId.Str(),
                     .mAccount = aRequest.mAccount.Str(),
                     .mDetail = aResult });
  const metrics::Labels labels{ { "account", aRequest.mAccount.Str() },
                                { "class",
                                  std::string(catalogue::ClassName(aRequest.mClass)) },
                                { "result", std::string(aResult) } };
  mMetrics.AddCounter("samphiresail_requests_total", "Requests by result", labels)
    .Increment();
  mMetrics
    .AddHistogram("samphiresail_request_seconds",
                  "Time from the request to the end of its answer",
                  { { "class", labels.at("class") } })
    .Observe(aElapsed);
  mLog.Info("request",
            { { "request_id", aRequest.mId.Str() },
              { "account", aRequest.mAccount.Str() },
              { "class", catalogue::ClassName(aRequest.mClass) },
              { "model", aRequest.mModel.Str() },
              { "service", aRequest.mService.Str() },
              { "result", aResult },
              { "ms", std::chrono::duration<double, std::milli>(aElapsed).count() } });
}

void EntryTelemetry::OnFirstPart(const RequestSummary& aRequest,
                                 timing::Duration aElapsed)
{
  mMetrics
    .AddHistogram("samphiresail_first_part_seconds",
                  "Time from the request to the first part of its answer",
                  { { "class", std::string(catalogue::ClassName(aRequest.mClass)) } })
    .Observe(aElapsed);
}

}
