#include "apps/samphiresail/agent/replies.hpp"

#include <algorithm>
#include <utility>

#include "apps/samphiresail/agent/attemptmessages.hpp"
#include "apps/samphiresail/agent/loadreport.hpp"

namespace samphiresail::agent {

namespace {

using attempts::Attempt;
using attempts::AttemptEnd;
using attempts::AttemptPhase;

constexpr std::uint32_t kRetryAfterMs = 200;

}

AttemptSender SenderOf(const Attempt& aAttempt)
{
  return { aAttempt.mRoute, aAttempt.mRequest.Str(), aAttempt.mId.Str() };
}

void SendRefuse(AgentState& aState,
                const AttemptSender& aSender,
                wire::RefuseReason aReason,
                timing::Instant aNow)
{
  wire::Envelope envelope;
  wire::Refuse& refuse = *envelope.mutable_refuse();
  refuse.set_request_id(aSender.mRequestId);
  refuse.set_attempt_id(aSender.mAttemptId);
  refuse.set_reason(aReason);
  refuse.set_fresh_ticket(aState.mTickets.Issue(aNow));
  refuse.set_retry_after_ms(kRetryAfterMs);
  FillLoad(*refuse.mutable_load(), aState, aNow);
  aState.Send(aSender.mRoute, std::move(envelope));
  aState.mOutbox.Push(RecordEvent{
    "refuse", ids::RequestId(aSender.mRequestId), {}, wire::RefuseReason_Name(aReason) });
}

void SendComplete(AgentState& aState, Attempt& aAttempt, timing::Instant aNow)
{
  wire::Envelope envelope = MakeComplete(aAttempt);
  wire::Complete& complete = *envelope.mutable_complete();
  complete.set_fresh_ticket(aState.mTickets.Issue(aNow));
  FillLoad(*complete.mutable_load(), aState, aNow);
  aAttempt.mSentAt = aNow;
  aState.Send(aAttempt.mRoute, std::move(envelope));
}

void SendUnknown(AgentState& aState, const AttemptSender& aSender)
{
  aState.Send(aSender.mRoute,
              MakeUnknownComplete(aSender.mRequestId, aSender.mAttemptId));
}

void Attach(AgentState& aState,
            const Route& aRoute,
            Attempt& aAttempt,
            std::uint64_t aChunksHeld,
            timing::Instant aNow)
{
  aAttempt.mRoute = aRoute;
  aAttempt.mSentAt = aNow;
  aState.mOutbox.Record("attach", aAttempt, std::to_string(aChunksHeld));
  aState.Send(aRoute, MakeAcknowledge(aAttempt));
#ifndef SAMPHIRESAIL_MUTANT_AGENT_RESEND
  const std::uint64_t first = std::max(aChunksHeld, aAttempt.mAnswer.First());
  for (std::uint64_t n = first; n < aAttempt.mAnswer.Count(); ++n) {
    aState.Send(aRoute, MakeChunk(aAttempt, n));
  }
#endif
  if (aAttempt.mPhase == AttemptPhase::Finished) {
    SendComplete(aState, aAttempt, aNow);
  }
}

void Confirm(AgentState& aState, const Route& aRoute, const wire::ChunkReceipt& aReceipt)
{
  Attempt* attempt = aState.mAttempts.Find(ids::AttemptId(aReceipt.attempt_id()));
  if (attempt == nullptr) {
    return;
  }
  attempt->mRoute = aRoute;
  if (aReceipt.complete() && attempt->mPhase == AttemptPhase::Finished) {
    attempt->mConfirmed = true;
  }
  // The answer of an irreversible call is kept whole for another entry that takes over.
  if (!attempt->mCall.mIrreversible) {
    attempt->mAnswer.Confirm(aReceipt.chunks_held());
  }
}

void SendProgress(AgentState& aState, timing::Instant aNow)
{
  for (Attempt* attempt : aState.mAttempts.Open()) {
    if (aNow - attempt->mSentAt >= aState.mConfig.mProgressInterval) {
      attempt->mSentAt = aNow;
      aState.Send(attempt->mRoute, MakeProgress(*attempt));
    }
  }
}

void FillEnded(wire::TombstoneReply& aReply, const Attempt& aAttempt)
{
  const bool answered =
    aAttempt.mEnd == AttemptEnd::Answered && aAttempt.mAnswer.First() == 0;
  aReply.set_finished(answered);
  aReply.set_failed(!answered);
  if (answered) {
    aReply.set_http_status(static_cast<std::uint32_t>(aAttempt.mHttpStatus));
    aReply.set_content_type(aAttempt.mContentType);
    aReply.set_answer(aAttempt.mAnswer.Joined());
  }
}

}
