#include <benchmark/benchmark.h>

#include <string>

#include "components/gateway/fleetplanner.hpp"

namespace {

using namespace samphiresail;

constexpr int kModelsAnEngine = 3;
constexpr std::size_t kLoads = 8;

ids::ModelId ModelName(int aNumber)
{
  return ids::ModelId("model-" + std::to_string(aNumber));
}

/// One round over as many models and adapters as the deployments have by engine, with the
/// memory of all engines in use.
void PlanFleet(benchmark::State& aState)
{
  const auto engines = static_cast<int>(aState.range(0));
  const int models = engines * 2;
  gateway::EngineSpec spec;
  spec.mMemoryMb = 230;
  spec.mAdapterSlots = 8;
  for (int i = 0; i < models; ++i) {
    gateway::ModelSpec& model = spec.mModels.emplace_back();
    model.mName = ModelName(i);
    model.mMemoryMb = 70;
    model.mAdapters = i % 2 == 0 ? 5 : 0;
  }
  std::vector<gateway::EngineView> views(static_cast<std::size_t>(engines));
  for (int i = 0; i < engines; ++i) {
    gateway::EngineView& view = views[static_cast<std::size_t>(i)];
    view.mId = ids::EndpointId("endpoint-" + std::to_string(i));
    view.mZone = ids::AvailabilityZoneId("zone-" + std::to_string(i % 3));
    for (int n = 0; n < kModelsAnEngine; ++n) {
      view.mModels[ModelName((i * kModelsAnEngine + n) % models)];
    }
  }
  const gateway::DemandLookup demand = [](const ids::ModelId& aModel,
                                          const std::string&) {
    return aModel.Str().size() < std::string("model-00").size() + 1 ? 2.0 : 0.0;
  };
  const gateway::FleetPlanner planner;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(planner.Plan(spec, views, demand, kLoads));
  }
}

BENCHMARK(PlanFleet)->Arg(12)->Arg(43)->Arg(120)->Unit(benchmark::kMicrosecond);

}
