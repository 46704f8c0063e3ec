#include "apps/samphiresail/agent/agentcore.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "apps/samphiresail/agent/attemptmessages.hpp"
#include "apps/samphiresail/agent/loadreport.hpp"
#include "apps/samphiresail/agent/poolupdate.hpp"
#include "apps/samphiresail/agent/submitcheck.hpp"

namespace samphiresail::agent {

namespace {

using attempts::Attempt;
using attempts::AttemptEnd;
using attempts::AttemptPhase;
using attempts::PastOutcome;

/// Time for which a planned stop waits for receipts of answers that are already sent.
constexpr std::chrono::seconds kReceiptWait{ 3 };
/// Time for which a planned stop tries to take its record out of the store.
constexpr std::chrono::seconds kWithdrawWait{ 5 };

template<typename Message>
AttemptSender SenderOf(const Route& aRoute, const Message& aMessage)
{
  return { aRoute, aMessage.request_id(), aMessage.attempt_id() };
}

bool HasOpenAttempt(AgentState& aState, const ids::ModelId& aModel)
{
  return std::ranges::any_of(aState.mAttempts.Open(), [&](const Attempt* aAttempt) {
    return aAttempt->mModel == aModel;
  });
}

}

template<admission::AdmissionQueue Queue>
BasicAgentCore<Queue>::BasicAgentCore(const AgentConfig& aConfig, timing::Instant aNow)
  : mState(aConfig, aNow)
  , mScheduler(mState)
  , mPlacement(
      mState,
      [this](const ids::ModelId& aModel) { return HasOpenAttempt(mState, aModel); })
  , mRegistration(aConfig)
{
}

template<admission::AdmissionQueue Queue>
Actions BasicAgentCore<Queue>::OnEnvelope(const Route& aRoute,
                                          wire::Envelope aEnvelope,
                                          timing::Instant aNow)
{
  mState.mVersionSeen =
    std::max(mState.mVersionSeen, units::Version(aEnvelope.configuration_version()));
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kSubmit:
      Handle(aRoute, *aEnvelope.mutable_submit(), aNow);
      break;
    case wire::Envelope::kCancel:
      Handle(aRoute, aEnvelope.cancel(), aNow);
      break;
    case wire::Envelope::kChunkReceipt:
      Confirm(mState, aRoute, aEnvelope.chunk_receipt());
      break;
    case wire::Envelope::kTombstone:
      Handle(aRoute, aEnvelope.tombstone(), aNow);
      break;
    case wire::Envelope::kProbe:
      Handle(aRoute, aEnvelope.probe(), aNow);
      break;
    case wire::Envelope::kPlacement:
      mPlacement.OnPlacement(aRoute, aEnvelope.placement(), aNow);
      break;
    default:
      break;
  }
  return mState.mOutbox.Take();
}

template<admission::AdmissionQueue Queue>
Actions BasicAgentCore<Queue>::OnBackend(BackendEvent aEvent, timing::Instant aNow)
{
  std::visit([&](auto& aItem) { Handle(aItem, aNow); }, aEvent);
  Dispatch(aNow);
  return mState.mOutbox.Take();
}

template<admission::AdmissionQueue Queue>
Actions BasicAgentCore<Queue>::OnStore(const StoreAnswer& aAnswer, timing::Instant aNow)
{
  mRegistration.OnStore(aAnswer, aNow);
  mPlacement.OnStore(aAnswer, aNow);
  return mState.mOutbox.Take();
}

template<admission::AdmissionQueue Queue>
Actions BasicAgentCore<Queue>::Tick(timing::Instant aNow)
{
  if (mState.mGate.TakeHealthQuery(aNow)) {
    mState.mOutbox.Push(QueryHealth{});
  }
  mRegistration.Tick(aNow, mState.mOutbox);
  mPlacement.Tick(aNow);
  CancelLate(aNow);
  Dispatch(aNow);
  SendProgress(mState, aNow);
  mState.mAttempts.Expire(aNow);
  ContinueLeaving(aNow);
  return mState.mOutbox.Take();
}

template<admission::AdmissionQueue Queue>
Actions BasicAgentCore<Queue>::Leave(timing::Instant aNow)
{
  if (!mState.mLeavingSince) {
    mState.mLeavingSince = aNow;
    mRegistration.Leave();
    mState.mOutbox.Record("leaving", {});
  }
  return mState.mOutbox.Take();
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const Route& aRoute,
                                   wire::Submit& aSubmit,
                                   timing::Instant aNow)
{
  const ids::AttemptId id(aSubmit.attempt_id());
  const AttemptSender sender = SenderOf(aRoute, aSubmit);
#ifndef SAMPHIRESAIL_MUTANT_ATTEMPT_DUPLICATE
  if (Attempt* attempt = mState.mAttempts.Find(id)) {
    Attach(mState, aRoute, *attempt, aSubmit.chunks_held(), aNow);
    return;
  }
#endif
  const PastOutcome pastOutcome = mState.mAttempts.FindPastOutcome(id);
  if (pastOutcome == PastOutcome::NotRun) {
    SendRefuse(mState, sender, wire::TOMBSTONED, aNow);
    return;
  }
  if (pastOutcome == PastOutcome::Ended) {
    SendUnknown(mState, sender);
    return;
  }
  const auto reason = CheckSubmit(mState, aSubmit, aNow);
  if (!reason) {
    Accept(aRoute, aSubmit, aNow);
  } else if (EndsAttempt(*reason)) {
    RefuseForGood(sender, *reason, aNow);
  } else {
    SendRefuse(mState, sender, *reason, aNow);
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Accept(const Route& aRoute,
                                   wire::Submit& aSubmit,
                                   timing::Instant aNow)
{
  Attempt& attempt = mState.mAttempts.Add(MakeAttempt(std::move(aSubmit), aNow));
  attempt.mRoute = aRoute;
  if (const auto reason = mScheduler.Enqueue(attempt, aNow)) {
    RefuseForGood(agent::SenderOf(attempt), *reason, aNow);
    return;
  }
  mState.mOutbox.Record("accept", attempt, attempt.mModel.Str());
  mState.Send(aRoute, MakeAcknowledge(attempt));
  Dispatch(aNow);
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const Route& aRoute,
                                   const wire::Cancel& aCancel,
                                   timing::Instant aNow)
{
  const ids::AttemptId id(aCancel.attempt_id());
  const AttemptSender sender = SenderOf(aRoute, aCancel);
  Attempt* attempt = mState.mAttempts.Find(id);
  if (attempt == nullptr) {
    // An earlier incarnation may have run the attempt.
    const bool sameIncarnation =
      aCancel.agent_incarnation() == mState.mConfig.mIncarnation.Count();
    if (sameIncarnation && mState.mAttempts.FindPastOutcome(id) != PastOutcome::Ended) {
      RefuseForGood(sender, wire::TOMBSTONED, aNow);
    } else {
      SendUnknown(mState, sender);
    }
    return;
  }
  attempt->mRoute = aRoute;
  switch (attempt->mPhase) {
    case AttemptPhase::Queued:
      RefuseForGood(sender, wire::TOMBSTONED, aNow);
      break;
    case AttemptPhase::Running:
      Cancel(*attempt);
      break;
    case AttemptPhase::Finished:
      SendComplete(mState, *attempt, aNow);
      break;
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const Route& aRoute,
                                   const wire::Tombstone& aTombstone,
                                   timing::Instant aNow)
{
  const ids::AttemptId id(aTombstone.attempt_id());
  wire::Envelope envelope;
  wire::TombstoneReply& reply = *envelope.mutable_tombstone_reply();
  reply.set_attempt_id(aTombstone.attempt_id());
  reply.set_agent_incarnation(mState.mConfig.mIncarnation.Count());
#ifndef SAMPHIRESAIL_MUTANT_TOMBSTONE_INCARNATION
  const bool sameIncarnation =
    aTombstone.agent_incarnation() == mState.mConfig.mIncarnation.Count();
#else
  const bool sameIncarnation = true;
#endif
  const Attempt* attempt = mState.mAttempts.Find(id);
  if (attempt != nullptr && attempt->mPhase == AttemptPhase::Queued) {
    RefuseForGood(agent::SenderOf(*attempt), wire::TOMBSTONED, aNow);
    reply.set_not_run(sameIncarnation);
  } else if (attempt != nullptr && attempt->mPhase == AttemptPhase::Finished) {
    FillEnded(reply, *attempt);
  } else if (attempt == nullptr &&
             mState.mAttempts.FindPastOutcome(id) == PastOutcome::Ended) {
    reply.set_failed(true);
  } else if (attempt == nullptr && sameIncarnation) {
    mState.mAttempts.Forbid(id, attempts::ForbidReason::Tombstoned, aNow);
    reply.set_not_run(true);
  }
  mState.Send(aRoute, std::move(envelope));
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const Route& aRoute,
                                   const wire::Probe& aProbe,
                                   timing::Instant aNow)
{
  if (!aProbe.pool_document().empty() && AdoptPool(mState, aProbe.pool_document())) {
    if (const catalogue::EndpointPool* pool = mState.FindPool()) {
      mScheduler.Resize(pool->mQueue);
    }
    mPlacement.Tick(aNow);
  }
  wire::Envelope envelope;
  *envelope.mutable_load_report() = MakeLoadReport(aProbe, mState, aNow);
  mState.Send(aRoute, std::move(envelope));
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(BackendChunk& aChunk, timing::Instant aNow)
{
  Attempt* attempt = mState.mAttempts.Find(aChunk.mAttempt);
  if (attempt == nullptr || attempt->mPhase != AttemptPhase::Running) {
    return;
  }
  attempt->mHttpStatus = aChunk.mHttpStatus;
  attempt->mContentType = std::move(aChunk.mContentType);
  const std::uint64_t sequence = attempt->mAnswer.Append(std::move(aChunk.mData));
  attempt->mSentAt = aNow;
  mState.Send(attempt->mRoute, MakeChunk(*attempt, sequence));
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const BackendDone& aDone, timing::Instant aNow)
{
  Attempt* attempt = mState.mAttempts.Find(aDone.mAttempt);
  if (attempt == nullptr || attempt->mPhase != AttemptPhase::Running) {
    return;
  }
  NoteEnd(*attempt, aDone);
  switch (aDone.mOutcome) {
    case BackendOutcome::Answered:
      NoteServiceTime(mState, aNow - attempt->mStartedAt);
      Finish(*attempt, AttemptEnd::Answered, aNow);
      break;
    case BackendOutcome::Cancelled:
      Finish(*attempt, AttemptEnd::Cancelled, aNow);
      break;
    case BackendOutcome::Malformed:
    case BackendOutcome::Truncated:
      mState.mOutbox.Record(aDone.mOutcome == BackendOutcome::Malformed
                              ? "malformed-answer"
                              : "truncated-answer",
                            *attempt,
                            aDone.mFault);
      [[fallthrough]];
    case BackendOutcome::Broken:
      mState.mGate.OnBroken(aNow);
      Finish(*attempt, AttemptEnd::Unknown, aNow);
      break;
    case BackendOutcome::NotSent:
      mState.mGate.OnUnreachable(aNow);
      mState.mSlots.Release(*attempt);
      RefuseForGood(agent::SenderOf(*attempt), wire::ENDPOINT_DOWN, aNow);
      break;
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::RefuseForGood(const AttemptSender& aSender,
                                          wire::RefuseReason aReason,
                                          timing::Instant aNow)
{
  const AttemptSender sender = aSender;
  const ids::AttemptId id(sender.mAttemptId);
  mScheduler.Remove(id);
  const auto kind = aReason == wire::TOMBSTONED ? attempts::ForbidReason::Tombstoned
                                                : attempts::ForbidReason::Refused;
  mState.mAttempts.Forbid(id, kind, aNow);
  SendRefuse(mState, sender, aReason, aNow);
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::RefuseDropped(timing::Instant aNow)
{
  for (const admission::DroppedItem& dropped : mScheduler.TakeDropped(aNow)) {
    if (const Attempt* attempt = mState.mAttempts.Find(dropped.mItem.mAttempt)) {
      const bool expired = dropped.mCause == admission::DropCause::Expired;
      RefuseForGood(
        agent::SenderOf(*attempt), expired ? wire::DEADLINE : wire::QUEUE_FULL, aNow);
    }
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Finish(Attempt& aAttempt,
                                   AttemptEnd aEnd,
                                   timing::Instant aNow)
{
  mState.mSlots.Release(aAttempt);
  mState.mAttempts.MarkFinished(aAttempt, aEnd, aNow);
  mState.mOutbox.Record("finish", aAttempt, std::to_string(aAttempt.mHttpStatus));
  SendComplete(mState, aAttempt, aNow);
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Dispatch(timing::Instant aNow)
{
  while (Attempt* attempt = mScheduler.Next(aNow)) {
    Start(*attempt, aNow);
  }
  RefuseDropped(aNow);
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Start(Attempt& aAttempt, timing::Instant aNow)
{
  mState.mSlots.Take(aAttempt);
  mState.mAttempts.MarkRunning(aAttempt, aNow);
  mState.mLastUsed[aAttempt.mModel] = aNow;
  mState.mOutbox.Record("start", aAttempt, {});
  mState.mOutbox.Push(StartBackend{ aAttempt.mId, aAttempt.mCall });
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Cancel(Attempt& aAttempt)
{
  // An irreversible call runs to its end, since its caller needs the outcome.
  if (!aAttempt.mCall.mIrreversible && !aAttempt.mCancelRequested) {
    aAttempt.mCancelRequested = true;
    mState.mOutbox.Push(CancelBackend{ aAttempt.mId });
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::CancelLate(timing::Instant aNow)
{
  for (Attempt* attempt : mState.mAttempts.Open()) {
    if (attempt->mPhase == AttemptPhase::Running && aNow >= attempt->mDeadline) {
      Cancel(*attempt);
    }
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::ContinueLeaving(timing::Instant aNow)
{
  if (!mState.mLeavingSince || mExited) {
    return;
  }
  const auto waited = aNow - *mState.mLeavingSince;
  const auto& attempts = mState.mAttempts;
  const bool confirmed = attempts.UnconfirmedCount() == 0 || waited >= kReceiptWait;
  // With the store down the record stays; the platform's list says that the VM leaves.
  const bool withdrawn = mRegistration.IsWithdrawn() || waited >= kWithdrawWait;
#ifndef SAMPHIRESAIL_MUTANT_AGENT_DRAIN
  const bool drained = attempts.OpenCount() == 0 && withdrawn && confirmed;
#else
  const bool drained = withdrawn;
#endif
  if (drained || waited >= mState.mConfig.mStopTimeout) {
    mExited = true;
    mState.mOutbox.Record("exit", std::to_string(attempts.OpenCount()));
    mState.mOutbox.Push(Exit{});
  }
}

template class BasicAgentCore<admission::FairQueue>;
template class BasicAgentCore<admission::FifoQueue>;

}
