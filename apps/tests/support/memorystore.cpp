#include "apps/tests/support/memorystore.hpp"

#include <algorithm>
#include <vector>

namespace samphiresail::tests {

using store::KeyValue;
using store::StoreOutcome;
using store::StoreReply;

static_assert(store::KeyValueStore<MemoryStore>);

MemoryStore::MemoryStore(const timing::Clock& aClock)
  : mClock(aClock)
{
}

StoreReply MemoryStore::Execute(const store::StoreRequest& aRequest,
                                std::chrono::milliseconds /*aTimeout*/)
{
  ++mCalls;
  if (mDown) {
    return {};
  }
  ExpireLeases();
  StoreReply reply =
    std::visit([&](const auto& aCall) { return Apply(aCall); }, aRequest);
  reply.mRevision = mRevision;
  reply.mOutcome = StoreOutcome::Answered;
  return mLoseAnswers ? StoreReply{ .mOutcome = StoreOutcome::Unknown } : reply;
}

StoreReply MemoryStore::Apply(const store::RangeRequest& aRange)
{
  StoreReply reply;
  reply.mSucceeded = true;
  for (const auto& [key, record] : mRecords) {
    const bool inRange = aRange.mRangeEnd.empty()
                           ? key == aRange.mKey
                           : key >= aRange.mKey && key < aRange.mRangeEnd;
    if (inRange && record.mModRevision >= aRange.mMinModRevision) {
      reply.mRecords.push_back(record);
    }
  }
  return reply;
}

StoreReply MemoryStore::Apply(const store::TransactionRequest& aTransaction)
{
  StoreReply reply;
  reply.mSucceeded =
    std::ranges::all_of(aTransaction.mCompares, [&](const store::Compare& aCompare) {
      const auto it = mRecords.find(aCompare.mKey);
      const std::int64_t held = it == mRecords.end() ? 0 : it->second.mModRevision;
      return held == aCompare.mModRevision;
    });
  if (!reply.mSucceeded) {
    for (const store::Compare& compare : aTransaction.mCompares) {
      if (const auto it = mRecords.find(compare.mKey); it != mRecords.end()) {
        reply.mRecords.push_back(it->second);
      }
    }
    return reply;
  }
  const auto hasLease = [&](const store::WriteOperation& aWrite) {
    const auto* put = std::get_if<store::PutOperation>(&aWrite);
    return put == nullptr || put->mLease == 0 || mLeases.contains(put->mLease);
  };
  if (!std::ranges::all_of(aTransaction.mWrites, hasLease)) {
    reply.mSucceeded = false;
    return reply;
  }
  ++mRevision;
  for (const store::WriteOperation& write : aTransaction.mWrites) {
    std::visit([&](const auto& aWrite) { Write(aWrite); }, write);
  }
  return reply;
}

void MemoryStore::Write(const store::PutOperation& aPut)
{
  KeyValue& record = mRecords[aPut.mKey];
  if (record.mCreateRevision == 0) {
    record.mCreateRevision = mRevision;
  }
  record.mKey = aPut.mKey;
  record.mValue = aPut.mValue;
  record.mModRevision = mRevision;
  record.mLease = aPut.mLease;
}

void MemoryStore::Write(const store::DeleteOperation& aDelete)
{
  mRecords.erase(aDelete.mKey);
}

StoreReply MemoryStore::Apply(const store::LeaseGrantRequest& aGrant)
{
  StoreReply reply;
  reply.mSucceeded = true;
  reply.mLease = ++mLastLease;
  mLeases[reply.mLease] = { aGrant.mTimeToLive, mClock.Now() + aGrant.mTimeToLive };
  return reply;
}

StoreReply MemoryStore::Apply(const store::LeaseKeepAliveRequest& aKeepAlive)
{
  StoreReply reply;
  const auto it = mLeases.find(aKeepAlive.mLease);
  reply.mSucceeded = it != mLeases.end();
  reply.mLease = aKeepAlive.mLease;
  if (reply.mSucceeded) {
    it->second.mExpiry = mClock.Now() + it->second.mLife;
  }
  return reply;
}

StoreReply MemoryStore::Apply(const store::LeaseRevokeRequest& aRevoke)
{
  LapseLease(aRevoke.mLease);
  StoreReply reply;
  reply.mSucceeded = true;
  return reply;
}

void MemoryStore::LapseLease(std::int64_t aLease)
{
  if (mLeases.erase(aLease) == 0) {
    return;
  }
  const std::size_t dropped = std::erase_if(
    mRecords, [&](const auto& aItem) { return aItem.second.mLease == aLease; });
  mRevision += dropped > 0 ? 1 : 0;
}

void MemoryStore::LapseLeases()
{
  while (!mLeases.empty()) {
    LapseLease(mLeases.begin()->first);
  }
}

void MemoryStore::ExpireLeases()
{
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : mLeases) {
    if (lease.mExpiry <= mClock.Now()) {
      expired.push_back(id);
    }
  }
  std::ranges::for_each(expired, [&](std::int64_t aId) { LapseLease(aId); });
}

std::string MemoryStore::Value(const std::string& aKey)
{
  const auto it = mRecords.find(aKey);
  return it == mRecords.end() ? std::string() : it->second.mValue;
}

}
