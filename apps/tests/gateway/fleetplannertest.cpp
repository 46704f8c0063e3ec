#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "components/gateway/fleetplanner.hpp"

using namespace samphiresail;
using namespace samphiresail::gateway;

namespace {

EngineSpec Spec(int aModels, unsigned aAdapters = 0)
{
  EngineSpec spec;
  spec.mMemoryMb = 30;
  spec.mAdapterSlots = 2;
  spec.mLoadsPerSecond = 2;
  for (int i = 0; i < aModels; ++i) {
    ModelSpec model;
    model.mName = ids::ModelId("m" + std::to_string(i));
    model.mMemoryMb = 10;
    model.mAdapters = aAdapters;
    spec.mModels.push_back(model);
  }
  return spec;
}

EngineView Engine(const std::string& aName, const std::vector<std::string>& aModels)
{
  EngineView engine;
  engine.mId = ids::EndpointId(aName);
  engine.mZone = ids::AvailabilityZoneId("z");
  for (const std::string& model : aModels) {
    engine.mModels[ids::ModelId(model)];
  }
  return engine;
}

DemandLookup Demand(const std::map<std::string, double>& aRates)
{
  return [aRates](const ids::ModelId& aModel, const std::string& aAdapter) {
    const auto it =
      aRates.find(aAdapter.empty() ? aModel.Str() : aModel.Str() + "/" + aAdapter);
    return it == aRates.end() ? 0.0 : it->second;
  };
}

bool Has(const std::vector<PlannedOrder>& aOrders,
         OrderKind aKind,
         const std::string& aModel,
         const std::string& aEndpoint)
{
  return std::ranges::any_of(aOrders, [&](const PlannedOrder& aOrder) {
    return aOrder.mOrder.mKind == aKind && aOrder.mOrder.mModel.Str() == aModel &&
           aOrder.mEndpoint.Str() == aEndpoint;
  });
}

const FleetPlanner kPlanner;
constexpr std::size_t kManyLoads = 10;

}

TEST_CASE("planner: a model that no engine holds is loaded where memory is free",
          "[gateway]")
{
  const auto orders = kPlanner.Plan(
    Spec(2), { Engine("e1", { "m0" }), Engine("e2", { "m0" }) }, Demand({}), kManyLoads);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].mOrder == EngineOrder{ OrderKind::Load, ids::ModelId("m1"), {} });
}

TEST_CASE("planner: replicas of a model without demand are evicted for one in demand",
          "[gateway]")
{
  const std::vector<EngineView> engines{ Engine("e1", { "m0", "m1", "m2" }),
                                         Engine("e2", { "m0", "m3", "m4" }),
                                         Engine("e3", { "m0", "m5", "m6" }) };
  const auto orders =
    kPlanner.Plan(Spec(7), engines, Demand({ { "m1", 30.0 } }), kManyLoads);
  REQUIRE_FALSE(orders.empty());
  CHECK(std::ranges::all_of(orders, [](const PlannedOrder& aOrder) {
    return aOrder.mOrder.mKind == OrderKind::Unload && aOrder.mOrder.mModel.Str() == "m0";
  }));
}

TEST_CASE("planner: the only ready replica stays while another one is being loaded",
          "[gateway]")
{
  std::vector<EngineView> engines{ Engine("e1", { "m0", "m1", "m2" }),
                                   Engine("e2", { "m0", "m3", "m4" }) };
  engines[1].mLoadingModels.insert(ids::ModelId("m0"));
  const auto orders =
    kPlanner.Plan(Spec(5), engines, Demand({ { "m3", 30.0 } }), kManyLoads);
  CHECK_FALSE(Has(orders, OrderKind::Unload, "m0", "e1"));
}

TEST_CASE("planner: no load exceeds the memory of an engine", "[gateway]")
{
  std::vector<EngineView> engines{ Engine("e1", { "m0", "m1", "m2" }) };
  engines[0].mUnloadingModels.insert(ids::ModelId("m2"));
  const auto orders =
    kPlanner.Plan(Spec(4), engines, Demand({ { "m3", 30.0 } }), kManyLoads);
  CHECK(orders.empty());
}

TEST_CASE("planner: the maximum number of loads is kept", "[gateway]")
{
  const auto orders = kPlanner.Plan(
    Spec(6), { Engine("e1", {}), Engine("e2", {}), Engine("e3", {}) }, Demand({}), 2);
  CHECK(orders.size() == 2);
}

TEST_CASE("planner: the adapter with the highest demand gets the slot", "[gateway]")
{
  EngineSpec spec = Spec(1, 3);
  std::vector<EngineView> engines{ Engine("e1", { "m0" }) };
  engines[0].mModels[ids::ModelId("m0")] = { "a1", "a2" };
  const auto demand = Demand({ { "m0", 5.0 }, { "m0/a3", 2.0 }, { "m0/a1", 1.0 } });
  auto orders = kPlanner.Plan(spec, engines, demand, kManyLoads);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].mOrder == EngineOrder{ OrderKind::Unload, ids::ModelId("m0"), "a2" });

  engines[0].mModels[ids::ModelId("m0")] = { "a1" };
  orders = kPlanner.Plan(spec, engines, demand, kManyLoads);
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].mOrder == EngineOrder{ OrderKind::Load, ids::ModelId("m0"), "a3" });
}

TEST_CASE("planner: no orders while all demand is served", "[gateway]")
{
  const std::vector<EngineView> engines{ Engine("e1", { "m0", "m1", "m2" }),
                                         Engine("e2", { "m0", "m3", "m4" }) };
  const auto orders = kPlanner.Plan(
    Spec(5), engines, Demand({ { "m0", 0.8 }, { "m1", 0.05 } }), kManyLoads);
  CHECK(orders.empty());
}

TEST_CASE("planner: in a large fleet a quarter of the engines evict at once", "[gateway]")
{
  constexpr int kEngines = 40;
  std::vector<EngineView> engines;
  std::map<std::string, double> rates;
  for (int i = 0; i < kEngines; ++i) {
    // Every engine holds the model without demand and one that is in demand.
    const std::string own = "m" + std::to_string(1 + i);
    engines.push_back(Engine("e" + std::to_string(i), { "m0", own }));
    rates[own] = 40.0;
  }
  EngineSpec spec = Spec(kEngines + 1);
  spec.mMemoryMb = 20;
  const auto orders = kPlanner.Plan(spec, engines, Demand(rates), kManyLoads);
  CHECK(std::ranges::count_if(orders, [](const PlannedOrder& aOrder) {
          return aOrder.mOrder.mKind == OrderKind::Unload;
        }) == kEngines / 4);
}

TEST_CASE("planner: no replica is evicted while a busy engine has free memory",
          "[gateway]")
{
  // The third engine restarted empty and loads one model; two more fit.
  EngineView restarted = Engine("e3", { "m1" });
  restarted.mLoadingModels = { ids::ModelId("m1") };
  restarted.mAcceptsModelOrder = false;
  const std::vector<EngineView> engines{ Engine("e1", { "m0", "m4", "m5" }),
                                         Engine("e2", { "m0", "m6", "m7" }),
                                         restarted };
  const DemandLookup demand =
    Demand({ { "m0", 1.5 }, { "m2", 0.25 }, { "m3", 0.2 }, { "m8", 0.15 } });
  CHECK(kPlanner.Plan(Spec(8), engines, demand, kManyLoads).empty());
  SECTION("a model that does not fit there causes an eviction")
  {
    const auto orders = kPlanner.Plan(Spec(9), engines, demand, kManyLoads);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].mOrder.mKind == OrderKind::Unload);
  }
}

TEST_CASE("planner: an engine that has the weights stored is loaded first", "[gateway]")
{
  std::vector<EngineView> engines{ Engine("e1", {}), Engine("e2", {}), Engine("e3", {}) };
  engines[2].mStoredModels.insert(ids::ModelId("m0"));
  const auto orders = kPlanner.Plan(Spec(1), engines, Demand({}), kManyLoads);
  REQUIRE(orders.size() == 1);
  CHECK(Has(orders, OrderKind::Load, "m0", "e3"));
  SECTION("also when no load from the weight store may start")
  {
    CHECK(kPlanner.Plan(Spec(1), engines, Demand({}), 0).size() == 1);
    engines[2].mStoredModels.clear();
    CHECK(kPlanner.Plan(Spec(1), engines, Demand({}), 0).empty());
  }
}

TEST_CASE("planner: loads go to the models without which most work remains unserved",
          "[gateway]")
{
  // Three engines came back empty. m1 and m2 have demand for several replicas, m3 to m5
  // are not asked for.
  const std::vector<EngineView> engines{ Engine("e1", { "m0", "m1", "m2" }),
                                         Engine("e2", {}),
                                         Engine("e3", {}),
                                         Engine("e4", {}) };
  const auto orders =
    kPlanner.Plan(Spec(6), engines, Demand({ { "m1", 6.0 }, { "m2", 2.5 } }), 3);
  const auto loads = [&](const std::string& aModel) {
    return std::ranges::count_if(orders, [&](const PlannedOrder& aOrder) {
      return aOrder.mOrder == EngineOrder{ OrderKind::Load, ids::ModelId(aModel), {} };
    });
  };
  CHECK(orders.size() == 3);
  CHECK(loads("m1") >= 1);
  CHECK(loads("m2") >= 1);
  CHECK(loads("m1") + loads("m2") == 3);
}

TEST_CASE("planner: lasting demand beyond all engines moves no replicas back and forth",
          "[gateway]")
{
  constexpr int kEngines = 12;
  constexpr int kModels = 16;
  constexpr int kRounds = 200;
  constexpr int kLoadRounds = 5;
  constexpr int kUnloadRounds = 2;
  const EngineSpec spec = Spec(kModels);
  std::map<std::string, double> demand;
  for (int i = 0; i < kModels; ++i) {
    demand["m" + std::to_string(i)] = 1.0 + 0.4 * i;
  }
  std::vector<EngineView> engines;
  engines.reserve(kEngines);
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(Engine("e" + std::to_string(i), {}));
  }
  struct Order
  {
    int mEnds{ 0 };
    EngineOrder mOrder;
  };
  std::map<std::string, Order> running;
  int lateUnloads = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (EngineView& engine : engines) {
      const auto it = running.find(engine.mId.Str());
      if (it == running.end() || it->second.mEnds > round) {
        continue;
      }
      const ids::ModelId model = it->second.mOrder.mModel;
      if (engine.mUnloadingModels.erase(model) > 0) {
        engine.mModels.erase(model);
      }
      engine.mLoadingModels.erase(model);
      engine.mAcceptsModelOrder = true;
      running.erase(it);
    }
    for (const PlannedOrder& planned : kPlanner.Plan(spec, engines, Demand(demand), 2)) {
      EngineView& engine =
        *std::ranges::find(engines, planned.mEndpoint, &EngineView::mId);
      const ids::ModelId& model = planned.mOrder.mModel;
      const bool load = planned.mOrder.mKind == OrderKind::Load;
      if (load) {
        engine.mModels[model];
        engine.mLoadingModels.insert(model);
      } else {
        engine.mUnloadingModels.insert(model);
        lateUnloads += round >= kRounds / 2 ? 1 : 0;
      }
      engine.mAcceptsModelOrder = false;
      running[engine.mId.Str()] = { round + (load ? kLoadRounds : kUnloadRounds),
                                    planned.mOrder };
    }
  }
  CHECK(lateUnloads == 0);
  // Every model is held, and twice the demand has no fewer replicas.
  const auto replicas = [&](int aModel) {
    return std::ranges::count_if(engines, [&](const EngineView& aEngine) {
      return aEngine.mModels.contains(ids::ModelId("m" + std::to_string(aModel)));
    });
  };
  for (int i = 0; i < kModels; ++i) {
    CHECK(replicas(i) >= 1);
  }
  CHECK(replicas(kModels - 1) > replicas(0));
}

TEST_CASE("planner: an adapter that is being unloaded keeps its slot", "[gateway]")
{
  EngineSpec spec = Spec(1, 3);
  std::vector<EngineView> engines{ Engine("e1", { "m0" }) };
  engines[0].mModels[ids::ModelId("m0")] = { "a1", "a2" };
  engines[0].mUnloadingAdapters[ids::ModelId("m0")] = { "a2" };
  const auto demand = Demand({ { "m0", 0.5 }, { "m0/a3", 0.2 }, { "m0/a1", 0.1 } });
  CHECK(kPlanner.Plan(spec, engines, demand, kManyLoads).empty());
}
