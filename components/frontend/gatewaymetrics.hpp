#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_GATEWAYMETRICS_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_GATEWAYMETRICS_HPP

#include <string>

#include "components/metrics/registry.hpp"

namespace samphiresail::frontend {

/// Counters and histograms of an entry on the platform.
struct GatewayMetrics
{
  explicit GatewayMetrics(metrics::Registry& aRegistry)
    : mRequests(aRegistry.AddCounter("samphiresail_requests_total", "Requests read"))
    , mRefusals(aRegistry.AddCounter("samphiresail_refusals_total",
                                     "Requests answered by the entry itself"))
    , mQuarantineRefusals(
        aRegistry.AddCounter("samphiresail_quarantine_refusals_total",
                             "Requests refused since endpoints end under them"))
    , mQuarantineVerdicts(
        aRegistry.AddGauge("samphiresail_quarantine_verdicts",
                           "Verdicts in force, for which requests are refused"))
    , mQuarantineTestsAnswered(AddTests(aRegistry, "answered"))
    , mQuarantineTestsBroken(AddTests(aRegistry, "broke_off"))
    , mQuarantineTestsUndecided(AddTests(aRegistry, "undecided"))
    , mRetries(aRegistry.AddCounter("samphiresail_repeats_total",
                                    "Requests sent to one more endpoint"))
    , mInterruptedStreams(aRegistry.AddCounter("samphiresail_broken_answers_total",
                                               "Answers that broke off on the way"))
    , mCallersLeft(aRegistry.AddCounter("samphiresail_callers_left_total",
                                        "Requests not sent since their callers had left"))
    , mRequestsWithoutMemory(
        aRegistry.AddCounter("samphiresail_requests_without_memory_total",
                             "Requests refused since there was no memory for their body"))
    , mResponsesWithoutMemory(
        aRegistry.AddCounter("samphiresail_responses_without_memory_total",
                             "Responses given up since there was no memory to hold them"))
    , mUnread(aRegistry.AddHistogram("samphiresail_unread_seconds",
                                     "Time that a request waited to be read, while the "
                                     "entry was behind"))
    , mLatency(aRegistry.AddHistogram("samphiresail_request_seconds",
                                      "Time from a whole request to its final answer"))
    , mFirstEvent(aRegistry.AddHistogram("samphiresail_first_event_seconds",
                                         "Time from a whole request to its first event"))
    , mQueued(aRegistry.AddHistogram("samphiresail_queued_seconds",
                                     "Time that a request waited for an endpoint"))
    , mForecastError(
        aRegistry.AddHistogram("samphiresail_forecast_error_seconds",
                               "Difference between the forecast of a first event at an "
                               "engine and its arrival"))
  {
  }

  metrics::Counter mRequests;
  metrics::Counter mRefusals;
  metrics::Counter mQuarantineRefusals;
  metrics::Gauge mQuarantineVerdicts;
  /// Requests that were sent as tests of a verdict, by their outcome.
  metrics::Counter mQuarantineTestsAnswered;
  metrics::Counter mQuarantineTestsBroken;
  metrics::Counter mQuarantineTestsUndecided;
  metrics::Counter mRetries;
  metrics::Counter mInterruptedStreams;
  metrics::Counter mCallersLeft;
  metrics::Counter mRequestsWithoutMemory;
  metrics::Counter mResponsesWithoutMemory;
  metrics::Histogram mUnread;
  metrics::Histogram mLatency;
  metrics::Histogram mFirstEvent;
  metrics::Histogram mQueued;
  metrics::Histogram mForecastError;

private:
  static metrics::Counter AddTests(metrics::Registry& aRegistry,
                                   const std::string& aOutcome)
  {
    return aRegistry.AddCounter("samphiresail_quarantine_tests_total",
                                "Requests that tested a verdict, by their outcome",
                                { { "outcome", aOutcome } });
  }
};

}

#endif
