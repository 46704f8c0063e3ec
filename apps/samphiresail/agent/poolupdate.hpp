#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_POOLUPDATE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_POOLUPDATE_HPP

#include <string>

#include "apps/samphiresail/agent/agentstate.hpp"

namespace samphiresail::agent {

/// Takes the pool's limits from a configuration record if it is newer than the one held.
/// Returns false, and changes nothing, for an older record or one that cannot be read.
bool AdoptPool(AgentState& aState, const std::string& aDocument);

}

#endif
