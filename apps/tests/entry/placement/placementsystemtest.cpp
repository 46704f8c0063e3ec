#include <algorithm>

#include <catch2/catch.hpp>

#include "apps/samphiresail/entry/placement/placementsystem.hpp"
#include "apps/tests/catalogue/memorystore.hpp"
#include "components/store/storekeys.hpp"

namespace {

using namespace samphiresail;
using namespace samphiresail::entry;
using tests::MemoryStore;

constexpr std::int64_t kMemory = 100;

template<typename Wanted>
std::vector<Wanted> Pick(const PlacementActions& aActions)
{
  std::vector<Wanted> picked;
  for (const PlacementAction& action : aActions) {
    if (const auto* it = std::get_if<Wanted>(&action)) {
      picked.push_back(*it);
    }
  }
  return picked;
}

/// Two endpoints, one model with one keeper, one without room for a keeper's base.
struct Fixture
{
  Fixture()
  {
    auto configuration = std::make_shared<catalogue::Configuration>();
    catalogue::Catalogue& catalogue = configuration->mCatalogue;
    catalogue.mAvailabilityZones = { { .mName = ids::AvailabilityZoneId("z1"),
                                       .mLoadsAtOnce = 4 } };
    catalogue.mWeightStore = { .mLoadsPerSecond = 10, .mLoadsAtOnce = 4 };
    catalogue.mModels.push_back({ .mName = ids::ModelId("m"),
                                  .mPool = ids::PoolId("p"),
                                  .mMemory = units::Bytes(60) });
    auto snapshot = std::make_shared<ControlSnapshot>();
    snapshot->mConfiguration = configuration;
    for (const char* name : { "e1", "e2" }) {
      snapshot->mAgents.push_back({ .mEndpoint = ids::EndpointId(name),
                                    .mPool = ids::PoolId("p"),
                                    .mAddress = std::string(name) + ":1",
                                    .mIncarnation = units::Incarnation(1),
                                    .mAvailabilityZone = ids::AvailabilityZoneId("z1") });
    }
    mSnapshot = snapshot;
  }

  void Report(const std::string& aEndpoint, std::uint64_t aReserved, bool aHolds)
  {
    wire::LoadReport report;
    report.set_endpoint(aEndpoint);
    report.set_pool("p");
    report.set_availability_zone("z1");
    report.set_incarnation(1);
    report.set_memory_bytes(kMemory);
    report.set_memory_reserved_bytes(aReserved);
    if (aHolds) {
      wire::ModelState* model = report.add_models();
      model->set_name("m");
      model->set_resident(true);
    }
    mSystem.OnReport(report, mNow, mNow);
  }

  /// Ticks, runs the calls of the store and returns the other actions.
  PlacementActions Step(timing::Duration aStep, bool aIsPlanner = true)
  {
    mNow += aStep;
    mSystem.Tick(mSnapshot, aIsPlanner, mNow);
    PlacementActions actions = mSystem.Take();
    for (const PlacementStoreCall& call : Pick<PlacementStoreCall>(actions)) {
      mSystem.OnStoreReply(call.mId, mStore.Execute(call.mRequest, {}));
    }
    return actions;
  }

  placement::KeeperTable StoredKeepers()
  {
    const auto it = mStore.mRecords.find(store::kKeepersKey);
    return it == mStore.mRecords.end()
             ? placement::KeeperTable()
             : placement::DecodeKeepers(it->second.mValue)->mKeepers;
  }

  std::shared_ptr<const ControlSnapshot> mSnapshot;
  PlacementSystem mSystem{ "e-1" };
  MemoryStore mStore;
  timing::Instant mNow{ std::chrono::hours(1) };
};

constexpr std::chrono::milliseconds kTick{ 50 };
constexpr std::chrono::seconds kSecond{ 1 };

}

TEST_CASE_METHOD(Fixture, "planner writes keepers and then orders their loads")
{
  Report("e1", 0, false);
  Report("e2", 0, false);
  Step(kTick);
  Step(kTick);
  REQUIRE(StoredKeepers().size() == 1);
  const ids::EndpointId keeper = *StoredKeepers().begin()->second.begin();

  Step(kSecond);
  const auto asked = Pick<AskPermit>(Step(kTick));
  REQUIRE(asked.size() == 1);
  mSystem.OnPermit(asked.front().mId, { {}, std::chrono::milliseconds(200) }, mNow);
  CHECK(Pick<AskPermit>(Step(kTick)).empty());
  REQUIRE(Pick<AskPermit>(Step(std::chrono::milliseconds(200))).size() == 1);

  mSystem.OnPermit(asked.front().mId, { "permit-1", {} }, mNow);
  const auto orders = Pick<SendOrder>(mSystem.Take());
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().mAddress == keeper.Str() + ":1");
  CHECK(orders.front().mPlacement.model() == "m");
  CHECK(orders.front().mPlacement.memory_bytes() == 60);

  wire::PlacementReply reply;
  reply.set_order_id(orders.front().mPlacement.order_id());
  reply.set_accepted(true);
  mSystem.OnPlacementReply(reply, mNow);
  const auto given = Pick<GiveBackPermit>(mSystem.Take());
  REQUIRE(given.size() == 1);
  CHECK(given.front().mPermit == "permit-1");
}

TEST_CASE_METHOD(Fixture, "an entry that does not plan writes no keepers")
{
  Report("e1", 0, false);
  for (int i = 0; i < 5; ++i) {
    CHECK(Pick<PlacementStoreCall>(Step(kSecond, false)).empty());
  }
  CHECK(mStore.mRecords.empty());
}

TEST_CASE_METHOD(Fixture,
                 "reachable: a planner with an old keeper record overwrites nothing",
                 "[must-hold]")
{
  Report("e1", 0, false);
  Step(kTick);
  // Another planner writes after the read.
  placement::KeeperRecord other{ .mVersion = units::Version(1) };
  other.mKeepers[ids::ModelId("m")] = { ids::EndpointId("e2") };
  mStore.Execute(
    store::TransactionRequest{
      {},
      { store::PutOperation{ store::kKeepersKey, placement::EncodeKeepers(other) } } },
    {});
  const auto calls = Pick<PlacementStoreCall>(Step(kTick));
  CHECK(calls.size() == 1);
  CHECK(StoredKeepers() == other.mKeepers);
}

TEST_CASE_METHOD(Fixture, "a model that requests wait for is loaded where there is room")
{
  Report("e1", 80, false);
  Report("e2", 10, false);
  Step(kTick, false);
  mSystem.OnWanted({ ids::ModelId("m"), ids::ModelId("unknown") }, mNow);
  mSystem.OnWanted({ ids::ModelId("m") }, mNow);
  const auto asked = Pick<AskPermit>(mSystem.Take());
  REQUIRE(asked.size() == 1);
  mSystem.OnPermit(asked.front().mId, { "permit-1", {} }, mNow);
  const auto orders = Pick<SendOrder>(mSystem.Take());
  REQUIRE(orders.size() == 1);
  CHECK(orders.front().mAddress == "e2:1");

  // The agent has no room: the next request tries the other endpoint.
  wire::PlacementReply reply;
  reply.set_order_id(orders.front().mPlacement.order_id());
  mSystem.OnPlacementReply(reply, mNow);
  CHECK(Pick<GiveBackPermit>(mSystem.Take()).size() == 1);
  mSystem.OnWanted({ ids::ModelId("m") }, mNow);
  const auto again = Pick<AskPermit>(mSystem.Take());
  REQUIRE(again.size() == 1);
  mSystem.OnPermit(again.front().mId, { "permit-2", {} }, mNow);
  CHECK(Pick<SendOrder>(mSystem.Take()).front().mAddress == "e1:1");
}

TEST_CASE_METHOD(Fixture, "a model that is held is not loaded on demand")
{
  Report("e1", 0, true);
  Step(kTick, false);
  mSystem.OnWanted({ ids::ModelId("m") }, mNow);
  CHECK(mSystem.Take().empty());

  // The holder falls silent.
  Report("e2", 0, false);
  Step(std::chrono::seconds(15), false);
  Report("e2", 0, false);
  Step(std::chrono::seconds(15), false);
  mSystem.OnWanted({ ids::ModelId("m") }, mNow);
  CHECK(Pick<AskPermit>(mSystem.Take()).size() == 1);
}

TEST_CASE_METHOD(Fixture, "a permit that comes too late is given back")
{
  Report("e1", 0, false);
  Step(kTick, false);
  mSystem.OnWanted({ ids::ModelId("m") }, mNow);
  const auto asked = Pick<AskPermit>(mSystem.Take());
  REQUIRE(asked.size() == 1);
  Step(std::chrono::seconds(11), false);
  mSystem.OnPermit(asked.front().mId, { "permit-1", {} }, mNow);
  const PlacementActions actions = mSystem.Take();
  CHECK(Pick<SendOrder>(actions).empty());
  CHECK(Pick<GiveBackPermit>(actions).size() == 1);
}
