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

/// Limits of the endpoint whose memory the ledger accounts for.
struct LedgerLimits
{
  units::Bytes mCapacity;
  /// True if the endpoint rejects orders with an outdated fencing number.
  bool mChecksFencing{ false };
  /// Maximum time between sending an order and its effect.
  timing::Duration mLongestOrder{ std::chrono::seconds(30) };
};

/// Accounts for the memory of one endpoint that is in use or may still come into use. A
/// model is counted from the reservation before its load order until it is known to be
/// absent as of an instant after which no load order for it can still take effect.
class MemoryLedger
{
public:
  /// Returns the declared memory of a model, or nothing for an unknown one.
  using MemoryLookup = std::function<std::optional<units::Bytes>(const ids::ModelId&)>;

  void Configure(const LedgerLimits& aLimits) { mLimits = aLimits; }

  /// Reserves memory for a load; returns false if there is not enough free memory.
  bool Reserve(const ids::ModelId& aModel, units::Bytes aMemory);

  /// Cancels a reservation for which no order was recorded.
  void CancelReservation(const ids::ModelId& aModel);

  /// Records an order that is about to be sent. Memory for a load must have been reserved
  /// with Reserve.
  void RecordOrder(const Order& aOrder, timing::Instant aNow);

  /// Records the outcome of an order.
  void OnOrderOutcome(units::FencingNumber aFencing,
                      OrderOutcome aOutcome,
                      timing::Instant aNow);

  /// Records the engine's list of resident models, which was requested at aRequestedAt.
  void OnResidentModels(const std::vector<ids::ModelId>& aModels,
                        const MemoryLookup& aMemoryOf,
                        timing::Instant aRequestedAt,
                        timing::Instant aNow);

  /// Counts the memory of load orders that an earlier incarnation recorded: they may
  /// still take effect.
  void RestoreOrders(const std::vector<Order>& aOrders, timing::Instant aNow);

  /// Excludes a model that is about to be unloaded from the resident models, so that it
  /// gets no new requests.
  void SetUnloading(const ids::ModelId& aModel, bool aUnloading);

  /// Returns true if the model is resident and not being unloaded.
  bool IsResident(const ids::ModelId& aModel) const;

  /// Returns the models that are resident and not being unloaded.
  std::vector<ids::ModelId> ResidentModels() const;

  /// Returns the load orders that may still take effect.
  std::vector<Order> PendingLoadOrders() const;

  units::Bytes Occupied() const;
  units::Bytes Free() const { return mLimits.mCapacity - Occupied(); }

  /// Returns the memory still counted for models that are not reserved and either not
  /// resident or being unloaded.
  units::Bytes ReleasingMemory() const;

private:
  struct LoadOrder
  {
    Order mOrder;
    timing::Instant mIssuedAt;
    bool mHasOutcome{ false };
  };

  struct Holding
  {
    units::Bytes mMemory;
    /// True if the model has no declared memory, so that the whole capacity is assumed.
    bool mAssumed{ false };
    bool mReserved{ false };
    bool mResident{ false };
    bool mUnloading{ false };
    std::vector<LoadOrder> mLoads;
    /// Latest instant at which a removed load order could still have taken effect.
    std::optional<timing::Instant> mLastLoadExpiredAt;
    /// Latest instant as of which the model is known to have been absent.
    timing::Instant mAbsentAsOf;
    /// Lists of resident models requested before this instant are stale for this model.
    timing::Instant mListsStaleBefore;
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
  void RemoveExpiredLoads(Holding& aHolding, timing::Instant aNow) const;
  void RemoveReleased(timing::Instant aNow);
  static bool IsReleased(const Holding& aHolding);

  LedgerLimits mLimits;
  Holdings mHoldings;
  std::vector<UnloadOrder> mUnloads;
};

}

#endif
