#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_ATTEMPTMESSAGES_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_ATTEMPTMESSAGES_HPP

#include <cstdint>

#include "apps/samphiresail/agent/agentactions.hpp"
#include "components/attempts/attempt.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::agent {

/// Builds the table entry of an attempt from the message that submits it.
attempts::Attempt MakeAttempt(wire::Submit aSubmit, timing::Instant aNow);

/// Writes what the end of a back end call tells into the attempt.
void NoteEnd(attempts::Attempt& aAttempt, const BackendDone& aDone);

wire::Envelope MakeAcknowledge(const attempts::Attempt& aAttempt);
wire::Envelope MakeChunk(const attempts::Attempt& aAttempt, std::uint64_t aSequence);
wire::Envelope MakeComplete(const attempts::Attempt& aAttempt);
wire::Envelope MakeProgress(const attempts::Attempt& aAttempt);

/// Answers for an attempt whose answer is dropped or that an earlier incarnation may have
/// run: the outcome is unknown.
wire::Envelope MakeUnknownComplete(const std::string& aRequestId,
                                   const std::string& aAttemptId);

}

#endif
