#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_INTENTLOG_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_INTENTLOG_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "apps/samphiresail/agent/agentstate.hpp"

namespace samphiresail::agent {

/// Records the intent of each order in the store before the order is sent. One
/// transaction compares the endpoint's intents and, for an unload, the keepers with what
/// was read last; if another process changed them, what it wrote is adopted and the order
/// is planned anew.
class IntentLog
{
public:
  enum class Outcome
  {
    /// The answer was to another call.
    NotMine,
    /// The intent is recorded and the order may be sent.
    Recorded,
    /// The store holds something newer, which is now adopted.
    PlanAgain,
    /// The store cannot be reached; the order must not be sent.
    Failed,
  };

  explicit IntentLog(AgentState& aState);

  /// Gives the order the next fencing number and asks the store to record it.
  ledger::Order Record(ledger::Order aOrder, timing::Instant aNow);

  Outcome OnStore(const StoreAnswer& aAnswer, timing::Instant aNow);

private:
  void Write(timing::Instant aNow);
  wire::IntentRecord MakeRecord(timing::Instant aNow) const;
  Outcome OnConflict(const store::StoreReply& aReply, timing::Instant aNow);
  void AdoptIntents(const wire::IntentRecord& aRecord, timing::Instant aNow);
  void AdoptKeepers(const std::string& aValue);

  AgentState& mState;
  std::string mKey;
  StoreCallId mCall{ 0 };
  ledger::Order mOrder;
  std::uint64_t mLastFencing{ 0 };
  std::int64_t mIntentsRevision{ 0 };
  std::int64_t mKeepersRevision{ 0 };
  int mTries{ 0 };
};

}

#endif
