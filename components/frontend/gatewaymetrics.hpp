#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_GATEWAYMETRICS_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_GATEWAYMETRICS_HPP

#include <string>

#include "components/gateway/streampauses.hpp"
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
    , mMalformedAnswers(aRegistry.AddCounter("samphiresail_malformed_answers_total",
                                             "Answers that break the grammar of HTTP"))
    , mTruncatedAnswers(aRegistry.AddCounter(
        "samphiresail_truncated_answers_total",
        "Answers without a length whose connection failed before their end"))
    , mStoreRestores(
        aRegistry.AddCounter("samphiresail_store_restores_total",
                             "Restores of the platform's store from a backup"))
    , mCallersLeft(aRegistry.AddCounter("samphiresail_callers_left_total",
                                        "Requests not sent since their callers had left"))
    , mRequestsWithoutMemory(
        aRegistry.AddCounter("samphiresail_requests_without_memory_total",
                             "Requests refused since there was no memory for their body"))
    , mResponsesWithoutMemory(
        aRegistry.AddCounter("samphiresail_responses_without_memory_total",
                             "Responses given up since there was no memory to hold them"))
    , mLateByEndpoint(AddLateStreams(aRegistry, gateway::PauseCause::Endpoint))
    , mLateByEntry(AddLateStreams(aRegistry, gateway::PauseCause::EntryBehind))
    , mLateByCaller(AddLateStreams(aRegistry, gateway::PauseCause::CallerNotReading))
    , mLateByResumption(AddLateStreams(aRegistry, gateway::PauseCause::ResumedElsewhere))
    , mUnread(aRegistry.AddHistogram("samphiresail_unread_seconds",
                                     "Time that a request waited to be read, while the "
                                     "entry was behind"))
    , mReducedLimits(aRegistry.AddGauge("samphiresail_endpoint_limits_reduced",
                                        "Endpoints that take fewer requests well than "
                                        "they have slots"))
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
  metrics::Counter mMalformedAnswers;
  metrics::Counter mTruncatedAnswers;
  metrics::Counter mStoreRestores;
  metrics::Counter mCallersLeft;
  metrics::Counter mRequestsWithoutMemory;
  metrics::Counter mResponsesWithoutMemory;
  /// Streams with a pause above the longest that their routes state, by its cause.
  metrics::Counter mLateByEndpoint;
  metrics::Counter mLateByEntry;
  metrics::Counter mLateByCaller;
  metrics::Counter mLateByResumption;
  metrics::Histogram mUnread;
  metrics::Gauge mReducedLimits;
  metrics::Histogram mLatency;
  metrics::Histogram mFirstEvent;
  metrics::Histogram mQueued;
  metrics::Histogram mForecastError;

  const metrics::Counter& LateStreams(gateway::PauseCause aCause) const
  {
    switch (aCause) {
      case gateway::PauseCause::EntryBehind:
        return mLateByEntry;
      case gateway::PauseCause::CallerNotReading:
        return mLateByCaller;
      case gateway::PauseCause::ResumedElsewhere:
        return mLateByResumption;
      case gateway::PauseCause::Endpoint:
        break;
    }
    return mLateByEndpoint;
  }

private:
  static metrics::Counter AddLateStreams(metrics::Registry& aRegistry,
                                         gateway::PauseCause aCause)
  {
    return aRegistry.AddCounter("samphiresail_streams_late_by_pause_total",
                                "Streams with a longer pause than their routes allow, by "
                                "where it arose",
                                { { "cause", std::string(gateway::Name(aCause)) } });
  }
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
