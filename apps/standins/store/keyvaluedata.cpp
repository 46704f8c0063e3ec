#include "apps/standins/store/keyvaluedata.hpp"

#include <algorithm>
#include <iterator>

namespace samphiresail::standins {

namespace {

constexpr std::size_t kHistory = 10'000;
constexpr std::size_t kMaxOperations = 128;
constexpr std::size_t kMaxValueBytes = 1U << 20U;

bool Satisfies(std::strong_ordering aOrder, CompareResult aResult)
{
  switch (aResult) {
    case CompareResult::Equal:
      return aOrder == std::strong_ordering::equal;
    case CompareResult::Greater:
      return aOrder == std::strong_ordering::greater;
    case CompareResult::Less:
      return aOrder == std::strong_ordering::less;
    case CompareResult::NotEqual:
      return aOrder != std::strong_ordering::equal;
  }
  return false;
}

std::int64_t NumberOf(const Record& aRecord, CompareTarget aTarget)
{
  switch (aTarget) {
    case CompareTarget::Create:
      return aRecord.mCreateRevision;
    case CompareTarget::Mod:
      return aRecord.mModRevision;
    case CompareTarget::Lease:
      return aRecord.mLease;
    default:
      return aRecord.mVersion;
  }
}

bool Wanted(const Record& aRecord, const RangeQuery& aQuery)
{
  const bool recent = aRecord.mModRevision >= aQuery.mMinModRevision;
  const bool early =
    aQuery.mMaxModRevision == 0 || aRecord.mModRevision <= aQuery.mMaxModRevision;
  return recent && early;
}

}

bool KeyRange::Contains(const std::string& aKey) const
{
  if (mEnd.empty()) {
    return aKey == mFrom;
  }
  return aKey >= mFrom && (mEnd == std::string(1, '\0') || aKey < mEnd);
}

TransactionResult KeyValueData::Execute(const Transaction& aTransaction)
{
  const std::lock_guard lock(mMutex);
  ExpireLocked();
  TransactionResult result;
  result.mSucceeded =
    std::ranges::all_of(aTransaction.mCompares, [this](const Comparison& aComparison) {
      return Holds(aComparison);
    });
  const auto& operations =
    result.mSucceeded ? aTransaction.mSuccess : aTransaction.mFailure;
  Check(operations);
  const auto revision = mRevision + 1;
  bool written = false;
  for (const auto& operation : operations) {
    switch (operation.mKind) {
      case OperationKind::Range:
        result.mResults.push_back(Range(operation.mRange));
        break;
      case OperationKind::Put:
        result.mResults.push_back(Put(operation, revision));
        written = true;
        break;
      case OperationKind::Delete:
        result.mResults.push_back(Delete(operation.mRange.mKeys, revision));
        written = written || result.mResults.back().mCount > 0;
        break;
    }
  }
  if (written) {
    mRevision = revision;
    mChanged.notify_all();
  }
  result.mRevision = mRevision;
  return result;
}

std::int64_t KeyValueData::Revision() const
{
  const std::lock_guard lock(mMutex);
  return mRevision;
}

bool KeyValueData::Holds(const Comparison& aComparison) const
{
  const auto it = mRecords.find(aComparison.mKey);
  const Record absent;
  const auto& record = it == mRecords.end() ? absent : it->second;
  if (aComparison.mTarget == CompareTarget::Value) {
    return it != mRecords.end() &&
           Satisfies(record.mValue <=> aComparison.mValue, aComparison.mResult);
  }
  return Satisfies(NumberOf(record, aComparison.mTarget) <=> aComparison.mNumber,
                   aComparison.mResult);
}

void KeyValueData::Check(const std::vector<Operation>& aOperations) const
{
  constexpr int kInvalid = 3;
  constexpr int kNotFound = 5;
  if (aOperations.size() > kMaxOperations) {
    throw StoreError("etcdserver: too many operations in txn request", 400, kInvalid);
  }
  std::set<std::string> written;
  for (const auto& operation : aOperations) {
    if (operation.mRange.mKeys.mFrom.empty()) {
      throw StoreError("etcdserver: key is not provided", 400, kInvalid);
    }
    if (operation.mKind != OperationKind::Put) {
      continue;
    }
    if (operation.mValue.size() > kMaxValueBytes) {
      throw StoreError("etcdserver: request is too large", 400, kInvalid);
    }
    if (operation.mLease != 0 && !mLeases.contains(operation.mLease)) {
      throw StoreError("etcdserver: requested lease not found", 404, kNotFound);
    }
    if (!written.insert(operation.mRange.mKeys.mFrom).second) {
      throw StoreError("etcdserver: duplicate key given in txn request", 400, kInvalid);
    }
  }
}

OperationResult KeyValueData::Range(const RangeQuery& aQuery) const
{
  OperationResult result{ .mKind = OperationKind::Range };
  for (auto it = mRecords.lower_bound(aQuery.mKeys.mFrom);
       it != mRecords.end() && aQuery.mKeys.Contains(it->first);
       ++it) {
    ++result.mCount;
    const bool full = aQuery.mLimit != 0 && result.mRecords.size() >= aQuery.mLimit;
    if (aQuery.mCountOnly || full || !Wanted(it->second, aQuery)) {
      continue;
    }
    result.mRecords.push_back(it->second);
    if (aQuery.mKeysOnly) {
      result.mRecords.back().mValue.clear();
    }
  }
  return result;
}

OperationResult KeyValueData::Put(const Operation& aOperation, std::int64_t aRevision)
{
  const auto& key = aOperation.mRange.mKeys.mFrom;
  auto& record = mRecords[key];
  if (record.mVersion == 0) {
    record.mKey = key;
    record.mCreateRevision = aRevision;
  }
  if (const auto it = mLeases.find(record.mLease); it != mLeases.end()) {
    it->second.mKeys.erase(key);
  }
  record.mValue = aOperation.mValue;
  record.mModRevision = aRevision;
  record.mLease = aOperation.mLease;
  ++record.mVersion;
  if (record.mLease != 0) {
    mLeases[record.mLease].mKeys.insert(key);
  }
  Publish({ .mDelete = false, .mRecord = record });
  return { .mKind = OperationKind::Put };
}

OperationResult KeyValueData::Delete(const KeyRange& aKeys, std::int64_t aRevision)
{
  OperationResult result{ .mKind = OperationKind::Delete };
  auto it = mRecords.lower_bound(aKeys.mFrom);
  while (it != mRecords.end() && aKeys.Contains(it->first)) {
    if (const auto lease = mLeases.find(it->second.mLease); lease != mLeases.end()) {
      lease->second.mKeys.erase(it->first);
    }
    Publish(
      { .mDelete = true, .mRecord = { .mKey = it->first, .mModRevision = aRevision } });
    it = mRecords.erase(it);
    ++result.mCount;
  }
  return result;
}

std::int64_t KeyValueData::GrantLease(std::int64_t aWanted,
                                      std::chrono::seconds aTimeToLive)
{
  const std::lock_guard lock(mMutex);
  ExpireLocked();
  const auto id = aWanted != 0 ? aWanted : mNextLease++;
  if (mLeases.contains(id)) {
    throw StoreError("etcdserver: lease already exists", 412, 9);
  }
  mLeases[id] = { .mTimeToLive = aTimeToLive, .mEnd = mClock.Now() + aTimeToLive };
  return id;
}

std::chrono::seconds KeyValueData::KeepAlive(std::int64_t aLease)
{
  const std::lock_guard lock(mMutex);
  ExpireLocked();
  const auto it = mLeases.find(aLease);
  if (it == mLeases.end()) {
    return std::chrono::seconds(0);
  }
  it->second.mEnd = mClock.Now() + it->second.mTimeToLive;
  return it->second.mTimeToLive;
}

void KeyValueData::RevokeLease(std::int64_t aLease)
{
  const std::lock_guard lock(mMutex);
  ExpireLocked();
  if (!mLeases.contains(aLease)) {
    throw StoreError("etcdserver: requested lease not found", 404, 5);
  }
  RemoveLocked(aLease);
}

void KeyValueData::RemoveLocked(std::int64_t aLease)
{
  const auto keys = mLeases[aLease].mKeys;
  if (!keys.empty()) {
    ++mRevision;
  }
  for (const auto& key : keys) {
    Delete({ .mFrom = key }, mRevision);
  }
  mLeases.erase(aLease);
  mChanged.notify_all();
}

void KeyValueData::ExpireLocked()
{
  const auto now = mClock.Now();
  std::vector<std::int64_t> ended;
  for (const auto& [id, lease] : mLeases) {
    if (lease.mEnd <= now) {
      ended.push_back(id);
    }
  }
  std::ranges::for_each(ended, [this](std::int64_t aLease) { RemoveLocked(aLease); });
}

void KeyValueData::ExpireLeases()
{
  const std::lock_guard lock(mMutex);
  ExpireLocked();
}

void KeyValueData::Publish(Event aEvent)
{
  mEvents.push_back(std::move(aEvent));
  if (mEvents.size() > kHistory) {
    mEvents.pop_front();
  }
}

std::vector<Event> KeyValueData::WaitEvents(const KeyRange& aKeys,
                                            std::int64_t aFromRevision,
                                            std::chrono::milliseconds aTimeout)
{
  std::unique_lock lock(mMutex);
  mChanged.wait_for(lock, aTimeout, [&] { return mRevision >= aFromRevision; });
  std::vector<Event> events;
  std::ranges::copy_if(mEvents, std::back_inserter(events), [&](const Event& aEvent) {
    return aEvent.mRecord.mModRevision >= aFromRevision &&
           aKeys.Contains(aEvent.mRecord.mKey);
  });
  return events;
}

}
