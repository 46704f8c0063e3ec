#include <catch2/catch.hpp>

#include "apps/tests/agent/agentworld.hpp"
#include "apps/tests/support/seeds.hpp"
#include "components/store/storekeys.hpp"

namespace {

using namespace samphiresail;
using namespace samphiresail::tests;
using namespace std::chrono_literals;

constexpr int kModels = 8;

ids::ModelId ModelName(int aNumber)
{
  return ids::ModelId("model-" + std::to_string(aNumber));
}

WorldOptions MakeEngineOptions(std::uint64_t aSeed, bool aChecksFencing)
{
  WorldOptions options = MakeOptions(aSeed);
  options.mPool.mKind = catalogue::PoolKind::Engine;
  options.mPool.mChecksFencing = aChecksFencing;
  for (int n = 0; n < kModels; ++n) {
    options.mModels.push_back({ .mName = ModelName(n),
                                .mPool = options.mPool.mName,
                                .mMemory = units::Bytes(20 + 5 * n) });
  }
  return options;
}

wire::Envelope MakePlacement(const std::string& aId,
                             wire::PlacementAction aAction,
                             int aModel)
{
  wire::Envelope envelope;
  wire::Placement& placement = *envelope.mutable_placement();
  placement.set_order_id(aId);
  placement.set_action(aAction);
  placement.set_model(ModelName(aModel).Str());
  return envelope;
}

void PlaceAtRandom(AgentWorld& aWorld, int aOrders, bool aRestarts)
{
  for (int n = 0; n < aOrders; ++n) {
    const auto action = aWorld.Chance(0.75) ? wire::LOAD : wire::UNLOAD;
    aWorld.Send(
      "planner",
      MakePlacement("order-" + std::to_string(n), action, aWorld.Pick(0, kModels - 1)));
    aWorld.Run(std::chrono::milliseconds(aWorld.Pick(10, 700)));
    if (aRestarts && aWorld.Chance(0.12)) {
      aWorld.RestartAgent();
    }
  }
}

WorldFaults MakeOrderFaults()
{
  return { .mDrop = 0.05,
           .mRepeat = 0.1,
           .mDelay = 0.15,
           .mOrderLost = 0.1,
           .mOrderLate = 0.25,
           .mOrderRepeated = 0.3,
           .mOrderAnswerLost = 0.2,
           .mStoreAnswerLost = 0.15,
           .mStoreDown = 0.1,
           .mQueryLost = 0.1 };
}

}

TEST_CASE("memory of an endpoint is never overcommitted by lost, late or repeated orders",
          "[must-hold]")
{
  const bool checksFencing = GENERATE(false, true);
  int loads = 0;
  for (const std::uint64_t seed : Seeds(150)) {
    AgentWorld world(MakeEngineOptions(seed, checksFencing));
    INFO("seed " << seed << " checks fencing " << checksFencing);
    world.Faults() = MakeOrderFaults();
    PlaceAtRandom(world, 40, true);
    REQUIRE(world.Engine().Peak() <= world.Engine().Capacity());
    loads += world.Engine().Loads();
  }
  CHECK(loads > 300);
}

TEST_CASE("memory lets a model be loaded once the faults end", "[must-hold]")
{
  const bool checksFencing = GENERATE(false, true);
  for (const std::uint64_t seed : Seeds(30)) {
    AgentWorld world(MakeEngineOptions(seed, checksFencing));
    INFO("seed " << seed << " checks fencing " << checksFencing);
    world.Faults() = MakeOrderFaults();
    PlaceAtRandom(world, 20, true);
    world.Faults() = {};
    world.Run(10s);
    bool accepted = false;
    world.Listen("planner", [&](const wire::Envelope& aEnvelope) {
      accepted |= aEnvelope.placement_reply().order_id() == "last" &&
                  aEnvelope.placement_reply().accepted();
    });
    world.Send("planner", MakePlacement("last", wire::LOAD, kModels - 1));
    world.Run(70s);
    REQUIRE(accepted);
    const auto residents = world.Engine().Residents();
    CHECK(std::ranges::find(residents, ModelName(kModels - 1)) != residents.end());
    CHECK(world.Engine().Peak() <= world.Engine().Capacity());
  }
}

TEST_CASE("memory without the store loads nothing and serves what is resident",
          "[must-hold]")
{
  AgentWorld world(MakeEngineOptions(1, false));
  world.Engine().Put(ModelName(0), units::Bytes(20));
  world.Faults().mStoreDown = 1;
  world.Run(1s);
  world.Send("planner", MakePlacement("order", wire::LOAD, 1));
  world.Run(5s);
  CHECK(world.Engine().Loads() == 0);
  wire::Envelope submit = world.MakeSubmit("attempt", "body");
  submit.mutable_submit()->set_model(ModelName(0).Str());
  world.Send("entry", submit);
  world.Run(1s);
  CHECK(world.Engine().Runs(ids::AttemptId("attempt")) == 1);
}

TEST_CASE("memory is not taken from a model that the endpoint keeps", "[must-hold]")
{
  AgentWorld world(MakeEngineOptions(1, false));
  wire::KeeperRecord record;
  auto& keeper = *record.add_keepers();
  keeper.set_model(ModelName(7).Str());
  keeper.add_endpoints("endpoint");
  world.Store().Execute(
    store::TransactionRequest{ .mWrites = { store::PutOperation{
                                 store::kKeepersKey, record.SerializeAsString() } } },
    1s);
  world.Engine().Put(ModelName(7), units::Bytes(55));
  world.Engine().Put(ModelName(0), units::Bytes(20));
  world.Run(1s);
  world.Send("planner", MakePlacement("order", wire::LOAD, 6));
  world.Run(80s);
  const auto residents = world.Engine().Residents();
  CHECK(std::ranges::find(residents, ModelName(7)) != residents.end());
  CHECK(world.Engine().Peak() <= world.Engine().Capacity());
}
