#include "apps/samphiresail/entry/operationlog.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace samphiresail::entry {

namespace {

/// Writes that go into one transaction; etcd admits 128 operations.
constexpr std::size_t kMaxBatch = 64;
constexpr std::chrono::hours kRecordLife{ 25 };
/// A new lease is taken for the records of each hour.
constexpr std::chrono::hours kLeaseUse{ 1 };
/// Times that a write with a lost answer is tried.
constexpr int kMaxTries = 3;

bool SameAttempt(const wire::OperationRecord& aRecord, const std::string& aValue)
{
  wire::OperationRecord wanted;
  return wanted.ParseFromString(aValue) && wanted.attempt_id() == aRecord.attempt_id() &&
         wanted.state() == aRecord.state();
}

}

OperationLog::OperationLog(Execute aExecute, std::chrono::milliseconds aTimeout)
  : mExecute(std::move(aExecute))
  , mTimeout(aTimeout)
  , mThread([this](const std::stop_token& aStop) { Run(aStop); })
{
}

OperationLog::~OperationLog() = default;

WriteResult OperationLog::Write(const std::string& aKey,
                                std::int64_t aRevision,
                                const wire::OperationRecord& aRecord)
{
  return Queue({ aKey, aRevision, aRecord.SerializeAsString(), {} });
}

WriteResult OperationLog::Remove(const std::string& aKey, std::int64_t aRevision)
{
  return Queue({ aKey, aRevision, {}, {} });
}

WriteResult OperationLog::Queue(PendingWrite aWrite)
{
  std::future<WriteResult> result = aWrite.mResult.get_future();
  {
    const std::lock_guard lock(mMutex);
    mQueue.push_back(std::move(aWrite));
  }
  mQueued.notify_one();
  return result.get();
}

void OperationLog::Run(const std::stop_token& aStop)
{
  while (true) {
    std::vector<PendingWrite> writes;
    {
      std::unique_lock lock(mMutex);
      mQueued.wait(lock, aStop, [this] { return !mQueue.empty(); });
      if (mQueue.empty()) {
        return;
      }
      // Two writes to one key cannot go into one transaction.
      std::set<std::string> keys;
      while (!mQueue.empty() && writes.size() < kMaxBatch &&
             keys.insert(mQueue.front().mKey).second) {
        writes.push_back(std::move(mQueue.front()));
        mQueue.pop_front();
      }
    }
    Commit(writes);
  }
}

bool OperationLog::EnsureLease()
{
  const timing::Instant now = std::chrono::steady_clock::now();
  if (mLease != 0 && now - mLeaseGrantedAt < kLeaseUse) {
    return true;
  }
  const store::StoreReply reply =
    mExecute(store::LeaseGrantRequest{ kRecordLife }, mTimeout);
  if (reply.mOutcome != store::StoreOutcome::Answered || reply.mLease == 0) {
    return false;
  }
  mLease = reply.mLease;
  mLeaseGrantedAt = now;
  return true;
}

store::TransactionRequest OperationLog::MakeTransaction(
  const std::vector<PendingWrite*>& aWrites) const
{
  store::TransactionRequest transaction;
  for (const PendingWrite* write : aWrites) {
    transaction.mCompares.push_back({ write->mKey, write->mRevision });
    if (write->mValue.empty()) {
      transaction.mWrites.emplace_back(store::DeleteOperation{ write->mKey });
    } else {
      transaction.mWrites.emplace_back(
        store::PutOperation{ write->mKey, write->mValue, mLease });
    }
  }
  return transaction;
}

void OperationLog::Commit(std::vector<PendingWrite>& aWrites)
{
  if (!EnsureLease()) {
    for (PendingWrite& write : aWrites) {
      write.mResult.set_value({});
    }
    return;
  }
  if (aWrites.size() > 1) {
    std::vector<PendingWrite*> all(aWrites.size());
    std::ranges::transform(
      aWrites, all.begin(), [](PendingWrite& aWrite) { return &aWrite; });
    const store::StoreReply reply = mExecute(MakeTransaction(all), mTimeout);
    if (reply.mOutcome == store::StoreOutcome::Answered && reply.mSucceeded) {
      for (PendingWrite& write : aWrites) {
        WriteResult result{ .mState = WriteState::Written, .mRevision = reply.mRevision };
        result.mRecord.ParseFromString(write.mValue);
        write.mResult.set_value(std::move(result));
      }
      return;
    }
  }
  CommitEach(aWrites);
}

void OperationLog::CommitEach(std::vector<PendingWrite>& aWrites)
{
  for (PendingWrite& write : aWrites) {
    write.mResult.set_value(CommitOne(write));
  }
}

WriteResult OperationLog::CommitOne(PendingWrite& aWrite)
{
  WriteResult unanswered;
  for (int n = 0; n < kMaxTries; ++n) {
    const store::StoreReply reply = mExecute(MakeTransaction({ &aWrite }), mTimeout);
    if (reply.mOutcome == store::StoreOutcome::NotSent) {
      continue;
    }
    if (reply.mOutcome == store::StoreOutcome::Answered && reply.mSucceeded) {
      WriteResult result{ .mState = WriteState::Written, .mRevision = reply.mRevision };
      result.mRecord.ParseFromString(aWrite.mValue);
      return result;
    }
    WriteResult found = ReadBack(aWrite);
    if (found.mState != WriteState::Unavailable) {
      return found;
    }
    unanswered.mMayTakeEffect = true;
  }
  return unanswered;
}

WriteResult OperationLog::ReadBack(const PendingWrite& aWrite)
{
  const store::StoreReply reply = mExecute(store::RangeRequest{ aWrite.mKey }, mTimeout);
  if (reply.mOutcome != store::StoreOutcome::Answered) {
    return {};
  }
  WriteResult result{ .mState = WriteState::Conflict };
  if (reply.mRecords.empty() && aWrite.mValue.empty()) {
    result.mState = WriteState::Written;
    return result;
  }
  if (reply.mRecords.empty()) {
    // An unanswered write may still take effect, so it has to be tried again.
    return aWrite.mRevision == 0 ? WriteResult{} : result;
  }
  result.mRevision = reply.mRecords.front().mModRevision;
  result.mRecord.ParseFromString(reply.mRecords.front().mValue);
  if (!aWrite.mValue.empty() && SameAttempt(result.mRecord, aWrite.mValue)) {
    result.mState = WriteState::Written;
  } else if (result.mRevision == aWrite.mRevision) {
    result.mState = WriteState::Unavailable;
  }
  return result;
}

}
