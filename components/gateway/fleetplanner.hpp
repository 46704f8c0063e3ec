#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_FLEETPLANNER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_FLEETPLANNER_HPP

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "components/gateway/endpoint.hpp"
#include "components/gateway/servingconfiguration.hpp"

namespace samphiresail::gateway {

enum class OrderKind
{
  Load,
  Unload,
};

/// Order to an engine to load or unload a model (empty adapter) or an adapter of a model
/// that is resident there.
struct EngineOrder
{
  OrderKind mKind{ OrderKind::Load };
  ids::ModelId mModel;
  std::string mAdapter;

  bool operator==(const EngineOrder&) const = default;
};

/// The leader's view of an engine: its last known state, with the changes that its
/// accepted orders will make.
struct EngineView
{
  ids::EndpointId mId;
  ids::AvailabilityZoneId mZone;
  /// Models that are resident or being loaded, and the adapters of each.
  ResidentModels mModels;
  /// Models among mModels that are being unloaded; they still occupy memory.
  std::set<ids::ModelId> mUnloadingModels;
  /// Models among mModels that are still being loaded.
  std::set<ids::ModelId> mLoadingModels;
  /// Adapters among mModels that are being unloaded; they still occupy a slot.
  ResidentModels mUnloadingAdapters;
  /// Models that the engine can load from its own memory or disk, quickly and without the
  /// weight store.
  std::set<ids::ModelId> mStoredModels;
  /// An order for a model can be sent now.
  bool mAcceptsModelOrder{ true };
  /// An order for an adapter can be sent now, also while a model is being loaded.
  bool mAcceptsAdapterOrder{ true };
  /// False if the engine is leaving or may not get new work.
  bool mUsable{ true };
};

/// Returns the demand for a model (empty adapter) or for one of its adapters, in engines:
/// the number of whole engines that its requests would use up.
using DemandLookup =
  std::function<double(const ids::ModelId& aModel, const std::string& aAdapter)>;

/// An order and the engine that it is for.
struct PlannedOrder
{
  ids::EndpointId mEndpoint;
  EngineOrder mOrder;
};

/// Workload: demand that moves to other models within seconds, and engines that are lost.
/// Loads take seconds, only some may start at a time, and an unload refuses the requests
/// that wait for the model. Keeps every model resident on at least one engine, those that
/// are asked for first, uses the memory that they leave free to replicate the models with
/// the highest demand per replica, and evicts replicas of those with the lowest. Adapters
/// of models in demand are spread over the replicas of the model.
class FleetPlanner
{
public:
  // All demand is in engines.
  /// Demand per replica from which free memory is used for another replica.
  static constexpr double kMinDemandToReplicate = 0.12;
  /// Demand per replica from which a replica of another model is evicted.
  static constexpr double kMinDemandToEvict = 0.3;
  /// A replica is evicted for a missing model without demand only if the remaining
  /// replicas of its own model then have at most this demand each.
  static constexpr double kMaxDemandAfterIdleEviction = 0.4;
  /// A replica is evicted for another replicated model only if, after the exchange, that
  /// model's demand per replica is at least this many times the demand per replica of the
  /// evicted replica's model.
  static constexpr double kMinEvictionDemandRatio = 2.0;
  /// Maximum number of engines that may unload a model at the same time: this fraction of
  /// all engines, or kMinEvictionLimit if that is more.
  static constexpr double kMaxEvictingFraction = 0.25;
  static constexpr std::size_t kMinEvictionLimit = 3;

  /// Returns at most one order for each engine that accepts one. Starts at most aMaxLoads
  /// loads of models.
  std::vector<PlannedOrder> Plan(const EngineSpec& aSpec,
                                 const std::vector<EngineView>& aEngines,
                                 const DemandLookup& aDemand,
                                 std::size_t aMaxLoads) const;
};

}

#endif
