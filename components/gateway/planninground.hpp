#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_PLANNINGROUND_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_PLANNINGROUND_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "components/gateway/fleetplanner.hpp"

namespace samphiresail::gateway {

/// One planning round of FleetPlanner over the engines of a service. The constructor
/// indexes models, zones and engines in tables; each step of Run then adds its orders.
class PlanningRound
{
public:
  PlanningRound(const EngineSpec& aSpec,
                const std::vector<EngineView>& aEngines,
                const DemandLookup& aDemand,
                std::size_t aMaxLoads);

  std::vector<PlannedOrder> Run();

private:
  struct Model
  {
    const ModelSpec* mSpec{ nullptr };
    double mDemand{ 0.0 };
    /// Replicas that are ready, being loaded or planned.
    std::size_t mReplicas{ 0 };
    /// Replicas that serve now. One that is still being loaded is not counted, so that
    /// the only ready replica is never evicted.
    std::size_t mReadyReplicas{ 0 };
    std::vector<std::size_t> mReplicasByZone;
    /// Indices of the engines where the model is ready, so that adapters can be loaded.
    std::vector<std::size_t> mReadyEngines;
  };
  struct Engine
  {
    const EngineView* mView{ nullptr };
    std::size_t mZone{ 0 };
    /// Memory in use or reserved by a planned load, in megabytes.
    double mUsedMemoryMb{ 0.0 };
    bool mHasOrder{ false };
    /// Indices of the models of the specification that are resident or being loaded.
    std::vector<std::size_t> mModels;
  };
  struct Adapter
  {
    std::size_t mModel{ 0 };
    std::string mName;
    double mDemand{ 0.0 };
  };
  using AssignedAdapters = std::vector<std::vector<const Adapter*>>;

  void AddEngine(const EngineView& aView);
  bool Holds(const Engine& aEngine, const Model& aModel) const;
  static bool CanOrder(const Engine& aEngine);
  bool Fits(const Engine& aEngine, const ModelSpec& aModel) const;
  void Order(Engine& aEngine, EngineOrder aOrder);
  /// True if the engine can load the model without the weight store.
  static bool IsStored(const Engine& aEngine, const Model& aModel);
  /// True if the engine may load the model now.
  bool MayLoad(const Engine& aEngine, const Model& aModel) const;
  void Load(Engine& aEngine, Model& aModel);
  void Unload(Engine& aEngine, Model& aModel);
  double EngineDemand(const Engine& aEngine) const;
  /// Returns an engine with enough free memory for the model, or null. Prefers engines
  /// that have the model stored, then those with little demand, then zones with few
  /// replicas of the model.
  Engine* FindFreeEngine(const Model& aModel);
  /// Evicts the replica that is missed least, by the demand per remaining replica of its
  /// model, so that aModel can be loaded instead. Replicas whose model would be left with
  /// more than aMaxRemainingDemand stay. Returns whether a replica is evicted.
  bool EvictFor(const Model& aModel, double aMaxRemainingDemand);
  std::size_t EvictionsInProgress() const;
  /// Returns how many more models fit into all engines, or into those that cannot accept
  /// an order yet, counted with the memory of the largest model.
  std::size_t FreePlaces(bool aOnlyBusyEngines) const;
  /// Returns the number of models that no engine holds or loads.
  std::size_t MissingModels() const;
  /// Loads models that no engine holds, those that are asked for or the others. Evicts
  /// replicas of other models for them where no memory is free.
  void LoadMissingModels(bool aAskedFor);
  /// Makes room for a model that no engine holds.
  void EvictForMissing(const Model& aModel,
                       std::size_t& aPendingCapacity,
                       std::size_t& aEvictions,
                       std::size_t aMaxEvictions);
  static double DemandPerReplica(const Model& aModel);
  /// Returns the models that have replicas, ordered by demand per replica, the highest
  /// first.
  std::vector<Model*> ReplicatedModelsByDemand();
  /// Loads more replicas of the models with the highest demand per replica where memory
  /// is free and no missing model needs it. Evictions for demand count on this order.
  void ReplicateIntoFreeMemory();
  /// Counts one replica for each engine that is unloading a model: the freed memory goes
  /// to the model with the highest demand per replica that the engine does not hold.
  void CountExpectedReplicas();
  /// Evicts replicas of models with low demand for models with high demand per replica.
  void EvictForDemand();
  std::vector<Adapter> AdaptersInDemand() const;
  /// Assigns the adapter to one more of the engines that hold its model. Prefers engines
  /// with few assigned adapters and those that already hold it.
  void AssignAdapter(const Adapter& aAdapter, AssignedAdapters& aAssigned) const;
  /// Spreads the adapters of models in demand over the replicas, in two rounds so that
  /// every adapter has one replica before any has two.
  void PlaceAdapters();
  /// Orders the load of the first assigned adapter that is missing, or the unload of one
  /// that is not assigned if there is no slot or memory.
  void OrderAdapter(Engine& aEngine, const std::vector<const Adapter*>& aAssigned);

  const EngineSpec& mSpec;
  const DemandLookup& mDemand;
  std::size_t mRemainingLoads;
  /// Memory kept free for adapters, in megabytes: all slots of an engine filled with the
  /// largest adapter.
  double mAdapterReserve{ 0.0 };
  std::vector<Model> mModels;
  std::unordered_map<ids::ModelId, std::size_t> mModelIndex;
  std::unordered_map<ids::AvailabilityZoneId, std::size_t> mZoneIndex;
  std::vector<Engine> mEngines;
  std::vector<PlannedOrder> mOrders;
};

}

#endif
