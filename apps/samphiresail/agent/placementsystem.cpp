#include "apps/samphiresail/agent/placementsystem.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphiresail::agent {

namespace {

using ledger::OrderAction;
using ledger::OrderOutcome;

constexpr std::size_t kMaxJobs = 32;
constexpr std::size_t kEndedKept = 64;
/// Longest time that an order of the planner may take.
constexpr std::chrono::seconds kJobTimeout{ 60 };
constexpr std::chrono::seconds kResidentsInterval{ 2 };
/// Interval of the queries while a load waits for room.
constexpr std::chrono::milliseconds kRoomInterval{ 100 };

}

PlacementSystem::PlacementSystem(AgentState& aState,
                                 std::function<bool(const ids::ModelId&)> aIsBusy)
  : mState(aState)
  , mIsBusy(std::move(aIsBusy))
  , mIntents(aState)
{
}

void PlacementSystem::OnPlacement(const Route& aRoute,
                                  const wire::Placement& aPlacement,
                                  timing::Instant aNow)
{
  if (Repeat(aRoute, aPlacement.order_id())) {
    return;
  }
  if (auto reason = CheckPlacement(aPlacement)) {
    Reply(aRoute, { aPlacement.order_id(), false, *std::move(reason) });
    return;
  }
  mJobs.push_back(MakeJob(aRoute, aPlacement, aNow));
  NoteLoading();
  Advance(aNow);
}

std::optional<std::string> PlacementSystem::CheckPlacement(
  const wire::Placement& aPlacement) const
{
  if (!mState.HoldsModels()) {
    return "endpoint holds no models";
  }
  if (mState.mLeavingSince) {
    return "endpoint is leaving";
  }
  if (mJobs.size() >= kMaxJobs) {
    return "too many orders wait";
  }
  if (aPlacement.memory_bytes() == 0 &&
      MemoryOf(ids::ModelId(aPlacement.model())).Count() == 0) {
    return "memory of the model is not known";
  }
  return std::nullopt;
}

PlacementSystem::Job PlacementSystem::MakeJob(const Route& aRoute,
                                              const wire::Placement& aPlacement,
                                              timing::Instant aNow) const
{
  Job job{ aPlacement.order_id(), aRoute };
  job.mOrder.mAction =
    aPlacement.action() == wire::LOAD ? OrderAction::Load : OrderAction::Unload;
  job.mOrder.mModel = ids::ModelId(aPlacement.model());
  job.mOrder.mBase = ids::ModelId(aPlacement.base_model());
  if (const catalogue::Model* model = mState.FindModel(job.mOrder.mModel)) {
    job.mOrder.mBase = model->mBase;
  }
  job.mOrder.mMemory =
    std::max(units::Bytes(static_cast<std::int64_t>(aPlacement.memory_bytes())),
             MemoryOf(job.mOrder.mModel));
  job.mDeadline = aNow + kJobTimeout;
  return job;
}

bool PlacementSystem::Repeat(const Route& aRoute, const std::string& aId)
{
  const auto waiting = std::ranges::find(mJobs, aId, &Job::mId);
  if (waiting != mJobs.end()) {
    waiting->mRoute = aRoute;
    return true;
  }
  const auto ended = std::ranges::find(mEnded, aId, &Ended::mId);
  if (ended != mEnded.end()) {
    Reply(aRoute, *ended);
    return true;
  }
  return false;
}

void PlacementSystem::Advance(timing::Instant aNow)
{
  while (!mJobs.empty() && (mStep == Step::Idle || mStep == Step::AwaitingRoom)) {
    const std::size_t before = mJobs.size();
    if (aNow >= mJobs.front().mDeadline) {
      End(false, "timed out");
    } else if (!mHasResidents || mState.mGate.IsDown()) {
      return;
    } else if (mJobs.front().mOrder.mAction == OrderAction::Load) {
      PlanLoad(aNow);
    } else {
      PlanUnload(aNow);
    }
    if (mJobs.size() == before) {
      return;
    }
  }
}

void PlacementSystem::PlanLoad(timing::Instant aNow)
{
  const ledger::Order order = mJobs.front().mOrder;
  if (mState.mLedger.IsResident(order.mModel)) {
    End(true, {});
    return;
  }
  if (!order.mBase.Empty() && !mState.mLedger.IsResident(order.mBase)) {
    Job base;
    base.mOrder = { .mModel = order.mBase, .mMemory = MemoryOf(order.mBase) };
    base.mDeadline = mJobs.front().mDeadline;
    base.mIsBase = true;
    if (base.mOrder.mMemory.Count() == 0 || mJobs.front().mIsBase) {
      End(false, "base model is not resident");
      return;
    }
    mJobs.push_front(std::move(base));
    NoteLoading();
    return;
  }
  if (mState.mLedger.Reserve(order.mModel, order.mMemory)) {
    Order(order, aNow);
  } else {
    MakeRoom(aNow);
  }
}

void PlacementSystem::MakeRoom(timing::Instant aNow)
{
  const units::Bytes needed = mJobs.front().mOrder.mMemory;
  if (mState.mLedger.Free() + mState.mLedger.ReleasingMemory() >= needed) {
    mStep = Step::AwaitingRoom;
    return;
  }
  const auto victim = PickVictim();
  if (!victim) {
    End(false, "no room");
    return;
  }
  mState.mLedger.SetUnloading(*victim, true);
  const catalogue::Model* model = mState.FindModel(*victim);
  Order({ .mAction = OrderAction::Unload,
          .mModel = *victim,
          .mBase = model == nullptr ? ids::ModelId() : model->mBase },
        aNow);
}

void PlacementSystem::PlanUnload(timing::Instant aNow)
{
  const ledger::Order order = mJobs.front().mOrder;
  if (!mState.mLedger.IsResident(order.mModel)) {
    End(true, {});
  } else if (!MayUnload(order.mModel)) {
    End(false, "model is kept or in use");
  } else {
    mState.mLedger.SetUnloading(order.mModel, true);
    Order(order, aNow);
  }
}

void PlacementSystem::Order(ledger::Order aOrder, timing::Instant aNow)
{
  mStep = Step::Recording;
  mOrder = mIntents.Record(std::move(aOrder), aNow);
}

void PlacementSystem::OnStore(const StoreAnswer& aAnswer, timing::Instant aNow)
{
  switch (mIntents.OnStore(aAnswer, aNow)) {
    case IntentLog::Outcome::NotMine:
      return;
    case IntentLog::Outcome::Recorded:
      mStep = Step::Ordered;
      mState.mLedger.RecordOrder(mOrder, aNow);
      mState.mOutbox.Record("order", mOrder.mModel.Str());
      mState.mOutbox.Push(OrderBackend{ mOrder });
      return;
    case IntentLog::Outcome::PlanAgain:
      Abandon();
      break;
    case IntentLog::Outcome::Failed:
      Abandon();
      End(false, "store cannot be reached");
      break;
  }
  Advance(aNow);
}

void PlacementSystem::Abandon()
{
  mStep = Step::Idle;
  if (mOrder.mAction == OrderAction::Load) {
    mState.mLedger.CancelReservation(mOrder.mModel);
  } else {
    mState.mLedger.SetUnloading(mOrder.mModel, false);
  }
}

void PlacementSystem::OnOrder(const OrderAnswer& aAnswer, timing::Instant aNow)
{
  mState.mLedger.OnOrderOutcome(aAnswer.mFencing, aAnswer.mOutcome, aNow);
  if (mStep != Step::Ordered || aAnswer.mFencing != mOrder.mFencing) {
    return;
  }
  mStep = Step::Idle;
  const bool confirmed = aAnswer.mOutcome == OrderOutcome::Confirmed;
  const bool own = mOrder.mModel == mJobs.front().mOrder.mModel;
  if (!confirmed) {
    QueryResidents(aNow);
    End(false, "engine did not confirm");
  } else if (own) {
    mState.mLastUsed[mOrder.mModel] = aNow;
    End(true, {});
  }
  Advance(aNow);
}

void PlacementSystem::OnResidents(const ResidentAnswer& aAnswer, timing::Instant aNow)
{
  if (!aAnswer.mAnswered) {
    return;
  }
  mHasResidents = true;
  const auto memoryOf = [this](const ids::ModelId& aModel) {
    const catalogue::Model* model = mState.FindModel(aModel);
    return model == nullptr ? std::nullopt : std::optional(model->mMemory);
  };
  mState.mLedger.OnResidentModels(aAnswer.mModels, memoryOf, aAnswer.mAskedAt, aNow);
  Advance(aNow);
}

void PlacementSystem::Tick(timing::Instant aNow)
{
  if (!mState.HoldsModels()) {
    return;
  }
  const timing::Duration interval = mStep == Step::AwaitingRoom
                                      ? timing::Duration(kRoomInterval)
                                      : timing::Duration(kResidentsInterval);
  if (aNow - mResidentsAskedAt >= interval) {
    QueryResidents(aNow);
  }
  Advance(aNow);
}

std::optional<ids::ModelId> PlacementSystem::PickVictim() const
{
  std::optional<ids::ModelId> victim;
  timing::Instant oldest = timing::Instant::max();
  const ledger::Order& load = mJobs.front().mOrder;
  for (const ids::ModelId& model : mState.mLedger.ResidentModels()) {
    const auto used = mState.mLastUsed.find(model);
    const auto usedAt = used == mState.mLastUsed.end() ? timing::Instant() : used->second;
    if (model != load.mBase && usedAt < oldest && MayUnload(model)) {
      victim = model;
      oldest = usedAt;
    }
  }
  return victim;
}

bool PlacementSystem::MayUnload(const ids::ModelId& aModel) const
{
#ifndef SAMPHIRESAIL_MUTANT_AGENT_KEEPER
  if (mState.mKeeps.contains(aModel)) {
    return false;
  }
#endif
  return !mIsBusy(aModel) && !IsBaseInUse(aModel);
}

bool PlacementSystem::IsBaseInUse(const ids::ModelId& aModel) const
{
  return std::ranges::any_of(
    mState.mLedger.ResidentModels(), [&](const ids::ModelId& aResident) {
      const catalogue::Model* model = mState.FindModel(aResident);
      return model != nullptr && model->mBase == aModel;
    });
}

void PlacementSystem::End(bool aAccepted, std::string aReason)
{
  mStep = Step::Idle;
  const Job job = std::move(mJobs.front());
  mJobs.pop_front();
  NoteLoading();
  mState.mOutbox.Record(aAccepted ? "placed" : "not-placed",
                        job.mOrder.mModel.Str() + " " + aReason);
  if (job.mIsBase) {
    if (!aAccepted) {
      End(false, "base model: " + aReason);
    }
    return;
  }
  mEnded.push_back({ job.mId, aAccepted, std::move(aReason) });
  Reply(job.mRoute, mEnded.back());
  if (mEnded.size() > kEndedKept) {
    mEnded.pop_front();
  }
}

void PlacementSystem::Reply(const Route& aRoute, const Ended& aEnded)
{
  wire::Envelope envelope;
  wire::PlacementReply& reply = *envelope.mutable_placement_reply();
  reply.set_order_id(aEnded.mId);
  reply.set_accepted(aEnded.mAccepted);
  reply.set_reason(aEnded.mReason);
  mState.Send(aRoute, std::move(envelope));
}

void PlacementSystem::QueryResidents(timing::Instant aNow)
{
  mResidentsAskedAt = aNow;
  mState.mOutbox.Push(QueryResidentModels{});
}

void PlacementSystem::NoteLoading()
{
  mState.mLoading.clear();
  for (const Job& job : mJobs) {
    if (job.mOrder.mAction == OrderAction::Load) {
      mState.mLoading.insert(job.mOrder.mModel);
    }
  }
}

units::Bytes PlacementSystem::MemoryOf(const ids::ModelId& aModel) const
{
  const catalogue::Model* model = mState.FindModel(aModel);
  return model == nullptr ? units::Bytes() : model->mMemory;
}

}
