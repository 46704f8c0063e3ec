#include "components/ledger/memoryledger.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace samphiresail::ledger {

bool MemoryLedger::Reserve(const ids::ModelId& aModel, units::Bytes aMemory)
{
  const auto it = mHoldings.find(aModel);
  const units::Bytes held = it == mHoldings.end() ? units::Bytes() : it->second.mMemory;
#ifndef SAMPHIRESAIL_MUTANT_LEDGER_ROOM
  if (aMemory > held && aMemory - held > Free()) {
    return false;
  }
#endif
  Holding& holding = mHoldings[aModel];
  holding.mMemory = std::max(held, aMemory);
  holding.mReserved = true;
  return true;
}

void MemoryLedger::CancelReservation(const ids::ModelId& aModel)
{
  const auto it = mHoldings.find(aModel);
  if (it == mHoldings.end()) {
    return;
  }
  it->second.mReserved = false;
  if (IsReleased(it->second)) {
    mHoldings.erase(it);
  }
}

void MemoryLedger::RecordOrder(const Order& aOrder, timing::Instant aNow)
{
  if (aOrder.mAction == OrderAction::Unload) {
    SetUnloading(aOrder.mModel, true);
    mUnloads.push_back({ aOrder, aNow });
    return;
  }
  Holding& holding = mHoldings[aOrder.mModel];
  holding.mMemory = std::max(holding.mMemory, aOrder.mMemory);
  holding.mReserved = false;
  holding.mLoads.push_back({ aOrder, aNow });
}

void MemoryLedger::OnOrderOutcome(units::FencingNumber aFencing,
                                  OrderOutcome aOutcome,
                                  timing::Instant aNow)
{
  const auto unload = std::ranges::find_if(mUnloads, [&](const UnloadOrder& aUnload) {
    return aUnload.mOrder.mFencing == aFencing;
  });
  if (unload != mUnloads.end()) {
    const UnloadOrder unloadOrder = *unload;
    mUnloads.erase(unload);
    OnUnloadOutcome(unloadOrder, aOutcome, aNow);
  } else {
    for (auto& [model, holding] : mHoldings) {
      const auto load = std::ranges::find_if(holding.mLoads, [&](const LoadOrder& aLoad) {
        return aLoad.mOrder.mFencing == aFencing;
      });
      if (load != holding.mLoads.end()) {
        OnLoadOutcome(holding, *load, aOutcome, aNow);
        break;
      }
    }
  }
  RemoveReleased(aNow);
}

void MemoryLedger::OnLoadOutcome(Holding& aHolding,
                                 LoadOrder& aLoad,
                                 OrderOutcome aOutcome,
                                 timing::Instant aNow)
{
  aLoad.mHasOutcome = true;
  if (aOutcome == OrderOutcome::NotSent) {
    aHolding.mLoads.erase(aHolding.mLoads.begin() + (&aLoad - aHolding.mLoads.data()));
  } else if (aOutcome == OrderOutcome::Confirmed) {
    aHolding.mResident = true;
    aHolding.mListsStaleBefore = aNow;
  }
}

void MemoryLedger::OnUnloadOutcome(const UnloadOrder& aUnload,
                                   OrderOutcome aOutcome,
                                   timing::Instant aNow)
{
  const auto it = mHoldings.find(aUnload.mOrder.mModel);
  if (it == mHoldings.end()) {
    return;
  }
  Holding& holding = it->second;
  holding.mUnloading = false;
  if (aOutcome != OrderOutcome::Confirmed) {
    return;
  }
  holding.mResident = false;
  holding.mListsStaleBefore = aNow;
  holding.mAbsentAsOf = std::max(holding.mAbsentAsOf, aUnload.mIssuedAt);
  const bool allLoadsOutdated =
    std::ranges::all_of(holding.mLoads, [&](const LoadOrder& aLoad) {
      return aLoad.mHasOutcome && aLoad.mOrder.mFencing < aUnload.mOrder.mFencing;
    });
  if (mLimits.mChecksFencing && allLoadsOutdated) {
    // From now on the engine rejects orders with a fencing number below that of the
    // unload.
    holding.mLoads.clear();
    holding.mLastLoadExpiredAt.reset();
  }
}

void MemoryLedger::OnResidentModels(const std::vector<ids::ModelId>& aModels,
                                    const MemoryLookup& aMemoryOf,
                                    timing::Instant aRequestedAt,
                                    timing::Instant aNow)
{
  for (const ids::ModelId& model : aModels) {
    const auto declared = aMemoryOf(model);
    const auto [it, added] = mHoldings.try_emplace(model);
    Holding& holding = it->second;
    if (added) {
      holding.mMemory = declared.value_or(mLimits.mCapacity);
      holding.mAssumed = !declared;
    } else if (declared) {
      holding.mMemory =
        holding.mAssumed ? *declared : std::max(holding.mMemory, *declared);
      holding.mAssumed = false;
    }
    if (aRequestedAt >= holding.mListsStaleBefore) {
      holding.mResident = true;
    }
  }
#ifndef SAMPHIRESAIL_MUTANT_LEDGER_EVIDENCE_AGE
  const timing::Instant listAsOf = aRequestedAt;
#else
  const timing::Instant listAsOf = aNow;
#endif
  for (auto& [model, holding] : mHoldings) {
    const bool absent = std::ranges::find(aModels, model) == aModels.end();
    if (absent && listAsOf >= holding.mListsStaleBefore) {
      holding.mResident = false;
      holding.mAbsentAsOf = std::max(holding.mAbsentAsOf, listAsOf);
    }
  }
  RemoveReleased(aNow);
}

void MemoryLedger::RestoreOrders(const std::vector<Order>& aOrders, timing::Instant aNow)
{
#ifndef SAMPHIRESAIL_MUTANT_LEDGER_ADOPT
  for (const Order& order : aOrders) {
    if (order.mAction == OrderAction::Load) {
      RecordOrder(order, aNow);
      mHoldings[order.mModel].mLoads.back().mHasOutcome = true;
    }
  }
#else
  static_cast<void>(aOrders);
  static_cast<void>(aNow);
#endif
}

void MemoryLedger::SetUnloading(const ids::ModelId& aModel, bool aUnloading)
{
  const auto it = mHoldings.find(aModel);
  if (it != mHoldings.end()) {
    it->second.mUnloading = aUnloading;
  }
}

bool MemoryLedger::IsResident(const ids::ModelId& aModel) const
{
  const auto it = mHoldings.find(aModel);
  return it != mHoldings.end() && it->second.mResident && !it->second.mUnloading;
}

std::vector<ids::ModelId> MemoryLedger::ResidentModels() const
{
  std::vector<ids::ModelId> models;
  for (const auto& [model, holding] : mHoldings) {
    if (holding.mResident && !holding.mUnloading) {
      models.push_back(model);
    }
  }
  return models;
}

std::vector<Order> MemoryLedger::PendingLoadOrders() const
{
  std::vector<Order> orders;
  for (const auto& [model, holding] : mHoldings) {
    std::ranges::transform(
      holding.mLoads, std::back_inserter(orders), &LoadOrder::mOrder);
  }
  return orders;
}

units::Bytes MemoryLedger::Occupied() const
{
  return std::accumulate(
    mHoldings.begin(),
    mHoldings.end(),
    units::Bytes(),
    [](units::Bytes aSum, auto& aItem) { return aSum + aItem.second.mMemory; });
}

units::Bytes MemoryLedger::ReleasingMemory() const
{
  return std::accumulate(mHoldings.begin(),
                         mHoldings.end(),
                         units::Bytes(),
                         [](units::Bytes aSum, auto& aItem) {
                           const Holding& holding = aItem.second;
                           const bool isBeingReleased =
                             !holding.mReserved &&
                             (!holding.mResident || holding.mUnloading);
                           return isBeingReleased ? aSum + holding.mMemory : aSum;
                         });
}

void MemoryLedger::RemoveExpiredLoads(Holding& aHolding, timing::Instant aNow) const
{
  std::erase_if(aHolding.mLoads, [&](const LoadOrder& aLoad) {
    const timing::Instant expiry = aLoad.mIssuedAt + mLimits.mLongestOrder;
#ifndef SAMPHIRESAIL_MUTANT_LEDGER_LATE_ORDER
    const bool hasExpired = aLoad.mHasOutcome && aNow > expiry;
#else
    const bool hasExpired = aLoad.mHasOutcome;
#endif
    if (hasExpired) {
      aHolding.mLastLoadExpiredAt =
        std::max(aHolding.mLastLoadExpiredAt.value_or(expiry), expiry);
    }
    return hasExpired;
  });
}

void MemoryLedger::RemoveReleased(timing::Instant aNow)
{
  for (auto& [model, holding] : mHoldings) {
    RemoveExpiredLoads(holding, aNow);
  }
  std::erase_if(mHoldings, [](const auto& aItem) { return IsReleased(aItem.second); });
}

bool MemoryLedger::IsReleased(const Holding& aHolding)
{
  if (aHolding.mReserved || aHolding.mResident || !aHolding.mLoads.empty()) {
    return false;
  }
#ifndef SAMPHIRESAIL_MUTANT_LEDGER_LATE_ORDER
  return !aHolding.mLastLoadExpiredAt ||
         aHolding.mAbsentAsOf > *aHolding.mLastLoadExpiredAt;
#else
  return true;
#endif
}

}
