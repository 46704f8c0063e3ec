#include <benchmark/benchmark.h>

#include <string>

#include "components/gateway/requestidentity.hpp"
#include "components/gateway/requestquarantine.hpp"

namespace {

using namespace samphiresail;
using namespace std::chrono_literals;

gateway::RequestMetadata Request()
{
  gateway::RequestMetadata request;
  request.mHost = "h.example";
  request.mModel = ids::ModelId("model");
  request.mPromptParts = { { 1, 100 }, { 2, 200 }, { 3, 300 } };
  return request;
}

/// Digest of a request whose body has the given number of bytes.
void RequestDigest(benchmark::State& aState)
{
  const gateway::RequestMetadata request = Request();
  const std::string body(static_cast<std::size_t>(aState.range(0)), 'x');
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      gateway::RequestIdentity({ "POST", "/generate", body }, request));
  }
}

/// What the quarantine does for a request that is answered, without an identity (0) or
/// with a new one each time (1), after the given number of engines ended.
void QuarantineOfAnswered(benchmark::State& aState)
{
  gateway::RequestQuarantine quarantine(1);
  timing::Instant now{ 1h };
  gateway::RequestMetadata request = Request();
  for (std::uint64_t engine = 1; engine <= static_cast<std::uint64_t>(aState.range(1));
       ++engine) {
    for (std::uint64_t k = 0; k < 40; ++k) {
      request.mIdentity = 1000000 + engine * 100 + k;
      request.mPromptParts[2].mId = request.mIdentity + 1000000;
      quarantine.OnBroken(engine, request, now);
    }
    quarantine.OnConnectionRefused(engine, now);
    now += 3s;
    quarantine.Tick(now);
  }
  request = Request();
  std::uint64_t number = 0;
  for (auto _ : aState) {
    ++number;
    request.mIdentity = aState.range(0) == 0 ? 0 : number;
    benchmark::DoNotOptimize(quarantine.BlockOf(request, now));
    benchmark::DoNotOptimize(quarantine.EndsUnder(request.mIdentity, now));
    quarantine.OnSound(request, now);
    if (number % 100 == 0) {
      now += 40ms;
      quarantine.Tick(now);
    }
  }
}

BENCHMARK(RequestDigest)->Arg(0)->Arg(600)->Arg(16384);
BENCHMARK(QuarantineOfAnswered)
  ->Args({ 0, 0 })
  ->Args({ 1, 0 })
  ->Args({ 0, 40 })
  ->Args({ 1, 40 });

}
