#ifndef SAMPHIRESAIL_COMPONENTS_LEDGER_MEMORYLEDGER_HPP
#define SAMPHIRESAIL_COMPONENTS_LEDGER_MEMORYLEDGER_HPP

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/ledger/order.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::ledger {

struct LedgerLimits
{
  units::Bytes mCapacity;
  /// True if the endpoint refuses orders with an old fencing number.
  bool mChecksFencing{ false };
  /// Longest time after which an issued order can still take effect.
  timing::Duration mLongestOrder{ std::chrono::seconds(30) };
};

/// Counts the memory of one endpoint that is in use or may come into use. A model counts
/// from the reservation before its load order until there is evidence, newer than every
/// load order that could still take effect, that it is absent.
class MemoryLedger
{
public:
  /// Returns the declared memory of a model, or nothing for an unknown one.
  using MemoryLookup = std::function<std::optional<units::Bytes>(const ids::ModelId&)>;

  void Configure(const LedgerLimits& aLimits) { mLimits = aLimits; }

  /// Sets memory aside for a load; returns false if there is no room.
  bool Reserve(const ids::ModelId& aModel, units::Bytes aMemory);

  /// Gives up a reservation for which no order was issued.
  void CancelReservation(const ids::ModelId& aModel);

  /// Takes note of an order that is about to be sent. A load must be reserved.
  void RecordOrder(const Order& aOrder, timing::Instant aNow);

  /// Takes the end of an order.
  void OnOrderOutcome(units::FencingNumber aFencing,
                      OrderOutcome aOutcome,
                      timing::Instant aNow);

  /// Takes the engine's list of resident models; aAskedAt is when it was asked for.
  void OnResidentModels(const std::vector<ids::ModelId>& aModels,
                        const MemoryLookup& aMemoryOf,
                        timing::Instant aAskedAt,
                        timing::Instant aNow);

  /// Counts orders that an earlier incarnation recorded as occupied memory.
  void RestoreOrders(const std::vector<Order>& aOrders, timing::Instant aNow);

  /// Keeps new requests from a model that is about to be unloaded.
  void SetUnloading(const ids::ModelId& aModel, bool aUnloading);

  /// True if requests for the model may be served.
  bool IsResident(const ids::ModelId& aModel) const;

  std::vector<ids::ModelId> ResidentModels() const;

  /// Load orders that may still take effect.
  std::vector<Order> PendingLoadOrders() const;

  units::Bytes Occupied() const;
  units::Bytes Free() const { return mLimits.mCapacity - Occupied(); }

  /// Memory that is counted although its model is gone as far as is known.
  units::Bytes ReleasingMemory() const;

private:
  struct LoadOrder
  {
    Order mOrder;
    timing::Instant mIssuedAt;
    bool mAnswered{ false };
  };

  struct Holding
  {
    units::Bytes mMemory;
    /// True if the memory is only assumed, since nothing declares it.
    bool mAssumed{ false };
    bool mReserved{ false };
    bool mResident{ false };
    bool mUnloading{ false };
    std::vector<LoadOrder> mLoads;
    /// When the last load order lost its power to take effect, if there was one.
    std::optional<timing::Instant> mLoadsOverAt;
    /// Latest instant for which there is evidence of the model's absence.
    timing::Instant mAbsentAt;
    /// Evidence that began before this instant is out of date.
    timing::Instant mStateSince;
  };

  struct UnloadOrder
  {
    Order mOrder;
    timing::Instant mIssuedAt;
  };

  using Holdings = std::map<ids::ModelId, Holding>;

  void OnLoadOutcome(Holding& aHolding,
                     LoadOrder& aLoad,
                     OrderOutcome aOutcome,
                     timing::Instant aNow);
  void OnUnloadOutcome(const UnloadOrder& aUnload,
                       OrderOutcome aOutcome,
                       timing::Instant aNow);
  void ForgetLateLoads(Holding& aHolding, timing::Instant aNow) const;
  void Settle(timing::Instant aNow);
  static bool IsReleased(const Holding& aHolding);

  LedgerLimits mLimits;
  Holdings mHoldings;
  std::vector<UnloadOrder> mUnloads;
};

}

#endif
