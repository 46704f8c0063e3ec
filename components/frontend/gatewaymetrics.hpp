#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_GATEWAYMETRICS_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_GATEWAYMETRICS_HPP

#include "components/metrics/registry.hpp"

namespace samphiresail::frontend {

/// Counters and histograms of an entry on the platform.
struct GatewayMetrics
{
  explicit GatewayMetrics(metrics::Registry& aRegistry)
    : mRequests(aRegistry.AddCounter("samphiresail_requests_total", "Requests read"))
    , mRefusals(aRegistry.AddCounter("samphiresail_refusals_total",
                                     "Requests answered by the entry itself"))
    , mRetries(aRegistry.AddCounter("samphiresail_repeats_total",
                                    "Requests sent to one more endpoint"))
    , mInterruptedStreams(aRegistry.AddCounter("samphiresail_broken_answers_total",
                                               "Answers that broke off on the way"))
    , mLatency(aRegistry.AddHistogram("samphiresail_request_seconds",
                                      "Time from a whole request to its final answer"))
    , mFirstEvent(aRegistry.AddHistogram("samphiresail_first_event_seconds",
                                         "Time from a whole request to its first event"))
  {
  }

  metrics::Counter mRequests;
  metrics::Counter mRefusals;
  metrics::Counter mRetries;
  metrics::Counter mInterruptedStreams;
  metrics::Histogram mLatency;
  metrics::Histogram mFirstEvent;
};

}

#endif
