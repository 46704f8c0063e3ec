#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTSTATE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTSTATE_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "apps/samphiresail/agent/agentconfig.hpp"
#include "apps/samphiresail/agent/endpointgate.hpp"
#include "apps/samphiresail/agent/outbox.hpp"
#include "apps/samphiresail/agent/slottable.hpp"
#include "components/attempts/attempttable.hpp"
#include "components/attempts/ticketissuer.hpp"
#include "components/catalogue/catalogue.hpp"
#include "components/ledger/memoryledger.hpp"

namespace samphiresail::agent {

/// Tables of one agent, which its systems share.
struct AgentState
{
  AgentState(const AgentConfig& aConfig, timing::Instant aNow)
    : mConfig(aConfig)
    , mTickets(aConfig.mTicketLife, aConfig.mSeed)
    , mGate(aNow)
  {
  }

  /// Returns the declaration of a model, or nullptr.
  const catalogue::Model* FindModel(const ids::ModelId& aModel) const;

  /// Returns the pool's declaration, or nullptr before it is known.
  const catalogue::EndpointPool* FindPool() const;

  /// True if the back end is an engine that holds models.
  bool HoldsModels() const;

  /// Queues an envelope with the agent's name and versions.
  void Send(const Route& aRoute, wire::Envelope aEnvelope);

  AgentConfig mConfig;
  attempts::TicketIssuer mTickets;
  attempts::AttemptTable mAttempts;
  EndpointGate mGate;
  SlotTable mSlots;
  ledger::MemoryLedger mLedger;
  catalogue::Configuration mPool;
  /// Highest configuration version that any message carried.
  units::Version mVersionSeen;
  /// Models that this endpoint must keep, as read last.
  std::set<ids::ModelId> mKeeps;
  /// Models with an order to load them that is not ended.
  std::set<ids::ModelId> mLoading;
  std::map<ids::ModelId, timing::Instant> mLastUsed;
  std::size_t mQueued{ 0 };
  /// Mean service time of a request in microseconds.
  double mServiceTimeUs{ 0 };
  std::optional<timing::Instant> mLeavingSince;
  Outbox mOutbox;
};

}

#endif
