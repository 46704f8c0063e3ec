#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_SUBMITCHECK_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_SUBMITCHECK_HPP

#include <optional>

#include "apps/samphiresail/agent/agentstate.hpp"

namespace samphiresail::agent {

/// Returns why an attempt that is not known yet must not be taken, or nothing.
std::optional<wire::RefuseReason> CheckSubmit(const AgentState& aState,
                                              const wire::Submit& aSubmit,
                                              timing::Instant aNow);

/// True for reasons that refuse one submit rather than the attempt.
bool MayResubmit(wire::RefuseReason aReason);

}

#endif
