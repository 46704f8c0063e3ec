#include <catch2/catch.hpp>

#include "apps/tests/placement/placementfixture.hpp"
#include "components/placement/replicaplanner.hpp"

namespace {

using namespace samphiresail;
using placement::ReplicaPlanner;

const ids::ModelId kModel("m");
constexpr std::int64_t kGib = 1LL << 30;

struct Fixture
{
  Fixture()
  {
    tests::AddModel(mCatalogue, "m", 10 * kGib, 1);
    mView.SetCatalogue(mCatalogue);
    tests::AddEndpoint(mView, "a1", "z1", 40 * kGib).mResident = { kModel };
    tests::AddEndpoint(mView, "b1", "z2", 40 * kGib);
    mView.mKeepers[kModel] = { ids::EndpointId("a1") };
  }

  std::optional<placement::LoadOrder> ChooseAfter(std::chrono::seconds aStep)
  {
    mNow += aStep;
    return mPlanner.Choose(mView, mNow);
  }

  catalogue::Catalogue mCatalogue;
  placement::PlacementView mView;
  ReplicaPlanner mPlanner;
  timing::Instant mNow{ std::chrono::hours(1) };
};

}

TEST_CASE_METHOD(Fixture, "a replica is added only if an overload persists")
{
  mView.mDemand[kModel] = 9;
  CHECK_FALSE(ChooseAfter(std::chrono::seconds(0)));
  mView.mDemand[kModel] = 1;
  CHECK_FALSE(ChooseAfter(std::chrono::seconds(4)));
  mView.mDemand[kModel] = 9;
  CHECK_FALSE(ChooseAfter(std::chrono::seconds(4)));
  CHECK_FALSE(ChooseAfter(std::chrono::seconds(4)));
  const auto order = ChooseAfter(std::chrono::seconds(1));
  REQUIRE(order);
  CHECK(order->mEndpoint == ids::EndpointId("b1"));
  CHECK_FALSE(ChooseAfter(std::chrono::seconds(1)));
}

TEST_CASE_METHOD(Fixture, "a replica whose benefit is below its load cost is not added")
{
  mView.mDemand[kModel] = 9;
  // The only other endpoint is as utilised: a replica there would not lower the maximum.
  tests::AddModel(mCatalogue, "n", kGib, 1);
  mView.SetCatalogue(mCatalogue);
  mView.mEndpoints.at(ids::EndpointId("b1")).mResident = { ids::ModelId("n") };
  mView.mDemand[ids::ModelId("n")] = 8.9;
  ChooseAfter(std::chrono::seconds(0));
  CHECK_FALSE(ChooseAfter(std::chrono::seconds(10)));
}

TEST_CASE_METHOD(Fixture, "a replica is added only where it fits besides the kept models")
{
  mView.mDemand[kModel] = 9;
  mView.mEndpoints.at(ids::EndpointId("b1")).mMemory = units::Bytes(5 * kGib);
  ChooseAfter(std::chrono::seconds(0));
  CHECK_FALSE(ChooseAfter(std::chrono::seconds(10)));
}
