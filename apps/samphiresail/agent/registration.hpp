#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_REGISTRATION_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_REGISTRATION_HPP

#include <cstdint>

#include "apps/samphiresail/agent/agentactions.hpp"
#include "apps/samphiresail/agent/agentconfig.hpp"
#include "apps/samphiresail/agent/outbox.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::agent {

/// Announces the agent in the store and withdraws the announcement at a planned stop.
/// Calls that fail are repeated with a growing wait.
class Registration
{
public:
  explicit Registration(const AgentConfig& aConfig);

  /// Starts a store call if one is due.
  void Tick(timing::Instant aNow, Outbox& aOutbox);

  /// Takes the answer to one of its own calls; ignores all others.
  void OnStore(const StoreAnswer& aAnswer, timing::Instant aNow);

  /// Withdraws the announcement.
  void Leave() { mLeaving = true; }

  /// True when nothing is left to do in the store.
  bool IsWithdrawn() const { return mWithdrawn; }
  bool IsRegistered() const { return mRegistered; }

private:
  store::TransactionRequest MakePut() const;
  store::TransactionRequest MakeDelete() const;

  std::string mKey;
  std::string mRecord;
  StoreCallId mCall{ 0 };
  timing::Instant mNextTry;
  timing::Duration mWait;
  std::int64_t mRevision{ 0 };
  bool mRegistered{ false };
  bool mLeaving{ false };
  bool mWithdrawn{ false };
};

}

#endif
