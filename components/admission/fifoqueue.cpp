#include "components/admission/fifoqueue.hpp"

#include <algorithm>
#include <utility>

#include "components/admission/admissionqueue.hpp"

namespace samphiresail::admission {

static_assert(AdmissionQueue<FifoQueue>);

FifoQueue::FifoQueue(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

PushResult FifoQueue::Push(QueueItem aItem, timing::Instant aNow)
{
  if (aItem.mDeadline <= aNow) {
    return PushResult::Expired;
  }
  if (std::ranges::find(mItems, aItem.mAttempt, &QueueItem::mAttempt) != mItems.end()) {
    return PushResult::Duplicate;
  }
  if (mItems.size() >= mCapacity) {
    DropExpired(aNow);
  }
  if (mItems.size() >= mCapacity) {
    return PushResult::Full;
  }
  mItems.push_back(std::move(aItem));
  return PushResult::Accepted;
}

std::optional<QueueItem> FifoQueue::Pop(timing::Instant aNow, const ItemFilter& aFilter)
{
  DropExpired(aNow);
  const auto it = std::ranges::find_if(
    mItems, [&](const QueueItem& aItem) { return !aFilter || aFilter(aItem); });
  if (it == mItems.end()) {
    return std::nullopt;
  }
  QueueItem item = std::move(*it);
  mItems.erase(it);
  return item;
}

bool FifoQueue::Remove(const ids::AttemptId& aAttempt)
{
  return std::erase_if(mItems, [&](const QueueItem& aItem) {
           return aItem.mAttempt == aAttempt;
         }) > 0;
}

std::vector<DroppedItem> FifoQueue::TakeDropped(timing::Instant aNow)
{
  DropExpired(aNow);
  return std::exchange(mDropped, {});
}

void FifoQueue::DropExpired(timing::Instant aNow)
{
  const auto live =
    std::stable_partition(mItems.begin(), mItems.end(), [&](const QueueItem& aItem) {
      return aItem.mDeadline > aNow;
    });
  std::for_each(live, mItems.end(), [&](QueueItem& aItem) {
    mDropped.push_back({ std::move(aItem), DropCause::Expired });
  });
  mItems.erase(live, mItems.end());
}

}
