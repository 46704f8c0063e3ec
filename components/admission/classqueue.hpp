#ifndef SAMPHIRESAIL_COMPONENTS_ADMISSION_CLASSQUEUE_HPP
#define SAMPHIRESAIL_COMPONENTS_ADMISSION_CLASSQUEUE_HPP

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "components/admission/queueitem.hpp"

namespace samphiresail::admission {

/// Items of one class. Client accounts are served by weight through start-time fair
/// queueing over the token cost, and the items of an account by earliest deadline.
class ClassQueue
{
public:
  using AccountFilter = std::function<bool(const ids::ClientAccountId&)>;

  void Push(QueueItem aItem);

  /// Removes and returns the first item in fair order that the filter accepts.
  std::optional<QueueItem> Pop(const ItemFilter& aFilter);

  /// Removes an attempt. The account and the deadline must be those of its item.
  bool Remove(const ids::ClientAccountId& aAccount,
              timing::Instant aDeadline,
              const ids::AttemptId& aAttempt);

  /// Moves all items whose deadline has passed to aExpired.
  void DropExpired(timing::Instant aNow, std::vector<DroppedItem>& aExpired);

  /// Removes the item with the latest deadline of the account with the most backlog for
  /// its weight, if that backlog exceeds what the given account would have with one more
  /// item.
  std::optional<QueueItem> Displace(const ids::ClientAccountId& aAccount,
                                    std::uint32_t aWeight);

  /// Removes the item with the latest deadline of the account with the most backlog for
  /// its weight among the accounts that the filter accepts.
  std::optional<QueueItem> DisplaceAny(const AccountFilter& aFilter);

  /// Returns the token cost of the item that is first in fair order; infinite if empty.
  double NextCost() const;

  std::size_t Size() const { return mSize; }
  bool Empty() const { return mSize == 0; }

private:
  using Items = std::multimap<timing::Instant, QueueItem>;

  struct Flow
  {
    Items mItems;
    double mWeight{ 1.0 };
    /// Virtual time at which the account's next item starts.
    double mStart{ 0.0 };
  };
  using Flows = std::map<ids::ClientAccountId, Flow>;

  std::optional<QueueItem> PopFrom(Flow& aFlow, const ItemFilter& aFilter);
  Flows::iterator MostBacklogged(const AccountFilter& aFilter);
  QueueItem RemoveLatest(Flow& aFlow);
  void EraseIdleFlows();

  Flows mFlows;
  double mVirtualTime{ 0.0 };
  std::size_t mSize{ 0 };
};

}

#endif
