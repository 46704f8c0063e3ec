#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_OBSERVER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_OBSERVER_HPP

#include "apps/samphiresail/agent/agentactions.hpp"
#include "apps/samphiresail/agent/agentconfig.hpp"
#include "apps/samphiresail/agent/agentstate.hpp"
#include "components/logging/logger.hpp"
#include "components/metrics/registry.hpp"
#include "components/settings/processsettings.hpp"
#include "components/timeline/recorder.hpp"

namespace samphiresail::agent {

/// Shows what an agent does: time line, log lines and metrics.
class Observer
{
public:
  Observer(const AgentConfig& aConfig,
           const settings::CommonSettings& aSettings,
           const timing::Clock& aClock);

  timeline::Recorder& Timeline() { return mTimeline; }
  logging::Logger& Log() { return mLog; }

  void Record(const RecordEvent& aEvent);

  /// Sets the gauges to the state of the tables.
  void Update(const AgentState& aState, timing::Instant aNow);

private:
  ids::EndpointId mEndpoint;
  timeline::Recorder mTimeline;
  logging::Logger mLog;
  metrics::Registry mMetrics;
  metrics::Gauge mInFlight;
  metrics::Gauge mQueued;
  metrics::Gauge mCold;
  metrics::Gauge mDown;
  metrics::Gauge mMemory;
};

/// Writes the state of the tables as the JSON document of the status command.
std::string DescribeStatus(const AgentState& aState, timing::Instant aNow);

}

#endif
