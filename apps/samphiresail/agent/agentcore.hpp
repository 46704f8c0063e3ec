#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTCORE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTCORE_HPP

#include "apps/samphiresail/agent/agentstate.hpp"
#include "apps/samphiresail/agent/placementsystem.hpp"
#include "apps/samphiresail/agent/registration.hpp"
#include "apps/samphiresail/agent/replies.hpp"
#include "apps/samphiresail/agent/scheduler.hpp"
#include "components/admission/admissionqueue.hpp"
#include "components/admission/fairqueue.hpp"
#include "components/admission/fifoqueue.hpp"

namespace samphiresail::agent {

/// Decisions of the agent of one endpoint, without sockets, threads or clocks. Each
/// function takes one input with the time and returns what the shell must do.
template<admission::AdmissionQueue Queue>
class BasicAgentCore
{
public:
  BasicAgentCore(const AgentConfig& aConfig, timing::Instant aNow);
  BasicAgentCore(const BasicAgentCore&) = delete;
  BasicAgentCore& operator=(const BasicAgentCore&) = delete;

  Actions OnEnvelope(const Route& aRoute, wire::Envelope aEnvelope, timing::Instant aNow);
  Actions OnBackend(BackendEvent aEvent, timing::Instant aNow);
  Actions OnStore(const StoreAnswer& aAnswer, timing::Instant aNow);
  Actions Tick(timing::Instant aNow);

  /// Begins a planned stop: new work is refused, accepted work is finished.
  Actions Leave(timing::Instant aNow);

  /// Tables for metrics and tests.
  const AgentState& State() const { return mState; }

private:
  void Handle(const Route& aRoute, wire::Submit& aSubmit, timing::Instant aNow);
  void Handle(const Route& aRoute, const wire::Cancel& aCancel, timing::Instant aNow);
  void Handle(const Route& aRoute,
              const wire::Tombstone& aTombstone,
              timing::Instant aNow);
  void Handle(const Route& aRoute, const wire::Probe& aProbe, timing::Instant aNow);

  void Handle(BackendChunk& aChunk, timing::Instant aNow);
  void Handle(const BackendDone& aDone, timing::Instant aNow);
  void Handle(const HealthAnswer& aAnswer, timing::Instant aNow)
  {
    mState.mGate.OnHealth(aAnswer, aNow);
  }
  void Handle(const ResidentAnswer& aAnswer, timing::Instant aNow)
  {
    mPlacement.OnResidents(aAnswer, aNow);
  }
  void Handle(const OrderAnswer& aAnswer, timing::Instant aNow)
  {
    mPlacement.OnOrder(aAnswer, aNow);
  }

  void Accept(const Route& aRoute, wire::Submit& aSubmit, timing::Instant aNow);

  /// Forbids an attempt that the back end has not got a byte of and says so.
  void RefuseForGood(const AttemptSender& aSender,
                     wire::RefuseReason aReason,
                     timing::Instant aNow);
  /// Refuses attempts that waited too long or gave way to others.
  void RefuseDropped(timing::Instant aNow);
  void Finish(attempts::Attempt& aAttempt,
              attempts::AttemptEnd aEnd,
              timing::Instant aNow);

  /// Hands queued attempts to the back end as far as its limit allows, and refuses those
  /// that left the queue.
  void Dispatch(timing::Instant aNow);
  void Start(attempts::Attempt& aAttempt, timing::Instant aNow);
  void Cancel(attempts::Attempt& aAttempt);
  void CancelLate(timing::Instant aNow);
  void ContinueLeaving(timing::Instant aNow);

  AgentState mState;
  Scheduler<Queue> mScheduler;
  PlacementSystem mPlacement;
  Registration mRegistration;
  bool mExited{ false };
};

using AgentCore = BasicAgentCore<admission::FairQueue>;
/// Baseline that serves in the order of arrival.
using FifoAgentCore = BasicAgentCore<admission::FifoQueue>;

extern template class BasicAgentCore<admission::FairQueue>;
extern template class BasicAgentCore<admission::FifoQueue>;

}

#endif
