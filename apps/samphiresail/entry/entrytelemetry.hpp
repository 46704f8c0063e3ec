#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENTRYTELEMETRY_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENTRYTELEMETRY_HPP

#include <chrono>
#include <string>

#include "apps/samphiresail/entry/callerrequest.hpp"
#include "components/logging/logger.hpp"
#include "components/metrics/registry.hpp"
#include "components/settings/processsettings.hpp"
#include "components/timeline/recorder.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::entry {

/// What an entry shows of its work: time line, log and metrics. Safe from any thread.
class EntryTelemetry
{
public:
  EntryTelemetry(const settings::EntrySettings& aSettings,
                 units::Incarnation aIncarnation,
                 const timing::Clock& aClock);

  timeline::Recorder& Timeline() { return mTimeline; }
  logging::Logger& Log() { return mLog; }

  /// Notes that a request has passed its checks.
  void OnAdmitted(const RequestSummary& aRequest);

  /// Notes an attempt that is sent to an endpoint.
  void OnAttempt(const RequestSummary& aRequest,
                 const ids::EndpointId& aEndpoint,
                 const ids::AttemptId& aAttempt);

  /// Notes that an attempt came back without an answer.
  void OnAttemptFailed(const RequestSummary& aRequest,
                       const ids::EndpointId& aEndpoint,
                       std::string_view aReason);

  /// Notes the end of a request; the result is "answered" or the name of an error.
  void OnFinished(const RequestSummary& aRequest,
                  std::string_view aResult,
                  timing::Duration aElapsed);

  /// Notes the time to the first part of an answer.
  void OnFirstPart(const RequestSummary& aRequest, timing::Duration aElapsed);

private:
  timeline::Recorder mTimeline;
  logging::Logger mLog;
  metrics::Registry mMetrics;
};

}

#endif
