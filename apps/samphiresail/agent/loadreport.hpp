#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_LOADREPORT_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_LOADREPORT_HPP

#include "apps/samphiresail/agent/agentstate.hpp"

namespace samphiresail::agent {

/// Writes the load of the endpoint as it is now.
void FillLoad(wire::Load& aLoad, const AgentState& aState, timing::Instant aNow);

/// Answers a probe with the load, a ticket and, if asked for, the models.
wire::LoadReport MakeLoadReport(const wire::Probe& aProbe,
                                AgentState& aState,
                                timing::Instant aNow);

/// Takes a measured service time into the mean.
void NoteServiceTime(AgentState& aState, timing::Duration aTime);

}

#endif
