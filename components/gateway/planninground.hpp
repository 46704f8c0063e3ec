#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_PLANNINGROUND_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_PLANNINGROUND_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "components/gateway/fleetplanner.hpp"

namespace samphiresail::gateway {

/// One round of FleetPlanner over the engines of a service: what is known is laid out in
/// tables by number once, then each step adds its orders.
class PlanningRound
{
public:
  PlanningRound(const EngineSpec& aSpec,
                const std::vector<EngineView>& aEngines,
                const DemandLookup& aDemand,
                std::size_t aLoads);

  std::vector<PlannedOrder> Run();

private:
  struct Model
  {
    const ModelSpec* mSpec{ nullptr };
    double mDemand{ 0.0 };
    /// Copies that serve, are on their way or are planned.
    std::size_t mCopies{ 0 };
    /// Copies that serve now; one that is on its way replaces none.
    std::size_t mReady{ 0 };
    std::vector<std::size_t> mCopiesByZone;
    /// Engines that can be asked for adapters of the model.
    std::vector<std::size_t> mHolders;
  };
  struct Engine
  {
    const EngineView* mView{ nullptr };
    std::size_t mZone{ 0 };
    /// Memory in use, in megabytes.
    double mUsed{ 0.0 };
    bool mOrdered{ false };
    /// Models of the specification that it holds or that are on their way.
    std::vector<std::size_t> mModels;
  };
  struct Adapter
  {
    std::size_t mModel{ 0 };
    std::string mName;
    double mDemand{ 0.0 };
  };
  using WantedAdapters = std::vector<std::vector<const Adapter*>>;

  void AddEngine(const EngineView& aView);
  bool Holds(const Engine& aEngine, const Model& aModel) const;
  static bool CanOrder(const Engine& aEngine);
  bool Fits(const Engine& aEngine, const ModelSpec& aModel) const;
  void Order(Engine& aEngine, EngineOrder aOrder);
  void Load(Engine& aEngine, Model& aModel);
  void Unload(Engine& aEngine, Model& aModel);
  double EngineDemand(const Engine& aEngine) const;
  /// Returns the engine with room for the model in the zone with fewest copies, the least
  /// loaded of those, or null.
  Engine* Room(const Model& aModel);
  /// Drops the copy that is needed least so that the model can be loaded in its place.
  /// Copies whose model would be left with more than aMost demand by copy stay.
  bool MakeRoom(const Model& aModel, double aMost);
  std::size_t SwapsUnderWay() const;
  /// Returns how many more models fit into engines that are busy with an order.
  std::size_t PlacesSoon() const;
  /// Loads models that no engine holds, those in demand first, and makes room for them.
  void RestoreMissing();
  static double Need(const Model& aModel);
  /// Returns the models that have copies by demand for each, the largest first.
  std::vector<Model*> ByNeed();
  void FillSpare();
  /// Counts the copies that will be loaded where something is being dropped.
  void CountExpected();
  void SwapCopies();
  std::vector<Adapter> AdaptersInDemand() const;
  void Want(const Adapter& aAdapter, WantedAdapters& aWanted) const;
  /// Spreads the adapters of models in demand over the copies, in two rounds so that
  /// every adapter has one place before any has two.
  void PlaceAdapters();
  void OrderAdapter(Engine& aEngine, const std::vector<const Adapter*>& aWanted);

  const EngineSpec& mSpec;
  const DemandLookup& mDemand;
  std::size_t mLoads;
  /// Memory that stays free for the adapters that an engine may be asked to hold.
  double mAdapterReserve{ 0.0 };
  std::vector<Model> mModels;
  std::unordered_map<ids::ModelId, std::size_t> mModelNumber;
  std::unordered_map<ids::AvailabilityZoneId, std::size_t> mZoneNumber;
  std::vector<Engine> mEngines;
  std::vector<PlannedOrder> mOrders;
};

}

#endif
