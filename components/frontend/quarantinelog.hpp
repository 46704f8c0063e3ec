#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_QUARANTINELOG_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_QUARANTINELOG_HPP

#include <cstdint>
#include <string_view>

#include "components/frontend/exchange.hpp"
#include "components/frontend/gatewaymetrics.hpp"
#include "components/gateway/trafficcontrol.hpp"
#include "components/logging/logger.hpp"

namespace samphiresail::frontend {

/// Logs that a verdict began or was lifted, with what speaks for and against its cause.
void LogVerdict(logging::Logger& aLogger,
                const gateway::TrafficControl& aControl,
                const gateway::RequestQuarantine::Change& aChange,
                timing::Instant aNow);

/// Logs that the store has a record of a verdict, or no longer has one, with the time
/// until this entry's next test if it is the one that sends them.
void LogVerdictRecord(logging::Logger& aLogger,
                      const gateway::RequestQuarantine& aQuarantine,
                      std::uint64_t aVerdict,
                      std::string_view aWriter,
                      timing::Instant aNow);

/// Logs and counts the outcome of a request that tested a verdict; does nothing for other
/// requests.
void RecordTest(logging::Logger& aLogger,
                const GatewayMetrics& aMetrics,
                const Exchange& aExchange);

}

#endif
