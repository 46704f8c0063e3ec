#include "apps/samphiresail/agent/intentlog.hpp"

#include <algorithm>

#include "components/store/storekeys.hpp"

namespace samphiresail::agent {

namespace {

constexpr int kMaxTries = 3;

wire::IntentRecord::Intent WriteIntent(const ledger::Order& aOrder)
{
  wire::IntentRecord::Intent intent;
  intent.set_order_id(std::to_string(aOrder.mFencing.Count()));
  intent.set_model(aOrder.mModel.Str());
  intent.set_memory_bytes(static_cast<std::uint64_t>(aOrder.mMemory.Count()));
  intent.set_action(aOrder.mAction == ledger::OrderAction::Load ? wire::LOAD
                                                                : wire::UNLOAD);
  intent.set_fencing(aOrder.mFencing.Count());
  return intent;
}

ledger::Order ReadIntent(const wire::IntentRecord::Intent& aIntent)
{
  ledger::Order order;
  order.mFencing = units::FencingNumber(aIntent.fencing());
  order.mAction = aIntent.action() == wire::LOAD ? ledger::OrderAction::Load
                                                 : ledger::OrderAction::Unload;
  order.mModel = ids::ModelId(aIntent.model());
  order.mMemory = units::Bytes(static_cast<std::int64_t>(aIntent.memory_bytes()));
  return order;
}

}

IntentLog::IntentLog(AgentState& aState)
  : mState(aState)
  , mKey(store::kIntentPrefix + aState.mConfig.mEndpoint.Str())
{
}

ledger::Order IntentLog::Record(ledger::Order aOrder, timing::Instant aNow)
{
  aOrder.mFencing = units::FencingNumber(++mLastFencing);
  mOrder = aOrder;
  mTries = 0;
  Write(aNow);
  return aOrder;
}

void IntentLog::Write(timing::Instant aNow)
{
  ++mTries;
  store::TransactionRequest request;
  request.mCompares.push_back({ mKey, mIntentsRevision });
  if (mOrder.mAction == ledger::OrderAction::Unload) {
    request.mCompares.push_back({ store::kKeepersKey, mKeepersRevision });
  }
  request.mWrites.emplace_back(
    store::PutOperation{ mKey, MakeRecord(aNow).SerializeAsString() });
  mCall = mState.mOutbox.Call(std::move(request));
}

wire::IntentRecord IntentLog::MakeRecord(timing::Instant) const
{
  wire::IntentRecord record;
  record.set_agent_incarnation(mState.mConfig.mIncarnation.Count());
  record.set_fencing(mOrder.mFencing.Count());
  for (const ledger::Order& order : mState.mLedger.PendingLoadOrders()) {
    *record.add_intents() = WriteIntent(order);
  }
  *record.add_intents() = WriteIntent(mOrder);
  return record;
}

IntentLog::Outcome IntentLog::OnStore(const StoreAnswer& aAnswer, timing::Instant aNow)
{
  if (mCall == 0 || aAnswer.mCall != mCall) {
    return Outcome::NotMine;
  }
  mCall = 0;
  const store::StoreReply& reply = aAnswer.mReply;
  if (reply.mOutcome == store::StoreOutcome::Unknown && mTries < kMaxTries) {
    // If the lost answer took effect, the comparison fails and shows the own record.
    Write(aNow);
    return Outcome::NotMine;
  }
  if (reply.mOutcome != store::StoreOutcome::Answered) {
    return Outcome::Failed;
  }
  if (reply.mSucceeded) {
    mIntentsRevision = reply.mRevision;
    return Outcome::Recorded;
  }
  return OnConflict(reply, aNow);
}

IntentLog::Outcome IntentLog::OnConflict(const store::StoreReply& aReply,
                                         timing::Instant aNow)
{
  bool own = false;
  std::int64_t intentsRevision = 0;
  std::int64_t keepersRevision = 0;
  for (const store::KeyValue& read : aReply.mRecords) {
    if (read.mKey == store::kKeepersKey) {
      keepersRevision = read.mModRevision;
      AdoptKeepers(read.mValue);
    } else if (read.mKey == mKey) {
      intentsRevision = read.mModRevision;
      wire::IntentRecord record;
      if (!record.ParseFromString(read.mValue)) {
        continue;
      }
      own = record.agent_incarnation() == mState.mConfig.mIncarnation.Count();
      if (own && record.fencing() == mOrder.mFencing.Count()) {
        mIntentsRevision = intentsRevision;
        return Outcome::Recorded;
      }
      if (!own) {
        AdoptIntents(record, aNow);
      }
    }
  }
  mIntentsRevision = intentsRevision;
  if (mOrder.mAction == ledger::OrderAction::Unload) {
    mKeepersRevision = keepersRevision;
  }
  return Outcome::PlanAgain;
}

void IntentLog::AdoptIntents(const wire::IntentRecord& aRecord, timing::Instant aNow)
{
  mLastFencing = std::max(mLastFencing, aRecord.fencing());
  std::vector<ledger::Order> orders;
  std::ranges::transform(aRecord.intents(), std::back_inserter(orders), ReadIntent);
  mState.mLedger.RestoreOrders(orders, aNow);
  mState.mOutbox.Record("intents-adopted", std::to_string(orders.size()));
}

void IntentLog::AdoptKeepers(const std::string& aValue)
{
  wire::KeeperRecord record;
  if (!record.ParseFromString(aValue)) {
    return;
  }
  mState.mKeeps.clear();
  for (const wire::KeeperRecord::Keeper& keeper : record.keepers()) {
    const auto& endpoints = keeper.endpoints();
    if (std::ranges::find(endpoints, mState.mConfig.mEndpoint.Str()) != endpoints.end()) {
      mState.mKeeps.insert(ids::ModelId(keeper.model()));
    }
  }
}

}
