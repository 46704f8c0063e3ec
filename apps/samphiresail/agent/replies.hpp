#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_REPLIES_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_REPLIES_HPP

#include <string>

#include "apps/samphiresail/agent/agentstate.hpp"

namespace samphiresail::agent {

/// Sender and identifiers of a message about an attempt.
struct AttemptSender
{
  Route mRoute;
  std::string mRequestId;
  std::string mAttemptId;
};

/// Returns the sender of an attempt that is in the table.
AttemptSender SenderOf(const attempts::Attempt& aAttempt);

void SendRefuse(AgentState& aState,
                const AttemptSender& aSender,
                wire::RefuseReason aReason,
                timing::Instant aNow);

void SendComplete(AgentState& aState, attempts::Attempt& aAttempt, timing::Instant aNow);

/// Tells the sender of an attempt that its outcome is unknown.
void SendUnknown(AgentState& aState, const AttemptSender& aSender);

/// Moves an attempt to the connection on which its sender was heard, and sends what the
/// sender does not hold yet.
void Attach(AgentState& aState,
            const Route& aRoute,
            attempts::Attempt& aAttempt,
            std::uint64_t aChunksHeld,
            timing::Instant aNow);

/// Drops the chunks that the sender confirmed.
void Confirm(AgentState& aState, const Route& aRoute, const wire::ChunkReceipt& aReceipt);

/// Sends a sign of life for attempts about which nothing was sent lately.
void SendProgress(AgentState& aState, timing::Instant aNow);

/// Writes what is known of an attempt that ended.
void FillEnded(wire::TombstoneReply& aReply, const attempts::Attempt& aAttempt);

}

#endif
