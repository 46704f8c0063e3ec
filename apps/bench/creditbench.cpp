#include <benchmark/benchmark.h>

#include <chrono>
#include <string>

#include "components/limits/creditpool.hpp"

namespace {

using namespace samphiresail;
using namespace std::chrono_literals;

const timing::Instant kNow{ 1h };

limits::GrantOrigin Origin(std::uint64_t aNonce)
{
  limits::GrantOrigin origin;
  origin.mHolder = ids::ProcessId("holder");
  origin.mNonce = aNonce;
  return origin;
}

void SpendCredit(benchmark::State& aState)
{
  limits::CreditPool pool;
  const ids::ClientAccountId account("account");
  for (std::int64_t it = 0; it < aState.range(0); ++it) {
    pool.AddGrant(account,
                  Origin(static_cast<std::uint64_t>(it)),
                  units::Tokens(1'000'000'000'000),
                  kNow + 1h);
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(pool.TryCharge(account, units::Tokens(1), kNow));
  }
}

BENCHMARK(SpendCredit)->ArgName("grants")->Arg(1)->Arg(5);

}
