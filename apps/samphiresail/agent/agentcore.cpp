#include "apps/samphiresail/agent/agentcore.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "apps/samphiresail/agent/attemptmessages.hpp"
#include "components/admission/batchslack.hpp"
#include "components/catalogue/configurationcodec.hpp"

namespace samphiresail::agent {

namespace {

using attempts::Attempt;
using attempts::AttemptEnd;
using attempts::AttemptPhase;
using attempts::Remnant;
using catalogue::PoolKind;

constexpr std::chrono::seconds kResidentsInterval{ 2 };
/// Capacity of the queue until the pool's limits are known.
constexpr std::size_t kFirstQueueCapacity = 1;
constexpr std::uint32_t kRetryAfterMs = 200;
/// Weight of the newest measurement in the mean service time.
constexpr double kServiceTimeGain = 0.1;
/// Time for which a planned stop waits for receipts of answers that are already sent.
constexpr std::chrono::seconds kReceiptWait{ 3 };

/// True for reasons that refuse one submit rather than the attempt.
bool MayResubmit(wire::RefuseReason aReason)
{
  return aReason == wire::STALE_TICKET || aReason == wire::STALE_CONFIGURATION;
}

}

template<admission::AdmissionQueue Queue>
BasicAgentCore<Queue>::BasicAgentCore(const AgentConfig& aConfig, timing::Instant aNow)
  : mConfig(aConfig)
  , mTickets(aConfig.mTicketLife, aConfig.mSeed)
  , mQueue({ kFirstQueueCapacity })
  , mGate(aNow)
  , mRegistration(aConfig)
{
}

template<admission::AdmissionQueue Queue>
Actions BasicAgentCore<Queue>::OnEnvelope(const Route& aRoute,
                                          wire::Envelope aEnvelope,
                                          timing::Instant aNow)
{
  mVersionSeen =
    std::max(mVersionSeen, units::Version(aEnvelope.configuration_version()));
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kSubmit:
      Handle(aRoute, *aEnvelope.mutable_submit(), aNow);
      break;
    case wire::Envelope::kCancel:
      Handle(aRoute, aEnvelope.cancel(), aNow);
      break;
    case wire::Envelope::kChunkReceipt:
      Handle(aRoute, aEnvelope.chunk_receipt());
      break;
    case wire::Envelope::kTombstone:
      Handle(aRoute, aEnvelope.tombstone(), aNow);
      break;
    case wire::Envelope::kProbe:
      Handle(aRoute, aEnvelope.probe(), aNow);
      break;
    default:
      break;
  }
  return TakeActions();
}

template<admission::AdmissionQueue Queue>
Actions BasicAgentCore<Queue>::OnBackend(BackendEvent aEvent, timing::Instant aNow)
{
  std::visit([&](auto& aItem) { Handle(aItem, aNow); }, aEvent);
  Dispatch(aNow);
  RefuseDropped(aNow);
  return TakeActions();
}

template<admission::AdmissionQueue Queue>
Actions BasicAgentCore<Queue>::OnStore(const StoreAnswer& aAnswer, timing::Instant aNow)
{
  mRegistration.OnStore(aAnswer, aNow);
  return TakeActions();
}

template<admission::AdmissionQueue Queue>
Actions BasicAgentCore<Queue>::Tick(timing::Instant aNow)
{
  QueryBackend(aNow);
  mRegistration.Tick(aNow, mLastCall, mActions);
  CancelLate(aNow);
  Dispatch(aNow);
  RefuseDropped(aNow);
  SendProgress(aNow);
  mAttempts.Expire(aNow);
  ContinueLeaving(aNow);
  return TakeActions();
}

template<admission::AdmissionQueue Queue>
Actions BasicAgentCore<Queue>::Leave(timing::Instant aNow)
{
  if (!mLeavingSince) {
    mLeavingSince = aNow;
    mRegistration.Leave();
    mActions.push_back(RecordEvent{ "leaving" });
  }
  return TakeActions();
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const Route& aRoute,
                                   wire::Submit& aSubmit,
                                   timing::Instant aNow)
{
  const ids::AttemptId id(aSubmit.attempt_id());
#ifndef SAMPHIRESAIL_MUTANT_ATTEMPT_DUPLICATE
  if (Attempt* attempt = mAttempts.Find(id)) {
    Attach(aRoute, *attempt, aSubmit.chunks_held(), aNow);
    return;
  }
#endif
  switch (mAttempts.FindRemnant(id)) {
    case Remnant::NotRun:
      SendRefuse(
        aRoute, aSubmit.request_id(), aSubmit.attempt_id(), wire::TOMBSTONED, aNow);
      return;
    case Remnant::Ended:
      Send(aRoute, MakeUnknownComplete(aSubmit.request_id(), aSubmit.attempt_id()));
      return;
    case Remnant::None:
      break;
  }
  const auto reason = CheckSubmit(aSubmit, aNow);
  if (!reason) {
    Accept(aRoute, aSubmit, aNow);
  } else if (MayResubmit(*reason)) {
    SendRefuse(aRoute, aSubmit.request_id(), aSubmit.attempt_id(), *reason, aNow);
  } else {
    RefuseForGood(aRoute, aSubmit.request_id(), aSubmit.attempt_id(), *reason, aNow);
  }
}

template<admission::AdmissionQueue Queue>
std::optional<wire::RefuseReason> BasicAgentCore<Queue>::CheckSubmit(
  const wire::Submit& aSubmit,
  timing::Instant aNow)
{
#ifndef SAMPHIRESAIL_MUTANT_AGENT_INCARNATION
  if (aSubmit.agent_incarnation() != 0 &&
      aSubmit.agent_incarnation() != mConfig.mIncarnation.Count()) {
    return wire::WRONG_INCARNATION;
  }
#endif
#ifndef SAMPHIRESAIL_MUTANT_AGENT_LEAVING
  if (mLeavingSince) {
    return wire::LEAVING;
  }
#endif
#ifndef SAMPHIRESAIL_MUTANT_AGENT_TICKET
  if (!mTickets.IsFresh(aSubmit.ticket(), aNow)) {
    return wire::STALE_TICKET;
  }
#endif
#ifndef SAMPHIRESAIL_MUTANT_AGENT_CONFIGURATION
  if (units::Version(aSubmit.configuration_version()) < mVersionSeen) {
    return wire::STALE_CONFIGURATION;
  }
#endif
  if (!mGate.IsConfigured() || mGate.IsDown()) {
    return wire::ENDPOINT_DOWN;
  }
  if (!aSubmit.model().empty() && !IsResident(ids::ModelId(aSubmit.model()))) {
    return wire::NOT_RESIDENT;
  }
  return std::nullopt;
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Accept(const Route& aRoute,
                                   wire::Submit& aSubmit,
                                   timing::Instant aNow)
{
  Attempt& attempt = mAttempts.Add(MakeAttempt(std::move(aSubmit), aNow));
  attempt.mRoute = aRoute;
  attempt.mSentAt = aNow;
  if (const auto reason = Enqueue(attempt, aNow)) {
    const std::string request = attempt.mRequest.Str();
    const std::string id = attempt.mId.Str();
    RefuseForGood(aRoute, request, id, *reason, aNow);
    return;
  }
  Record("accept", attempt, attempt.mModel.Str());
  Send(aRoute, MakeAcknowledge(attempt));
  Dispatch(aNow);
  RefuseDropped(aNow);
}

template<admission::AdmissionQueue Queue>
std::optional<wire::RefuseReason> BasicAgentCore<Queue>::Enqueue(const Attempt& aAttempt,
                                                                 timing::Instant aNow)
{
  const bool busy = mSlots.InFlight() >= mGate.InFlightLimit(aNow);
  if (busy && mGate.IsCold(aNow) && mQueue.Size() >= mGate.QueueLimit(aNow)) {
    return wire::COLD_LIMIT;
  }
  const admission::PushResult result = mQueue.Push({ .mAttempt = aAttempt.mId,
                                                     .mClass = aAttempt.mClass,
                                                     .mAccount = aAttempt.mAccount,
                                                     .mWeight = aAttempt.mWeight,
                                                     .mDeadline = aAttempt.mDeadline,
                                                     .mCost = aAttempt.mCost,
                                                     .mModel = aAttempt.mModel },
                                                   aNow);
  switch (result) {
    case admission::PushResult::Accepted:
      return std::nullopt;
    case admission::PushResult::Expired:
      return wire::DEADLINE;
    default:
      return wire::QUEUE_FULL;
  }
}

template<admission::AdmissionQueue Queue>
bool BasicAgentCore<Queue>::MayStart(const admission::QueueItem& aItem,
                                     timing::Instant aNow) const
{
  const auto& models = mPool.mCatalogue.mModels;
  const auto model = std::ranges::find(models, aItem.mModel, &catalogue::Model::mName);
  if (model != models.end() && model->mKnee > 0 &&
      mSlots.InFlight(aItem.mModel) >= model->mKnee) {
    return false;
  }
  return aItem.mClass != catalogue::RequestClass::Batch ||
         admission::BatchFits({ .mInFlight = mSlots.InFlight(),
                                .mBatchInFlight = mSlots.BatchInFlight(),
                                .mLimit = mGate.InFlightLimit(aNow) });
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::RefuseDropped(timing::Instant aNow)
{
  for (const admission::DroppedItem& dropped : mQueue.TakeDropped(aNow)) {
    if (const Attempt* attempt = mAttempts.Find(dropped.mItem.mAttempt)) {
      const bool expired = dropped.mCause == admission::DropCause::Expired;
      const Route route = attempt->mRoute;
      const std::string request = attempt->mRequest.Str();
      RefuseForGood(route,
                    request,
                    dropped.mItem.mAttempt.Str(),
                    expired ? wire::DEADLINE : wire::QUEUE_FULL,
                    aNow);
    }
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Attach(const Route& aRoute,
                                   Attempt& aAttempt,
                                   std::uint64_t aChunksHeld,
                                   timing::Instant aNow)
{
  aAttempt.mRoute = aRoute;
  aAttempt.mSentAt = aNow;
  Record("attach", aAttempt, std::to_string(aChunksHeld));
  Send(aRoute, MakeAcknowledge(aAttempt));
  const std::uint64_t first = std::max(aChunksHeld, aAttempt.mAnswer.First());
  for (std::uint64_t n = first; n < aAttempt.mAnswer.Count(); ++n) {
    Send(aRoute, MakeChunk(aAttempt, n));
  }
  if (aAttempt.mPhase == AttemptPhase::Finished) {
    SendComplete(aAttempt, aNow);
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const Route& aRoute,
                                   const wire::Cancel& aCancel,
                                   timing::Instant aNow)
{
  const ids::AttemptId id(aCancel.attempt_id());
  Attempt* attempt = mAttempts.Find(id);
  if (attempt == nullptr) {
    const bool sameIncarnation =
      aCancel.agent_incarnation() == mConfig.mIncarnation.Count();
    if (sameIncarnation && mAttempts.FindRemnant(id) != Remnant::Ended) {
      RefuseForGood(
        aRoute, aCancel.request_id(), aCancel.attempt_id(), wire::TOMBSTONED, aNow);
    } else {
      Send(aRoute, MakeUnknownComplete(aCancel.request_id(), aCancel.attempt_id()));
    }
    return;
  }
  attempt->mRoute = aRoute;
  switch (attempt->mPhase) {
    case AttemptPhase::Queued:
      RefuseForGood(
        aRoute, aCancel.request_id(), aCancel.attempt_id(), wire::TOMBSTONED, aNow);
      break;
    case AttemptPhase::Running:
      if (!attempt->mCall.mIrreversible && !attempt->mCancelRequested) {
        attempt->mCancelRequested = true;
        mActions.push_back(CancelBackend{ id });
      }
      break;
    case AttemptPhase::Finished:
      SendComplete(*attempt, aNow);
      break;
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const Route& aRoute,
                                   const wire::ChunkReceipt& aReceipt)
{
  Attempt* attempt = mAttempts.Find(ids::AttemptId(aReceipt.attempt_id()));
  if (attempt == nullptr) {
    return;
  }
  attempt->mRoute = aRoute;
  attempt->mConfirmed = aReceipt.complete() && attempt->mPhase == AttemptPhase::Finished;
  // The answer of an irreversible call is kept whole for another entry that takes over.
  if (!attempt->mCall.mIrreversible) {
    attempt->mAnswer.Confirm(aReceipt.chunks_held());
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
  reply.set_agent_incarnation(mConfig.mIncarnation.Count());
  Attempt* attempt = mAttempts.Find(id);
  const Remnant remnant = mAttempts.FindRemnant(id);
#ifndef SAMPHIRESAIL_MUTANT_TOMBSTONE_INCARNATION
  const bool sameIncarnation =
    aTombstone.agent_incarnation() == mConfig.mIncarnation.Count();
#else
  const bool sameIncarnation = true;
#endif
  if (attempt != nullptr && attempt->mPhase == AttemptPhase::Queued) {
    RefuseForGood(attempt->mRoute,
                  attempt->mRequest.Str(),
                  aTombstone.attempt_id(),
                  wire::TOMBSTONED,
                  aNow);
    reply.set_not_run(sameIncarnation);
  } else if (attempt != nullptr && attempt->mPhase == AttemptPhase::Finished) {
    const bool answered =
      attempt->mEnd == AttemptEnd::Answered && attempt->mAnswer.First() == 0;
    reply.set_finished(answered);
    reply.set_failed(!answered);
    if (answered) {
      reply.set_http_status(static_cast<std::uint32_t>(attempt->mHttpStatus));
      reply.set_content_type(attempt->mContentType);
      reply.set_answer(attempt->mAnswer.Joined());
    }
  } else if (attempt == nullptr && remnant == Remnant::Ended) {
    reply.set_failed(true);
  } else if (attempt == nullptr && sameIncarnation) {
    mAttempts.Forbid(id, attempts::Forbidden::Tombstoned, aNow);
    reply.set_not_run(true);
  }
  Send(aRoute, std::move(envelope));
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const Route& aRoute,
                                   const wire::Probe& aProbe,
                                   timing::Instant aNow)
{
  if (!aProbe.pool_document().empty()) {
    AdoptPool(aProbe.pool_document(), aNow);
  }
  wire::Envelope envelope;
  *envelope.mutable_load_report() = MakeLoadReport(aProbe, aNow);
  Send(aRoute, std::move(envelope));
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(BackendChunk& aChunk, timing::Instant aNow)
{
  Attempt* attempt = mAttempts.Find(aChunk.mAttempt);
  if (attempt == nullptr || attempt->mPhase != AttemptPhase::Running) {
    return;
  }
  attempt->mHttpStatus = aChunk.mHttpStatus;
  attempt->mContentType = std::move(aChunk.mContentType);
  const std::uint64_t sequence = attempt->mAnswer.Append(std::move(aChunk.mData));
  attempt->mSentAt = aNow;
  Send(attempt->mRoute, MakeChunk(*attempt, sequence));
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const BackendDone& aDone, timing::Instant aNow)
{
  Attempt* attempt = mAttempts.Find(aDone.mAttempt);
  if (attempt == nullptr || attempt->mPhase != AttemptPhase::Running) {
    return;
  }
  if (aDone.mHttpStatus != 0) {
    attempt->mHttpStatus = aDone.mHttpStatus;
    attempt->mContentType = aDone.mContentType;
  }
  attempt->mPromptTokens = aDone.mPromptTokens;
  attempt->mOutputTokens = aDone.mOutputTokens;
  switch (aDone.mOutcome) {
    case BackendOutcome::Answered:
      NoteServiceTime(aNow - attempt->mStartedAt);
      Finish(*attempt, AttemptEnd::Answered, aNow);
      break;
    case BackendOutcome::Cancelled:
      Finish(*attempt, AttemptEnd::Cancelled, aNow);
      break;
    case BackendOutcome::Broken:
      mGate.OnBroken(aNow);
      Finish(*attempt, AttemptEnd::Unknown, aNow);
      break;
    case BackendOutcome::NotSent: {
      mGate.OnUnreachable(aNow);
      mSlots.Release(*attempt);
      const Attempt refused = *attempt;
      RefuseForGood(refused.mRoute,
                    refused.mRequest.Str(),
                    refused.mId.Str(),
                    wire::ENDPOINT_DOWN,
                    aNow);
      break;
    }
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const HealthAnswer& aAnswer, timing::Instant aNow)
{
  mGate.OnHealth(aAnswer, aNow);
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const ResidentAnswer& aAnswer, timing::Instant)
{
  if (aAnswer.mAnswered) {
    mResidents.clear();
    mResidents.insert(aAnswer.mModels.begin(), aAnswer.mModels.end());
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Handle(const OrderAnswer&, timing::Instant)
{
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::RefuseForGood(const Route& aRoute,
                                          const std::string& aRequestId,
                                          const std::string& aAttemptId,
                                          wire::RefuseReason aReason,
                                          timing::Instant aNow)
{
  const ids::AttemptId id(aAttemptId);
  mQueue.Remove(id);
  const auto kind = aReason == wire::TOMBSTONED ? attempts::Forbidden::Tombstoned
                                                : attempts::Forbidden::Refused;
  mAttempts.Forbid(id, kind, aNow);
  SendRefuse(aRoute, aRequestId, aAttemptId, aReason, aNow);
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::SendRefuse(const Route& aRoute,
                                       const std::string& aRequestId,
                                       const std::string& aAttemptId,
                                       wire::RefuseReason aReason,
                                       timing::Instant aNow)
{
  wire::Envelope envelope;
  wire::Refuse& refuse = *envelope.mutable_refuse();
  refuse.set_request_id(aRequestId);
  refuse.set_attempt_id(aAttemptId);
  refuse.set_reason(aReason);
  refuse.set_fresh_ticket(mTickets.Issue(aNow));
  refuse.set_retry_after_ms(kRetryAfterMs);
  FillLoad(*refuse.mutable_load(), aNow);
  Send(aRoute, std::move(envelope));
  mActions.push_back(RecordEvent{
    "refuse", ids::RequestId(aRequestId), {}, wire::RefuseReason_Name(aReason) });
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::SendComplete(Attempt& aAttempt, timing::Instant aNow)
{
  wire::Envelope envelope = MakeComplete(aAttempt);
  wire::Complete& complete = *envelope.mutable_complete();
  complete.set_fresh_ticket(mTickets.Issue(aNow));
  FillLoad(*complete.mutable_load(), aNow);
  aAttempt.mSentAt = aNow;
  Send(aAttempt.mRoute, std::move(envelope));
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Finish(Attempt& aAttempt,
                                   AttemptEnd aEnd,
                                   timing::Instant aNow)
{
  mSlots.Release(aAttempt);
  mAttempts.MarkFinished(aAttempt, aEnd, aNow);
  Record("finish", aAttempt, std::to_string(aAttempt.mHttpStatus));
  SendComplete(aAttempt, aNow);
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Dispatch(timing::Instant aNow)
{
  const auto mayStart = [&](const admission::QueueItem& aItem) {
    return MayStart(aItem, aNow);
  };
  while (mSlots.InFlight() < mGate.InFlightLimit(aNow)) {
    const auto item = mQueue.Pop(aNow, mayStart);
    if (!item) {
      return;
    }
    if (Attempt* attempt = mAttempts.Find(item->mAttempt)) {
      Start(*attempt, aNow);
    }
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Start(Attempt& aAttempt, timing::Instant aNow)
{
  mSlots.Take(aAttempt);
  mAttempts.MarkRunning(aAttempt, aNow);
  Record("start", aAttempt, {});
  mActions.push_back(StartBackend{ aAttempt.mId, aAttempt.mCall });
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::SendProgress(timing::Instant aNow)
{
  for (Attempt* attempt : mAttempts.Open()) {
    if (aNow - attempt->mSentAt >= mConfig.mProgressInterval) {
      attempt->mSentAt = aNow;
      Send(attempt->mRoute, MakeProgress(*attempt));
    }
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::CancelLate(timing::Instant aNow)
{
  for (Attempt* attempt : mAttempts.Open()) {
    const bool late =
      attempt->mPhase == AttemptPhase::Running && aNow >= attempt->mDeadline;
    if (late && !attempt->mCall.mIrreversible && !attempt->mCancelRequested) {
      attempt->mCancelRequested = true;
      mActions.push_back(CancelBackend{ attempt->mId });
    }
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::QueryBackend(timing::Instant aNow)
{
  if (mGate.TakeHealthQuery(aNow)) {
    mActions.push_back(QueryHealth{});
  }
  const bool engine = mGate.IsConfigured() && !mPool.mCatalogue.mPools.empty() &&
                      mPool.mCatalogue.mPools.front().mKind == PoolKind::Engine;
  if (engine && aNow - mResidentsQueriedAt >= kResidentsInterval) {
    mResidentsQueriedAt = aNow;
    mActions.push_back(QueryResidents{});
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::ContinueLeaving(timing::Instant aNow)
{
  if (!mLeavingSince || mExited) {
    return;
  }
  const auto waited = aNow - *mLeavingSince;
  const bool drained = mAttempts.OpenCount() == 0 && mRegistration.IsWithdrawn() &&
                       (mAttempts.UnconfirmedCount() == 0 || waited >= kReceiptWait);
  if (drained || waited >= mConfig.mStopTimeout) {
    mExited = true;
    mActions.push_back(RecordEvent{ "exit" });
    mActions.push_back(Exit{});
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::ResizeQueue(std::size_t aCapacity, timing::Instant aNow)
{
  RefuseDropped(aNow);
  Queue queue({ std::max<std::size_t>(aCapacity, mQueue.Size()) });
  const auto any = [](const admission::QueueItem&) { return true; };
  while (auto item = mQueue.Pop(aNow, any)) {
    queue.Push(*std::move(item), aNow);
  }
  mQueue = std::move(queue);
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::AdoptPool(const std::string& aDocument, timing::Instant aNow)
{
  catalogue::Configuration configuration;
  try {
    configuration = catalogue::DecodeConfiguration(aDocument);
  } catch (const catalogue::ConfigurationError& error) {
    mActions.push_back(RecordEvent{ "bad-pool-document", {}, {}, error.what() });
    return;
  }
  const auto& pools = configuration.mCatalogue.mPools;
  const auto pool =
    std::ranges::find(pools, mConfig.mPool, &catalogue::EndpointPool::mName);
  if (configuration.mVersion <= mPool.mVersion || pool == pools.end()) {
    return;
  }
  mGate.Configure(*pool);
  ResizeQueue(pool->mQueue, aNow);
  mPool = std::move(configuration);
  mVersionSeen = std::max(mVersionSeen, mPool.mVersion);
  mActions.push_back(
    RecordEvent{ "adopt-pool", {}, {}, std::to_string(mPool.mVersion.Count()) });
  QueryBackend(aNow);
}

template<admission::AdmissionQueue Queue>
bool BasicAgentCore<Queue>::IsResident(const ids::ModelId& aModel) const
{
  return mResidents.contains(aModel);
}

template<admission::AdmissionQueue Queue>
wire::LoadReport BasicAgentCore<Queue>::MakeLoadReport(const wire::Probe& aProbe,
                                                       timing::Instant aNow)
{
  wire::LoadReport report;
  report.set_nonce(aProbe.nonce());
  report.set_ticket(mTickets.Issue(aNow));
  report.set_endpoint(mConfig.mEndpoint.Str());
  report.set_pool(mConfig.mPool.Str());
  report.set_availability_zone(mConfig.mAvailabilityZone.Str());
  report.set_incarnation(mConfig.mIncarnation.Count());
  FillLoad(*report.mutable_load(), aNow);
  if (aProbe.want_models()) {
    FillModels(report);
  }
  return report;
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::FillLoad(wire::Load& aLoad, timing::Instant aNow) const
{
  aLoad.set_in_flight(mSlots.InFlight());
  aLoad.set_in_flight_limit(mGate.InFlightLimit(aNow));
  aLoad.set_queued(static_cast<std::uint32_t>(mQueue.Size()));
  aLoad.set_cold(mGate.IsCold(aNow));
  aLoad.set_leaving(mLeavingSince.has_value());
  aLoad.set_down(!mGate.IsConfigured() || mGate.IsDown());
  aLoad.set_service_time_us(static_cast<std::uint64_t>(mServiceTimeUs));
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::FillModels(wire::LoadReport& aReport)
{
  for (const ids::ModelId& model : mResidents) {
    wire::ModelState& state = *aReport.add_models();
    state.set_name(model.Str());
    state.set_resident(true);
    state.set_in_flight(mSlots.InFlight(model));
  }
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::NoteServiceTime(timing::Duration aTime)
{
  const auto us = std::chrono::duration<double, std::micro>(aTime).count();
  const double gain = mServiceTimeUs == 0 ? 1.0 : kServiceTimeGain;
  mServiceTimeUs += gain * (us - mServiceTimeUs);
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Send(const Route& aRoute, wire::Envelope aEnvelope)
{
  aEnvelope.set_sender(mConfig.mName.Str());
  aEnvelope.set_sender_incarnation(mConfig.mIncarnation.Count());
  aEnvelope.set_configuration_version(mPool.mVersion.Count());
  mActions.push_back(SendEnvelope{ aRoute, std::move(aEnvelope) });
}

template<admission::AdmissionQueue Queue>
void BasicAgentCore<Queue>::Record(std::string aKind,
                                   const Attempt& aAttempt,
                                   std::string aDetail)
{
  mActions.push_back(RecordEvent{
    std::move(aKind), aAttempt.mRequest, aAttempt.mAccount, std::move(aDetail) });
}

template<admission::AdmissionQueue Queue>
Actions BasicAgentCore<Queue>::TakeActions()
{
  return std::exchange(mActions, {});
}

template class BasicAgentCore<admission::FairQueue>;

}
