#include <benchmark/benchmark.h>

#include <chrono>
#include <random>
#include <string>

#include "components/routing/baselinerouters.hpp"
#include "components/routing/poweroftworouter.hpp"

namespace {

using namespace samphiresail;
using namespace std::chrono_literals;

constexpr int kEndpoints = 600;
constexpr int kModels = 540;
constexpr int kModelsAnEndpoint = 8;
const timing::Instant kNow{ 1h };

ids::ModelId ModelName(int aNumber)
{
  return ids::ModelId("model-" + std::to_string(aNumber));
}

/// Each endpoint holds eight models, so that each model has about nine holders, and model
/// 0 is everywhere.
void Fill(routing::EndpointTable& aTable)
{
  std::mt19937_64 generator(11);
  for (int it = 0; it < kEndpoints; ++it) {
    const ids::EndpointId name("endpoint-" + std::to_string(it));
    const ids::AvailabilityZoneId zone("zone-" + std::to_string(it % 5));
    aTable.Put({ name, ids::PoolId("pool"), zone, "127.0.0.1:1", {} });
    aTable.ReportLoad(
      name,
      { .mInFlight = static_cast<std::uint32_t>(generator() % 40), .mInFlightLimit = 50 },
      kNow);
    std::vector<routing::ModelPresence> models{ { ModelName(0), true, 0 } };
    for (int n = 0; n < kModelsAnEndpoint; ++n) {
      models.push_back({ ModelName((it * kModelsAnEndpoint + n) % kModels), true, 3 });
    }
    aTable.ReportModels(name, models, kNow);
  }
}

routing::RouteRequest Request(int aModel, std::uint64_t aPrefix)
{
  return { .mRequirement = { .mModel = ModelName(aModel),
                             .mPool = ids::PoolId("pool"),
                             .mNearZone = ids::AvailabilityZoneId("zone-1") },
           .mKnee = 50,
           .mPrefix = aPrefix };
}

template<typename R>
void Route(benchmark::State& aState, int aModels, bool aPrefix)
{
  routing::EndpointTable table;
  Fill(table);
  R router;
  std::mt19937_64 generator(3);
  std::vector<routing::RouteRequest> requests;
  for (int it = 0; it < 256; ++it) {
    const auto model = static_cast<int>(generator() % static_cast<unsigned>(aModels));
    requests.push_back(Request(model, aPrefix ? generator() | 1U : 0));
  }
  std::size_t next = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      router.Choose(table, requests[next++ % requests.size()], kNow, generator));
  }
}

void RouteAmong600Endpoints(benchmark::State& aState)
{
  Route<routing::PowerOfTwoRouter>(aState, kModels, aState.range(0) != 0);
}

void RouteModelHeldByAll(benchmark::State& aState)
{
  Route<routing::PowerOfTwoRouter>(aState, 1, aState.range(0) != 0);
}

void RouteRoundRobinBaseline(benchmark::State& aState)
{
  Route<routing::RoundRobinRouter>(aState, kModels, false);
}

void ReportLoadAndModels(benchmark::State& aState)
{
  routing::EndpointTable table;
  Fill(table);
  std::vector<routing::ModelPresence> models;
  models.reserve(kModelsAnEndpoint);
  for (int n = 0; n < kModelsAnEndpoint; ++n) {
    models.push_back({ ModelName(n), true, 3 });
  }
  const ids::EndpointId name("endpoint-7");
  for (auto _ : aState) {
    table.ReportLoad(name, { .mInFlight = 3, .mInFlightLimit = 50 }, kNow);
    table.ReportModels(name, models, kNow);
  }
}

BENCHMARK(RouteAmong600Endpoints)->ArgName("prefix")->Arg(0)->Arg(1);
BENCHMARK(RouteModelHeldByAll)->ArgName("prefix")->Arg(0)->Arg(1);
BENCHMARK(RouteRoundRobinBaseline);
BENCHMARK(ReportLoadAndModels);

}
