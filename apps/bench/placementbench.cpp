#include <string>

#include <benchmark/benchmark.h>

#include "components/placement/demandplanner.hpp"

namespace {

using namespace samphiresail;

constexpr std::int64_t kGib = std::int64_t{ 1 } << 30;
constexpr int kZones = 5;

/// Fleet in which every model has its keepers; the second argument of the benchmark is
/// the number of models.
struct SettledFleet
{
  SettledFleet(std::int64_t aEndpoints, std::int64_t aModels)
  {
    for (int i = 0; i < kZones; ++i) {
      mCatalogue.mAvailabilityZones.push_back(
        { .mName = ids::AvailabilityZoneId("z" + std::to_string(i)), .mLoadsAtOnce = 4 });
    }
    for (std::int64_t i = 0; i < aModels; ++i) {
      mCatalogue.mModels.push_back({ .mName = ids::ModelId("m" + std::to_string(i)),
                                     .mPool = ids::PoolId("p"),
                                     .mMemory = units::Bytes(10 * kGib),
                                     .mKeepers = 3 });
    }
    mView.SetCatalogue(mCatalogue);
    for (std::int64_t i = 0; i < aEndpoints; ++i) {
      const ids::EndpointId name("e" + std::to_string(i));
      mView.mEndpoints[name] = { .mName = name,
                                 .mPool = ids::PoolId("p"),
                                 .mAvailabilityZone = ids::AvailabilityZoneId(
                                   "z" + std::to_string(i % kZones)),
                                 .mMemory = units::Bytes(80 * kGib),
                                 .mInFlightLimit = 64 };
    }
    mView.mFreeLoads = 4;
  }

  void Settle()
  {
    mView.mKeepers = mPlanner.Plan(mView, mNow).mKeepers;
    for (const auto& [model, endpoints] : mView.mKeepers) {
      mView.mDemand[model] = 1.0;
      for (const ids::EndpointId& endpoint : endpoints) {
        mView.mEndpoints.at(endpoint).mResident.insert(model);
      }
    }
  }

  catalogue::Catalogue mCatalogue;
  placement::PlacementView mView;
  placement::DemandPlanner mPlanner;
  timing::Instant mNow{ std::chrono::hours(1) };
};

void PlanSettledFleet(benchmark::State& aState)
{
  SettledFleet fleet(aState.range(0), aState.range(1));
  fleet.Settle();
  for (auto _ : aState) {
    benchmark::DoNotOptimize(fleet.mPlanner.Plan(fleet.mView, fleet.mNow));
  }
}

void PlanEmptyFleet(benchmark::State& aState)
{
  for (auto _ : aState) {
    SettledFleet fleet(aState.range(0), aState.range(1));
    benchmark::DoNotOptimize(fleet.mPlanner.Plan(fleet.mView, fleet.mNow));
  }
}

BENCHMARK(PlanSettledFleet)
  ->Args({ 15, 60 })
  ->Args({ 200, 100 })
  ->Args({ 600, 540 })
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(PlanEmptyFleet)
  ->Args({ 15, 60 })
  ->Args({ 200, 100 })
  ->Args({ 600, 540 })
  ->Unit(benchmark::kMillisecond);

}
