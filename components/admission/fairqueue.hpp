#ifndef SAMPHIRESAIL_COMPONENTS_ADMISSION_FAIRQUEUE_HPP
#define SAMPHIRESAIL_COMPONENTS_ADMISSION_FAIRQUEUE_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "components/admission/accountshares.hpp"
#include "components/admission/classqueue.hpp"
#include "components/admission/queueitem.hpp"

namespace samphiresail::admission {

/// Capacity, and the minimum fraction of the served token cost that each class gets while
/// it has waiting items, regardless of the items waiting in higher classes.
struct FairQueueOptions
{
  std::size_t mCapacity{ 64 };
  double mStreamedFloor{ 0.10 };
  double mShortFloor{ 0.05 };
  double mIrreversibleFloor{ 0.05 };
  double mBatchFloor{ 0.05 };
};

/// Orders by class, then by weighted fair share between client accounts, then by
/// deadline. An account that was served much more than its fair share of the endpoint
/// is served after the waiting items of the other accounts, except their batch items.
/// Each class below the first has a guaranteed minimum, so that batch uses the remaining
/// capacity and is never starved.
///
/// A full queue displaces waiting items in this order: batch, accounts above their fair
/// share, lower classes, and within a class the account with the most backlog. An account
/// above its fair share displaces only batch items and items of its own class whose
/// account has more backlog, so that it cannot crowd out the others.
class FairQueue
{
public:
  explicit FairQueue(const FairQueueOptions& aOptions);

  PushResult Push(QueueItem aItem, timing::Instant aNow);
  std::optional<QueueItem> Pop(timing::Instant aNow, const ItemFilter& aFilter);
  bool Remove(const ids::AttemptId& aAttempt);
  std::vector<DroppedItem> TakeDropped(timing::Instant aNow);
  /// Changes the maximum size; no waiting item is dropped.
  void SetCapacity(std::size_t aCapacity) { mCapacity = aCapacity; }
  std::size_t Size() const { return mIndex.size(); }

private:
  static constexpr std::size_t kClasses = 5;

  struct Position
  {
    std::size_t mClass{ 0 };
    ids::ClientAccountId mAccount;
    timing::Instant mDeadline;
  };

  bool DisplaceFor(const QueueItem& aItem);
  /// Removes and returns the item to displace for a new one, if there is any.
  std::optional<QueueItem> RemoveVictimFor(const QueueItem& aItem);
  void DropDisplaced(QueueItem aItem);
  void DropExpired(timing::Instant aNow);
  std::optional<QueueItem> PopClass(std::size_t aClass, const ItemFilter& aFilter);
  std::optional<QueueItem> PopWithinFairShare(const ItemFilter& aFilter);
  void Unregister(const QueueItem& aItem);
  void UpdateDeficits(std::size_t aServedClass, double aCost);

  std::size_t mCapacity;
  std::array<ClassQueue, kClasses> mClasses;
  AccountShares mShares;
  std::array<double, kClasses> mFloors;
  /// Token cost that each class is short of its guaranteed minimum.
  std::array<double, kClasses> mDeficits{};
  std::unordered_map<ids::AttemptId, Position> mIndex;
  std::vector<DroppedItem> mDropped;
};

}

#endif
