#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_SUBMITCHECK_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_SUBMITCHECK_HPP

#include <optional>

#include "apps/samphiresail/agent/agentstate.hpp"

namespace samphiresail::agent {

/// Returns why an attempt that is not known yet must not be taken, or nothing.
std::optional<wire::RefuseReason> CheckSubmit(const AgentState& aState,
                                              const wire::Submit& aSubmit,
                                              timing::Instant aNow);

/// True for reasons after which this agent must never run the attempt. A stale submit may
/// come again with a fresh ticket, and of an attempt that was meant for an earlier
/// incarnation nobody here knows whether it ran.
bool EndsAttempt(wire::RefuseReason aReason);

}

#endif
