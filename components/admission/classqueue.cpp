#include "components/admission/classqueue.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace samphiresail::admission {

namespace {

/// Idle flows are erased while there are more flows than this.
constexpr std::size_t kMaxFlowsBeforeCleanup = 64;

double Weight(std::uint32_t aWeight)
{
  return static_cast<double>(std::max<std::uint32_t>(aWeight, 1));
}

double Cost(const QueueItem& aItem)
{
  return static_cast<double>(std::max<std::int64_t>(aItem.mCost.Count(), 1));
}

}

double ClassQueue::NextCost() const
{
  const Flow* next = nullptr;
  for (const auto& [account, flow] : mFlows) {
    if (!flow.mItems.empty() && (next == nullptr || flow.mStart < next->mStart)) {
      next = &flow;
    }
  }
  return next == nullptr ? std::numeric_limits<double>::infinity()
                         : Cost(next->mItems.begin()->second);
}

void ClassQueue::Push(QueueItem aItem)
{
  Flow& flow = mFlows[aItem.mAccount];
  if (flow.mItems.empty()) {
    flow.mStart = std::max(flow.mStart, mVirtualTime);
  }
  flow.mWeight = Weight(aItem.mWeight);
  const timing::Instant deadline = aItem.mDeadline;
  flow.mItems.emplace(deadline, std::move(aItem));
  ++mSize;
}

std::optional<QueueItem> ClassQueue::Pop(const ItemFilter& aFilter)
{
  std::vector<Flow*> order;
  order.reserve(mFlows.size());
  for (auto& [account, flow] : mFlows) {
    if (!flow.mItems.empty()) {
      order.push_back(&flow);
    }
  }
  std::ranges::sort(order, {}, [](const Flow* aFlow) { return aFlow->mStart; });
  for (Flow* flow : order) {
    if (auto item = PopFrom(*flow, aFilter)) {
      EraseIdleFlows();
      return item;
    }
  }
  return std::nullopt;
}

std::optional<QueueItem> ClassQueue::PopFrom(Flow& aFlow, const ItemFilter& aFilter)
{
  const auto it = std::ranges::find_if(
    aFlow.mItems, [&](const auto& aEntry) { return !aFilter || aFilter(aEntry.second); });
  if (it == aFlow.mItems.end()) {
    return std::nullopt;
  }
  QueueItem item = std::move(it->second);
  aFlow.mItems.erase(it);
  --mSize;
  // The start of a flow that the filter held back may be less than the virtual time,
  // which must never decrease.
  mVirtualTime = std::max(mVirtualTime, aFlow.mStart);
  aFlow.mStart += Cost(item) / aFlow.mWeight;
  return item;
}

bool ClassQueue::Remove(const ids::ClientAccountId& aAccount,
                        timing::Instant aDeadline,
                        const ids::AttemptId& aAttempt)
{
  const auto flow = mFlows.find(aAccount);
  if (flow == mFlows.end()) {
    return false;
  }
  auto [first, last] = flow->second.mItems.equal_range(aDeadline);
  const auto it = std::find_if(
    first, last, [&](const auto& aEntry) { return aEntry.second.mAttempt == aAttempt; });
  if (it == last) {
    return false;
  }
  flow->second.mItems.erase(it);
  --mSize;
  return true;
}

void ClassQueue::DropExpired(timing::Instant aNow, std::vector<DroppedItem>& aExpired)
{
  for (auto& [account, flow] : mFlows) {
    const auto live = flow.mItems.upper_bound(aNow);
    for (auto it = flow.mItems.begin(); it != live; ++it) {
      aExpired.push_back({ std::move(it->second), DropCause::Expired });
      --mSize;
    }
    flow.mItems.erase(flow.mItems.begin(), live);
  }
}

std::optional<QueueItem> ClassQueue::Displace(const ids::ClientAccountId& aAccount,
                                              std::uint32_t aWeight)
{
  const auto most = MostBacklogged({});
  if (most == mFlows.end() || most->first == aAccount) {
    return std::nullopt;
  }
  const auto own = mFlows.find(aAccount);
  const std::size_t ownItems = own == mFlows.end() ? 0 : own->second.mItems.size();
  const double ownBacklog = static_cast<double>(ownItems + 1) / Weight(aWeight);
  const double mostBacklog =
    static_cast<double>(most->second.mItems.size()) / most->second.mWeight;
  if (mostBacklog <= ownBacklog) {
    return std::nullopt;
  }
  return RemoveLatest(most->second);
}

std::optional<QueueItem> ClassQueue::DisplaceAny(const AccountFilter& aFilter)
{
  const auto most = MostBacklogged(aFilter);
  if (most == mFlows.end()) {
    return std::nullopt;
  }
  return RemoveLatest(most->second);
}

ClassQueue::Flows::iterator ClassQueue::MostBacklogged(const AccountFilter& aFilter)
{
  auto most = mFlows.end();
  double backlog = 0.0;
  for (auto it = mFlows.begin(); it != mFlows.end(); ++it) {
    const double own = static_cast<double>(it->second.mItems.size()) / it->second.mWeight;
    if (own > backlog && (!aFilter || aFilter(it->first))) {
      backlog = own;
      most = it;
    }
  }
  return most;
}

QueueItem ClassQueue::RemoveLatest(Flow& aFlow)
{
  const auto it = std::prev(aFlow.mItems.end());
  QueueItem item = std::move(it->second);
  aFlow.mItems.erase(it);
  --mSize;
  return item;
}

void ClassQueue::EraseIdleFlows()
{
  if (mFlows.size() <= kMaxFlowsBeforeCleanup) {
    return;
  }
  std::erase_if(mFlows, [&](const auto& aEntry) {
    return aEntry.second.mItems.empty() && aEntry.second.mStart <= mVirtualTime;
  });
}

}
