#include "components/admission/fairqueue.hpp"

#include <algorithm>
#include <utility>

#include "components/admission/admissionqueue.hpp"

namespace samphiresail::admission {

static_assert(AdmissionQueue<FairQueue>);

FairQueue::FairQueue(const FairQueueOptions& aOptions)
  : mCapacity(aOptions.mCapacity)
  , mFloors{ 0.0,
             aOptions.mStreamedFloor,
             aOptions.mShortFloor,
             aOptions.mIrreversibleFloor,
             aOptions.mBatchFloor }
{
}

PushResult FairQueue::Push(QueueItem aItem, timing::Instant aNow)
{
  if (aItem.mDeadline <= aNow) {
    return PushResult::Expired;
  }
  if (mIndex.contains(aItem.mAttempt)) {
    return PushResult::Duplicate;
  }
  if (mIndex.size() >= mCapacity) {
    DropExpired(aNow);
  }
  if (mIndex.size() >= mCapacity && !DisplaceFor(aItem)) {
    return PushResult::Full;
  }
  const auto classIndex = static_cast<std::size_t>(aItem.mClass);
  mIndex.emplace(aItem.mAttempt, Position{ classIndex, aItem.mAccount, aItem.mDeadline });
  if (aItem.mClass != catalogue::RequestClass::Batch) {
    mShares.RecordArrival(aItem.mAccount, aItem.mWeight);
  }
  mClasses.at(classIndex).Push(std::move(aItem));
  return PushResult::Accepted;
}

bool FairQueue::DisplaceFor(const QueueItem& aItem)
{
  auto item = RemoveVictimFor(aItem);
  if (!item) {
    return false;
  }
  DropDisplaced(std::move(*item));
  return true;
}

std::optional<QueueItem> FairQueue::RemoveVictimFor(const QueueItem& aItem)
{
  const auto ownClass = static_cast<std::size_t>(aItem.mClass);
  const auto batchClass = static_cast<std::size_t>(catalogue::RequestClass::Batch);
  if (ownClass != batchClass) {
    if (auto item = mClasses.at(batchClass).DisplaceAny({})) {
      return item;
    }
  }
  if (ownClass != batchClass && mShares.IsWithinFairShare(aItem.mAccount)) {
    const auto inExcess = [&](const ids::ClientAccountId& aAccount) {
      return !mShares.IsWithinFairShare(aAccount);
    };
    for (std::size_t classIndex = batchClass; classIndex-- > 0;) {
      if (auto item = mClasses.at(classIndex).DisplaceAny(inExcess)) {
        return item;
      }
    }
    for (std::size_t lowerClass = batchClass - 1; lowerClass > ownClass; --lowerClass) {
      if (auto item = mClasses.at(lowerClass).DisplaceAny({})) {
        return item;
      }
    }
  }
  return mClasses.at(ownClass).Displace(aItem.mAccount, aItem.mWeight);
}

void FairQueue::DropDisplaced(QueueItem aItem)
{
  Unregister(aItem);
  mDropped.push_back({ std::move(aItem), DropCause::Displaced });
}

void FairQueue::Unregister(const QueueItem& aItem)
{
  mIndex.erase(aItem.mAttempt);
  if (aItem.mClass != catalogue::RequestClass::Batch) {
    mShares.RecordRemoval(aItem.mAccount);
  }
}

std::optional<QueueItem> FairQueue::Pop(timing::Instant aNow, const ItemFilter& aFilter)
{
  DropExpired(aNow);
  for (std::size_t classIndex = 1; classIndex < kClasses; ++classIndex) {
    if (mDeficits.at(classIndex) >= mClasses.at(classIndex).NextCost()) {
      if (auto item = PopClass(classIndex, aFilter)) {
        return item;
      }
    }
  }
  if (auto item = PopWithinFairShare(aFilter)) {
    return item;
  }
  for (std::size_t classIndex = 0; classIndex < kClasses; ++classIndex) {
    if (auto item = PopClass(classIndex, aFilter)) {
      return item;
    }
  }
  return std::nullopt;
}

std::optional<QueueItem> FairQueue::PopWithinFairShare(const ItemFilter& aFilter)
{
  const ItemFilter withinFairShare = [&](const QueueItem& aItem) {
    return mShares.IsWithinFairShare(aItem.mAccount) && (!aFilter || aFilter(aItem));
  };
  for (std::size_t classIndex = 0; classIndex + 1 < kClasses; ++classIndex) {
    if (auto item = PopClass(classIndex, withinFairShare)) {
      return item;
    }
  }
  return std::nullopt;
}

std::optional<QueueItem> FairQueue::PopClass(std::size_t aClass,
                                             const ItemFilter& aFilter)
{
  auto item = mClasses.at(aClass).Pop(aFilter);
  if (item) {
    mIndex.erase(item->mAttempt);
    const auto cost = static_cast<double>(std::max<std::int64_t>(item->mCost.Count(), 1));
    if (item->mClass != catalogue::RequestClass::Batch) {
      mShares.RecordServed(item->mAccount, cost);
    }
    UpdateDeficits(aClass, cost);
  }
  return item;
}

void FairQueue::UpdateDeficits(std::size_t aServedClass, double aCost)
{
  for (std::size_t classIndex = 1; classIndex < kClasses; ++classIndex) {
    if (mClasses.at(classIndex).Empty()) {
      mDeficits.at(classIndex) = 0.0;
      continue;
    }
    mDeficits.at(classIndex) += aCost * mFloors.at(classIndex);
    if (classIndex == aServedClass) {
      mDeficits.at(classIndex) = std::max(mDeficits.at(classIndex) - aCost, 0.0);
    }
  }
}

bool FairQueue::Remove(const ids::AttemptId& aAttempt)
{
  const auto it = mIndex.find(aAttempt);
  if (it == mIndex.end()) {
    return false;
  }
  const Position& position = it->second;
  mClasses.at(position.mClass).Remove(position.mAccount, position.mDeadline, aAttempt);
  if (position.mClass != static_cast<std::size_t>(catalogue::RequestClass::Batch)) {
    mShares.RecordRemoval(position.mAccount);
  }
  mIndex.erase(it);
  return true;
}

std::vector<DroppedItem> FairQueue::TakeDropped(timing::Instant aNow)
{
  DropExpired(aNow);
  return std::exchange(mDropped, {});
}

void FairQueue::DropExpired(timing::Instant aNow)
{
  const std::size_t before = mDropped.size();
  for (ClassQueue& queue : mClasses) {
    queue.DropExpired(aNow, mDropped);
  }
  std::for_each(mDropped.begin() + static_cast<std::ptrdiff_t>(before),
                mDropped.end(),
                [&](const DroppedItem& aItem) { Unregister(aItem.mItem); });
}

}
