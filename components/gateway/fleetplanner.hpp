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

/// Order to an engine: a model, or an adapter of a model that it holds.
struct EngineOrder
{
  OrderKind mKind{ OrderKind::Load };
  ids::ModelId mModel;
  std::string mAdapter;

  bool operator==(const EngineOrder&) const = default;
};

/// An engine as the leader knows it, with what its accepted orders will change.
struct EngineView
{
  ids::EndpointId mId;
  ids::AvailabilityZoneId mZone;
  /// Models that are resident or on their way, and the adapters of each.
  ResidentModels mModels;
  /// Models that will be dropped; they still occupy memory.
  std::set<ids::ModelId> mUnloadingModels;
  /// Models among mModels that are still on their way.
  std::set<ids::ModelId> mLoadingModels;
  /// A model can be ordered now.
  bool mAcceptsModelOrder{ true };
  /// An adapter can be ordered now, also while a model is on its way.
  bool mAcceptsAdapterOrder{ true };
  /// The engine is about to leave or gets no work.
  bool mUsable{ true };
};

/// Requests a second for a model (empty adapter) or for one of its adapters.
using DemandLookup =
  std::function<double(const ids::ModelId& aModel, const std::string& aAdapter)>;

struct PlannedOrder
{
  ids::EndpointId mEndpoint;
  EngineOrder mOrder;
};

/// Load answered: demand that moves to other models within seconds, and engines that are
/// lost. Keeps every model on one engine at least, gives spare memory to the models with
/// most demand by copy, and takes it from those with least. Adapters of models in demand
/// are spread over the copies of the model.
class FleetPlanner
{
public:
  /// Demand by copy that one more copy must relieve, in requests a second.
  static constexpr double kMinDemandToReplicate = 1.0;
  /// Demand by copy from which another model gives up a copy.
  static constexpr double kMinDemandToEvict = 2.5;
  /// Demand by copy up to which a model gives up a copy for one that nobody asks for.
  static constexpr double kMaxDemandAfterIdleEviction = 8.0;
  /// A copy is dropped for another model only if that one's demand by copy is larger by
  /// this factor.
  static constexpr double kMinEvictionDemandRatio = 2.0;
  /// Engines that may drop a copy at a time, as a part of all, and at least.
  static constexpr double kMaxEvictingFraction = 0.25;
  static constexpr std::size_t kMinEvictionLimit = 3;

  /// Returns at most one order for each free engine. aLoads bounds the loads of models.
  std::vector<PlannedOrder> Plan(const EngineSpec& aSpec,
                                 const std::vector<EngineView>& aEngines,
                                 const DemandLookup& aDemand,
                                 std::size_t aLoads) const;
};

}

#endif
