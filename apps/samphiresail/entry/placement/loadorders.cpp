#include "apps/samphiresail/entry/placement/loadorders.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphiresail::entry {

namespace {

constexpr std::chrono::seconds kPause{ 5 };
/// Longest time that a load waits for its permit.
constexpr std::chrono::seconds kPermitTimeout{ 10 };
/// Longer than an agent works on an order.
constexpr std::chrono::seconds kReplyTimeout{ 70 };

}

LoadOrders::LoadOrders(std::string aName)
  : mName(std::move(aName))
{
}

bool LoadOrders::Start(const placement::LoadOrder& aOrder,
                       const std::string& aAddress,
                       timing::Instant aNow)
{
  const bool runs = std::ranges::any_of(
    mLoads, [&](const auto& aItem) { return aItem.second.mOrder == aOrder; });
  if (runs || FailedRecently(aOrder)) {
    return false;
  }
  const std::uint64_t id = ++mLastId;
  mLoads[id] = { .mOrder = aOrder, .mAddress = aAddress, .mStartedAt = aNow };
  mActions.emplace_back(AskPermit{ id });
  return true;
}

void LoadOrders::Tick(timing::Instant aNow)
{
  std::erase_if(mFailed, [&](const auto& aItem) { return aItem.second <= aNow; });
  for (auto it = mLoads.begin(); it != mLoads.end();) {
    Load& load = it->second;
    const bool sent = !load.mOrderId.empty();
    const timing::Duration limit = sent ? kReplyTimeout : kPermitTimeout;
    if (aNow - load.mStartedAt >= limit) {
      it = Fail(it, aNow);
      continue;
    }
    if (load.mAskAt && *load.mAskAt <= aNow) {
      load.mAskAt.reset();
      mActions.emplace_back(AskPermit{ it->first });
    }
    ++it;
  }
}

void LoadOrders::OnPermit(std::uint64_t aId,
                          const limits::PermitReply& aAnswer,
                          const catalogue::Model* aModel,
                          timing::Instant aNow)
{
  const auto it = mLoads.find(aId);
  const bool wanted =
    it != mLoads.end() && it->second.mOrderId.empty() && aModel != nullptr;
  if (!wanted) {
    if (!aAnswer.mPermit.empty()) {
      mActions.emplace_back(GiveBackPermit{ aAnswer.mPermit });
    }
    return;
  }
  Load& load = it->second;
  if (aAnswer.mPermit.empty()) {
    load.mAskAt = aNow + aAnswer.mRetryAfter;
    return;
  }
  load.mPermit = aAnswer.mPermit;
  load.mOrderId = mName + "-" + std::to_string(aId);
  load.mStartedAt = aNow;
  wire::Placement placement;
  placement.set_order_id(load.mOrderId);
  placement.set_action(wire::LOAD);
  placement.set_model(aModel->mName.Str());
  placement.set_base_model(aModel->mBase.Str());
  placement.set_memory_bytes(static_cast<std::uint64_t>(aModel->mMemory.Count()));
  placement.set_permit_id(load.mPermit);
  mActions.emplace_back(SendOrder{ load.mAddress, std::move(placement) });
  mActions.emplace_back(
    NotePlacement{ "order-load", load.mOrder.mEndpoint.Str(), aModel->mName.Str() });
}

void LoadOrders::OnReply(const wire::PlacementReply& aReply, timing::Instant aNow)
{
  const auto it = std::ranges::find_if(mLoads, [&](const auto& aItem) {
    return !aReply.order_id().empty() && aItem.second.mOrderId == aReply.order_id();
  });
  if (it == mLoads.end()) {
    return;
  }
  const Load& load = it->second;
  if (aReply.accepted()) {
    mActions.emplace_back(GiveBackPermit{ load.mPermit });
    mLoads.erase(it);
    return;
  }
  mActions.emplace_back(
    NotePlacement{ "load-refused",
                   load.mOrder.mEndpoint.Str(),
                   load.mOrder.mModel.Str() + ": " + aReply.reason() });
  Fail(it, aNow);
}

LoadOrders::Loads::iterator LoadOrders::Fail(Loads::iterator aLoad, timing::Instant aNow)
{
  mFailed[aLoad->second.mOrder] = aNow + kPause;
  if (!aLoad->second.mPermit.empty()) {
    mActions.emplace_back(GiveBackPermit{ aLoad->second.mPermit });
  }
  return mLoads.erase(aLoad);
}

std::optional<placement::LoadOrder> LoadOrders::Find(std::uint64_t aId) const
{
  const auto it = mLoads.find(aId);
  return it == mLoads.end() ? std::nullopt : std::optional(it->second.mOrder);
}

bool LoadOrders::Runs(const ids::ModelId& aModel) const
{
  return std::ranges::any_of(
    mLoads, [&](const auto& aItem) { return aItem.second.mOrder.mModel == aModel; });
}

bool LoadOrders::FailedRecently(const placement::LoadOrder& aOrder) const
{
  return mFailed.contains(aOrder);
}

std::vector<placement::LoadOrder> LoadOrders::Running() const
{
  std::vector<placement::LoadOrder> orders;
  std::ranges::transform(mLoads, std::back_inserter(orders), [](const auto& aItem) {
    return aItem.second.mOrder;
  });
  return orders;
}

}
