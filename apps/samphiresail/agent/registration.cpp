#include "apps/samphiresail/agent/registration.hpp"

#include <algorithm>

#include "components/store/storekeys.hpp"

namespace samphiresail::agent {

namespace {

constexpr std::chrono::milliseconds kFirstWait{ 250 };
constexpr std::chrono::seconds kLongestWait{ 10 };

std::string MakeRecord(const AgentConfig& aConfig)
{
  wire::AgentRecord record;
  record.set_endpoint(aConfig.mEndpoint.Str());
  record.set_pool(aConfig.mPool.Str());
  record.set_address(aConfig.mAddress);
  record.set_incarnation(aConfig.mIncarnation.Count());
  record.set_availability_zone(aConfig.mAvailabilityZone.Str());
  record.set_vm(aConfig.mVm.Str());
  return record.SerializeAsString();
}

}

Registration::Registration(const AgentConfig& aConfig)
  : mKey(store::kAgentPrefix + aConfig.mEndpoint.Str())
  , mRecord(MakeRecord(aConfig))
  , mWait(kFirstWait)
{
}

void Registration::Tick(timing::Instant aNow, Outbox& aOutbox)
{
  if (mCall != 0 || mWithdrawn || aNow < mNextTry) {
    return;
  }
  if (mLeaving && !mRegistered) {
    mWithdrawn = true;
    return;
  }
  if (mRegistered && !mLeaving) {
    return;
  }
  mCall = aOutbox.Call(mLeaving ? MakeDelete() : MakePut());
}

void Registration::OnStore(const StoreAnswer& aAnswer, timing::Instant aNow)
{
  if (aAnswer.mCall != mCall) {
    return;
  }
  mCall = 0;
  if (aAnswer.mReply.mOutcome != store::StoreOutcome::Answered) {
    mNextTry = aNow + mWait;
    mWait = std::min<timing::Duration>(mWait * 2, kLongestWait);
    return;
  }
  mWait = kFirstWait;
  if (mRegistered) {
    // A comparison that failed means that a later incarnation owns the record.
    mWithdrawn = mLeaving;
    return;
  }
  mRegistered = true;
  mRevision = aAnswer.mReply.mRevision;
}

store::TransactionRequest Registration::MakePut() const
{
  return { .mWrites = { store::PutOperation{ mKey, mRecord } } };
}

store::TransactionRequest Registration::MakeDelete() const
{
  return { .mCompares = { { mKey, mRevision } },
           .mWrites = { store::DeleteOperation{ mKey } } };
}

}
