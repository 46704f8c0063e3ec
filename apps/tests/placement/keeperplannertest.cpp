#include <catch2/catch.hpp>

#include "apps/tests/placement/placementfixture.hpp"
#include "components/placement/demandplanner.hpp"
#include "components/placement/staticplanner.hpp"

namespace {

using namespace samphiresail;
using placement::KeeperTable;
using placement::PlacementPlan;
using tests::AddEndpoint;
using tests::AddModel;

struct Fixture
{
  Fixture()
  {
    tests::AddZones(mCatalogue, 2);
    AddEndpoint(mView, "a1", "z1", 100);
    AddEndpoint(mView, "a2", "z1", 100);
    AddEndpoint(mView, "b1", "z2", 100);
    AddEndpoint(mView, "c1", "z3", 100);
    mView.mFreeLoads = 100;
  }

  PlacementPlan Plan()
  {
    mView.SetCatalogue(mCatalogue);
    mNow += std::chrono::milliseconds(1);
    return mPlanner.Plan(mView, mNow);
  }

  /// Plans, gives every endpoint a newer report, and plans again.
  PlacementPlan PlanWithReports()
  {
    Plan();
    mNow += std::chrono::milliseconds(1);
    for (auto& [name, row] : mView.mEndpoints) {
      row.mReportRequestedAt = mNow;
    }
    return Plan();
  }

  /// Plans, stores the planned keepers and makes their models resident.
  void Settle()
  {
    mView.mKeepers = Plan().mKeepers;
    for (const auto& [model, endpoints] : mView.mKeepers) {
      for (const ids::EndpointId& endpoint : endpoints) {
        mView.mEndpoints.at(endpoint).mResident.insert(model);
      }
    }
  }

  const std::set<ids::EndpointId>& KeepersOf(const std::string& aModel) const
  {
    return mView.mKeepers.at(ids::ModelId(aModel));
  }

  catalogue::Catalogue mCatalogue;
  placement::PlacementView mView;
  placement::DemandPlanner mPlanner;
  timing::Instant mNow{ std::chrono::hours(1) };
};

const ids::EndpointId kA1("a1");
const ids::EndpointId kA2("a2");
const ids::EndpointId kB1("b1");
const ids::EndpointId kC1("c1");

}

TEST_CASE_METHOD(Fixture, "keepers are spread over availability zones")
{
  AddModel(mCatalogue, "m", 50, 3);
  Settle();
  CHECK(KeepersOf("m").contains(kB1));
  CHECK(KeepersOf("m").contains(kC1));
  CHECK(KeepersOf("m").size() == 3);
  const PlacementPlan again = Plan();
  CHECK(again.mKeepers == mView.mKeepers);
  CHECK(again.mLoads.empty());
}

TEST_CASE_METHOD(Fixture, "every model gets one keeper before any gets a second")
{
  for (int i = 0; i < 4; ++i) {
    AddModel(mCatalogue, "m" + std::to_string(i), 100, 2);
  }
  Settle();
  CHECK(mView.mKeepers.size() == 4);
  CHECK(KeepersOf("m0").size() == 1);
}

TEST_CASE_METHOD(
  Fixture,
  "a second keeper is removed to free memory for the first one of a new model")
{
  AddModel(mCatalogue, "m", 80, 4);
  Settle();
  REQUIRE(KeepersOf("m").size() == 4);
  AddModel(mCatalogue, "n", 80, 1);
  CHECK(Plan().mUnplaced.size() == 1);
  const PlacementPlan plan = PlanWithReports();
  CHECK(plan.mKeepers.at(ids::ModelId("m")).size() == 3);
  CHECK(plan.mKeepers.at(ids::ModelId("n")).size() == 1);
  CHECK(plan.mUnplaced.empty());
}

TEST_CASE_METHOD(Fixture, "kept models and the bases of kept adapters fit the memory")
{
  AddModel(mCatalogue, "base", 60, 1);
  AddModel(mCatalogue, "adapter", 30, 4, "base");
  AddModel(mCatalogue, "large", 90, 1);
  Settle();
  const auto& adapters = KeepersOf("adapter");
  const ids::EndpointId large = *KeepersOf("large").begin();
  CHECK(adapters.size() == 3);
  CHECK_FALSE(adapters.contains(large));
  CHECK(adapters.contains(*KeepersOf("base").begin()));
}

TEST_CASE_METHOD(Fixture, "a model that fits no endpoint is reported as unplaced")
{
  AddModel(mCatalogue, "m", 101, 1);
  CHECK(Plan().mUnplaced == std::vector{ ids::ModelId("m") });
}

TEST_CASE_METHOD(Fixture, "a keeper in a zone that is out stays until it is replaced")
{
  AddModel(mCatalogue, "m", 50, 1);
  Settle();
  const ids::EndpointId old = *KeepersOf("m").begin();
  mView.mEndpoints.at(old).mServing = false;
  const PlacementPlan plan = Plan();
  const std::set<ids::EndpointId> both = plan.mKeepers.at(ids::ModelId("m"));
  CHECK(both.size() == 2);
  CHECK(both.contains(old));

  mView.mKeepers = plan.mKeepers;
  CHECK(Plan().mLoads.size() == 1);
  for (const ids::EndpointId& endpoint : both) {
    mView.mEndpoints.at(endpoint).mResident.insert(ids::ModelId("m"));
  }
  CHECK(Plan().mKeepers == plan.mKeepers);
  const PlacementPlan after = PlanWithReports();
  CHECK(after.mKeepers.at(ids::ModelId("m")).size() == 1);
  CHECK_FALSE(after.mKeepers.at(ids::ModelId("m")).contains(old));

  // The availability zone is back: keepers are not moved again.
  mView.mKeepers = after.mKeepers;
  mView.mEndpoints.at(old).mServing = true;
  CHECK(Plan().mKeepers == after.mKeepers);
  CHECK(Plan().mLoads.empty());
}

TEST_CASE_METHOD(Fixture, "a missing keeper is replaced after a grace period")
{
  AddModel(mCatalogue, "m", 50, 2);
  Settle();
  const KeeperTable before = mView.mKeepers;
  mView.mEndpoints.erase(*KeepersOf("m").begin());
  CHECK(Plan().mKeepers == before);
  mNow += std::chrono::seconds(14);
  CHECK(Plan().mKeepers == before);
  mNow += std::chrono::seconds(2);
  CHECK(Plan().mKeepers.at(ids::ModelId("m")).size() == 3);
}

TEST_CASE_METHOD(Fixture, "the last keeper is replaced at once when it is missing")
{
  AddModel(mCatalogue, "m", 50, 1);
  Settle();
  mView.mEndpoints.erase(*KeepersOf("m").begin());
  CHECK(Plan().mKeepers.at(ids::ModelId("m")).size() == 2);
}

TEST_CASE_METHOD(Fixture,
                 "loads stay within the permits and the limits of availability zones")
{
  AddModel(mCatalogue, "m", 10, 4);
  AddModel(mCatalogue, "n", 10, 4);
  AddModel(mCatalogue, "o", 10, 4, "n");
  mView.SetCatalogue(mCatalogue);
  mView.mKeepers = Plan().mKeepers;
  const PlacementPlan plan = Plan();
  const auto inZone = [&](const std::string& aZone) {
    return std::ranges::count_if(plan.mLoads, [&](const placement::LoadOrder& aOrder) {
      return mView.mEndpoints.at(aOrder.mEndpoint).mAvailabilityZone ==
             ids::AvailabilityZoneId(aZone);
    });
  };
  CHECK(inZone("z1") == 2);
  CHECK(inZone("z2") == 2);
  CHECK(std::ranges::none_of(plan.mLoads, [](const placement::LoadOrder& aOrder) {
    return aOrder.mModel == ids::ModelId("o");
  }));
  mView.mFreeLoads = 3;
  CHECK(Plan().mLoads.size() == 3);
}

TEST_CASE_METHOD(Fixture, "static planner assigns keepers regardless of demand")
{
  AddModel(mCatalogue, "m", 50, 2);
  mView.SetCatalogue(mCatalogue);
  placement::StaticPlanner planner;
  const PlacementPlan plan = planner.Plan(mView, mNow);
  CHECK(plan.mKeepers.at(ids::ModelId("m")).size() == 2);
  mView.mDemand[ids::ModelId("m")] = 1000;
  CHECK(planner.Plan(mView, mNow).mKeepers == plan.mKeepers);
}

TEST_CASE_METHOD(Fixture,
                 "reachable: a copy that may be evicted meanwhile replaces no keeper",
                 "[must-hold]")
{
  AddModel(mCatalogue, "m", 50, 1);
  mView.mKeepers[ids::ModelId("m")] = { kA1 };
  mView.mEndpoints.at(kA1).mResident = { ids::ModelId("m") };
  // A replica at an endpoint that is not a keeper: its agent may evict it until it
  // receives the new keeper record.
  mView.mEndpoints.at(kB1).mResident = { ids::ModelId("m") };
  PlanWithReports();

  mView.mEndpoints.at(kA1).mServing = false;
  const std::set<ids::EndpointId> both{ kA1, kB1 };
  mView.mKeepers = Plan().mKeepers;
  CHECK(mView.mKeepers.at(ids::ModelId("m")) == both);
  CHECK(Plan().mKeepers.at(ids::ModelId("m")) == both);
  CHECK(PlanWithReports().mKeepers.at(ids::ModelId("m")) == std::set{ kB1 });
}
