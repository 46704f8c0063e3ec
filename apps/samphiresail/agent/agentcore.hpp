#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTCORE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTCORE_HPP

#include <optional>
#include <set>
#include <string>

#include "apps/samphiresail/agent/agentactions.hpp"
#include "apps/samphiresail/agent/agentconfig.hpp"
#include "apps/samphiresail/agent/endpointgate.hpp"
#include "apps/samphiresail/agent/registration.hpp"
#include "apps/samphiresail/agent/slottable.hpp"
#include "components/admission/admissionqueue.hpp"
#include "components/admission/fairqueue.hpp"
#include "components/attempts/attempttable.hpp"
#include "components/attempts/ticketissuer.hpp"
#include "components/catalogue/catalogue.hpp"

namespace samphiresail::agent {

/// Decisions of the agent of one endpoint, without sockets, threads or clocks. Each
/// function takes one input with the time and returns what the shell must do.
template<admission::AdmissionQueue Queue>
class BasicAgentCore
{
public:
  BasicAgentCore(const AgentConfig& aConfig, timing::Instant aNow);

  Actions OnEnvelope(const Route& aRoute, wire::Envelope aEnvelope, timing::Instant aNow);
  Actions OnBackend(BackendEvent aEvent, timing::Instant aNow);
  Actions OnStore(const StoreAnswer& aAnswer, timing::Instant aNow);
  Actions Tick(timing::Instant aNow);

  /// Begins a planned stop: new work is refused, accepted work is finished.
  Actions Leave(timing::Instant aNow);

private:
  void Handle(const Route& aRoute, wire::Submit& aSubmit, timing::Instant aNow);
  void Handle(const Route& aRoute, const wire::Cancel& aCancel, timing::Instant aNow);
  void Handle(const Route& aRoute, const wire::ChunkReceipt& aReceipt);
  void Handle(const Route& aRoute,
              const wire::Tombstone& aTombstone,
              timing::Instant aNow);
  void Handle(const Route& aRoute, const wire::Probe& aProbe, timing::Instant aNow);

  void Handle(BackendChunk& aChunk, timing::Instant aNow);
  void Handle(const BackendDone& aDone, timing::Instant aNow);
  void Handle(const HealthAnswer& aAnswer, timing::Instant aNow);
  void Handle(const ResidentAnswer& aAnswer, timing::Instant aNow);
  void Handle(const OrderAnswer& aAnswer, timing::Instant aNow);

  void Accept(const Route& aRoute, wire::Submit& aSubmit, timing::Instant aNow);
  void Attach(const Route& aRoute,
              attempts::Attempt& aAttempt,
              std::uint64_t aChunksHeld,
              timing::Instant aNow);
  std::optional<wire::RefuseReason> CheckSubmit(const wire::Submit& aSubmit,
                                                timing::Instant aNow);
  /// Puts the attempt into the queue, or returns why there is no place for it.
  std::optional<wire::RefuseReason> Enqueue(const attempts::Attempt& aAttempt,
                                            timing::Instant aNow);
  /// Returns true if the model and the class leave a slot for the item.
  bool MayStart(const admission::QueueItem& aItem, timing::Instant aNow) const;
  /// Refuses attempts that waited too long or gave way to others.
  void RefuseDropped(timing::Instant aNow);

  /// Forbids an attempt that the back end has not got a byte of and says so.
  void RefuseForGood(const Route& aRoute,
                     const std::string& aRequestId,
                     const std::string& aAttemptId,
                     wire::RefuseReason aReason,
                     timing::Instant aNow);
  void SendRefuse(const Route& aRoute,
                  const std::string& aRequestId,
                  const std::string& aAttemptId,
                  wire::RefuseReason aReason,
                  timing::Instant aNow);
  void SendComplete(attempts::Attempt& aAttempt, timing::Instant aNow);
  void Finish(attempts::Attempt& aAttempt,
              attempts::AttemptEnd aEnd,
              timing::Instant aNow);

  /// Hands queued attempts to the back end as far as its limit allows.
  void Dispatch(timing::Instant aNow);
  void Start(attempts::Attempt& aAttempt, timing::Instant aNow);
  void SendProgress(timing::Instant aNow);
  void CancelLate(timing::Instant aNow);
  void QueryBackend(timing::Instant aNow);
  void ContinueLeaving(timing::Instant aNow);

  void ResizeQueue(std::size_t aCapacity, timing::Instant aNow);
  void AdoptPool(const std::string& aDocument, timing::Instant aNow);
  bool IsResident(const ids::ModelId& aModel) const;
  wire::LoadReport MakeLoadReport(const wire::Probe& aProbe, timing::Instant aNow);
  void FillLoad(wire::Load& aLoad, timing::Instant aNow) const;
  void FillModels(wire::LoadReport& aReport);
  void NoteServiceTime(timing::Duration aTime);

  void Send(const Route& aRoute, wire::Envelope aEnvelope);
  void Record(std::string aKind, const attempts::Attempt& aAttempt, std::string aDetail);
  Actions TakeActions();

  AgentConfig mConfig;
  attempts::TicketIssuer mTickets;
  attempts::AttemptTable mAttempts;
  Queue mQueue;
  EndpointGate mGate;
  Registration mRegistration;
  catalogue::Configuration mPool;
  /// Highest configuration version that any message carried.
  units::Version mVersionSeen;
  std::set<ids::ModelId> mResidents;
  timing::Instant mResidentsQueriedAt;
  SlotTable mSlots;
  double mServiceTimeUs{ 0 };
  std::optional<timing::Instant> mLeavingSince;
  bool mExited{ false };
  StoreCallId mLastCall{ 0 };
  Actions mActions;
};

using AgentCore = BasicAgentCore<admission::FairQueue>;

extern template class BasicAgentCore<admission::FairQueue>;

}

#endif
