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
  if (mIndex.size() >= mCapacity && !MakeRoom(aItem)) {
    return PushResult::Full;
  }
  const auto place = static_cast<std::size_t>(aItem.mClass);
  mIndex.emplace(aItem.mAttempt, Position{ place, aItem.mAccount, aItem.mDeadline });
  if (aItem.mClass != catalogue::RequestClass::Batch) {
    mShares.Arrived(aItem.mAccount, aItem.mWeight);
  }
  mClasses.at(place).Push(std::move(aItem));
  return PushResult::Accepted;
}

bool FairQueue::MakeRoom(const QueueItem& aItem)
{
  auto item = FindVictim(aItem);
  if (!item) {
    return false;
  }
  Displaced(std::move(*item));
  return true;
}

std::optional<QueueItem> FairQueue::FindVictim(const QueueItem& aItem)
{
  const auto own = static_cast<std::size_t>(aItem.mClass);
  const auto batch = static_cast<std::size_t>(catalogue::RequestClass::Batch);
  if (own != batch) {
    if (auto item = mClasses.at(batch).DisplaceAny({})) {
      return item;
    }
  }
  if (own != batch && mShares.InShare(aItem.mAccount)) {
    const auto inExcess = [&](const ids::ClientAccountId& aAccount) {
      return !mShares.InShare(aAccount);
    };
    for (std::size_t it = batch; it-- > 0;) {
      if (auto item = mClasses.at(it).DisplaceAny(inExcess)) {
        return item;
      }
    }
    for (std::size_t lower = batch - 1; lower > own; --lower) {
      if (auto item = mClasses.at(lower).DisplaceAny({})) {
        return item;
      }
    }
  }
  return mClasses.at(own).Displace(aItem.mAccount, aItem.mWeight);
}

void FairQueue::Displaced(QueueItem aItem)
{
  Forget(aItem);
  mDropped.push_back({ std::move(aItem), DropCause::Displaced });
}

void FairQueue::Forget(const QueueItem& aItem)
{
  mIndex.erase(aItem.mAttempt);
  if (aItem.mClass != catalogue::RequestClass::Batch) {
    mShares.Left(aItem.mAccount);
  }
}

std::optional<QueueItem> FairQueue::Pop(timing::Instant aNow, const ItemFilter& aFilter)
{
  DropExpired(aNow);
  for (std::size_t it = 1; it < kClasses; ++it) {
    if (mOwed.at(it) >= mClasses.at(it).NextCost()) {
      if (auto item = PopClass(it, aFilter)) {
        return item;
      }
    }
  }
  if (auto item = PopInShare(aFilter)) {
    return item;
  }
  for (std::size_t it = 0; it < kClasses; ++it) {
    if (auto item = PopClass(it, aFilter)) {
      return item;
    }
  }
  return std::nullopt;
}

std::optional<QueueItem> FairQueue::PopInShare(const ItemFilter& aFilter)
{
  const ItemFilter inShare = [&](const QueueItem& aItem) {
    return mShares.InShare(aItem.mAccount) && (!aFilter || aFilter(aItem));
  };
  for (std::size_t it = 0; it + 1 < kClasses; ++it) {
    if (auto item = PopClass(it, inShare)) {
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
      mShares.Served(item->mAccount, cost);
    }
    Account(aClass, cost);
  }
  return item;
}

void FairQueue::Account(std::size_t aServed, double aCost)
{
  for (std::size_t it = 1; it < kClasses; ++it) {
    if (mClasses.at(it).Empty()) {
      mOwed.at(it) = 0.0;
      continue;
    }
    mOwed.at(it) += aCost * mFloors.at(it);
    if (it == aServed) {
      mOwed.at(it) = std::max(mOwed.at(it) - aCost, 0.0);
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
    mShares.Left(position.mAccount);
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
                [&](const DroppedItem& aItem) { Forget(aItem.mItem); });
}

}
