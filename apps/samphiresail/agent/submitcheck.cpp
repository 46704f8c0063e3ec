#include "apps/samphiresail/agent/submitcheck.hpp"

namespace samphiresail::agent {

std::optional<wire::RefuseReason> CheckSubmit(const AgentState& aState,
                                              const wire::Submit& aSubmit,
                                              timing::Instant aNow)
{
#ifndef SAMPHIRESAIL_MUTANT_AGENT_INCARNATION
  if (aSubmit.agent_incarnation() != 0 &&
      aSubmit.agent_incarnation() != aState.mConfig.mIncarnation.Count()) {
    return wire::WRONG_INCARNATION;
  }
#endif
#ifndef SAMPHIRESAIL_MUTANT_AGENT_LEAVING
  if (aState.mLeavingSince) {
    return wire::LEAVING;
  }
#endif
#ifndef SAMPHIRESAIL_MUTANT_AGENT_TICKET
  if (!aState.mTickets.IsFresh(aSubmit.ticket(), aNow)) {
    return wire::STALE_TICKET;
  }
#endif
#ifndef SAMPHIRESAIL_MUTANT_AGENT_CONFIGURATION
  if (units::Version(aSubmit.configuration_version()) < aState.mVersionSeen) {
    return wire::STALE_CONFIGURATION;
  }
#endif
  if (!aState.mGate.IsConfigured() || aState.mGate.IsDown()) {
    return wire::ENDPOINT_DOWN;
  }
  if (!aSubmit.model().empty() &&
      !aState.mLedger.IsResident(ids::ModelId(aSubmit.model()))) {
    return wire::NOT_RESIDENT;
  }
  return std::nullopt;
}

bool EndsAttempt(wire::RefuseReason aReason)
{
  switch (aReason) {
    case wire::STALE_TICKET:
    case wire::STALE_CONFIGURATION:
    case wire::WRONG_INCARNATION:
      return false;
    default:
      return true;
  }
}

}
