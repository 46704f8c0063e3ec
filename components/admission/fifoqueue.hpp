#ifndef SAMPHIRESAIL_COMPONENTS_ADMISSION_FIFOQUEUE_HPP
#define SAMPHIRESAIL_COMPONENTS_ADMISSION_FIFOQUEUE_HPP

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "components/admission/queueitem.hpp"

namespace samphiresail::admission {

/// Baseline: serves in the order of arrival, regardless of class, deadline and account.
class FifoQueue
{
public:
  explicit FifoQueue(std::size_t aCapacity);

  PushResult Push(QueueItem aItem, timing::Instant aNow);
  std::optional<QueueItem> Pop(timing::Instant aNow, const ItemFilter& aFilter);
  bool Remove(const ids::AttemptId& aAttempt);
  std::vector<DroppedItem> TakeDropped(timing::Instant aNow);
  /// Changes the maximum size; no waiting item is dropped.
  void SetCapacity(std::size_t aCapacity) { mCapacity = aCapacity; }
  std::size_t Size() const { return mItems.size(); }

private:
  void DropExpired(timing::Instant aNow);

  std::size_t mCapacity;
  std::deque<QueueItem> mItems;
  std::vector<DroppedItem> mDropped;
};

}

#endif
