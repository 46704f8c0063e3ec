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

/// Share of the served token cost that a waiting class gets at least, whatever waits in
/// the classes above it.
struct FairQueueOptions
{
  std::size_t mCapacity{ 64 };
  double mStreamedFloor{ 0.10 };
  double mShortFloor{ 0.05 };
  double mIrreversibleFloor{ 0.05 };
  double mBatchFloor{ 0.05 };
};

/// Serves the class first, then weighted fair shares between client accounts, then the
/// deadline. An account that got much more than its share of the endpoint while others
/// wait comes after them in all classes but batch. Each class has a floor, so that batch
/// runs in the slack and is never starved. A full
/// queue gives way: batch first, then accounts in excess of their share, then lower
/// classes, and within a class the account with the most backlog. An account in excess
/// displaces only batch and its like, so that it cannot crowd out the others.
class FairQueue
{
public:
  explicit FairQueue(const FairQueueOptions& aOptions);

  PushResult Push(QueueItem aItem, timing::Instant aNow);
  std::optional<QueueItem> Pop(timing::Instant aNow, const ItemFilter& aFilter);
  bool Remove(const ids::AttemptId& aAttempt);
  std::vector<DroppedItem> TakeDropped(timing::Instant aNow);
  /// Changes the bound; nothing that waits is dropped.
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

  bool MakeRoom(const QueueItem& aItem);
  /// Takes out the item that gives way to a new one, if there is any.
  std::optional<QueueItem> FindVictim(const QueueItem& aItem);
  void Displaced(QueueItem aItem);
  void DropExpired(timing::Instant aNow);
  std::optional<QueueItem> PopClass(std::size_t aClass, const ItemFilter& aFilter);
  std::optional<QueueItem> PopInShare(const ItemFilter& aFilter);
  void Forget(const QueueItem& aItem);
  void Account(std::size_t aServed, double aCost);

  std::size_t mCapacity;
  std::array<ClassQueue, kClasses> mClasses;
  AccountShares mShares;
  std::array<double, kClasses> mFloors;
  /// Token cost that each class is owed by its floor.
  std::array<double, kClasses> mOwed{};
  std::unordered_map<ids::AttemptId, Position> mIndex;
  std::vector<DroppedItem> mDropped;
};

}

#endif
