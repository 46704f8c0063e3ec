#include <catch2/catch.hpp>

#include "apps/tests/entry/faultplan.hpp"
#include "apps/tests/entry/traffic.hpp"
#include "apps/tests/support/seeds.hpp"

namespace {

using namespace samphiresail;
using namespace samphiresail::tests;
using namespace std::chrono_literals;

constexpr std::size_t kSeeds = 60;

void MoveBalancer(Fleet& aFleet, Traffic& aTraffic)
{
  if (std::uniform_int_distribution<int>(0, 399)(aFleet.Random()) != 0) {
    return;
  }
  std::vector<double> weights(aFleet.Nodes().size());
  std::ranges::generate(weights, [&] {
    return std::uniform_int_distribution<int>(0, 3)(aFleet.Random()) == 0 ? 1.0 : 0.01;
  });
  aTraffic.SetWeights(weights);
}

/// Runs a minute of load and returns the share of requests that were refused although one
/// bucket that sees all entries would have admitted as many.
double WronglyRefused(std::uint64_t aSeed,
                      double aLoad,
                      double aBurst,
                      const std::vector<double>& aWeights)
{
  Fleet fleet(aSeed);
  fleet.Change([&](catalogue::Configuration& aConfiguration) {
    aConfiguration.mCatalogue.mClientAccounts.at(0).mBurst =
      units::Tokens(static_cast<std::int64_t>(aBurst));
  });
  fleet.Run(8s);
  Traffic traffic(fleet, aLoad, aBurst);
  traffic.SetWeights(aWeights);
  fleet.Run(60s, [&] { traffic.Step(); });
  CHECK(traffic.WorstExcess() <= 0.0);
  const double refused =
    static_cast<double>(traffic.Refused()) - static_cast<double>(traffic.IdealRefused());
  return refused / static_cast<double>(traffic.Offered());
}

}

TEST_CASE("rate: no window exceeds burst and rate across all entries, under faults",
          "[must-hold]")
{
  for (const std::uint64_t seed : Seeds(kSeeds)) {
    INFO("SAMPHIRESAIL_SEED=" << seed);
    Fleet fleet(seed, 3 + seed % 2);
    FaultPlan faults(fleet);
    Traffic traffic(fleet, 3.0);
    if (seed % 2 == 0) {
      traffic.UseAll();
    }
    fleet.Run(60s, [&] {
      faults.Step();
      MoveBalancer(fleet, traffic);
      traffic.Step();
    });
    faults.End();
    fleet.Run(10s, [&] { traffic.Step(); });
    CHECK(traffic.WorstExcess() <= 0.0);
  }
}

TEST_CASE("rate: a stopped holder hands over and no window exceeds the limit",
          "[must-hold]")
{
  for (const std::uint64_t seed : Seeds(kSeeds / 4)) {
    INFO("SAMPHIRESAIL_SEED=" << seed);
    Fleet fleet(seed);
    Traffic traffic(fleet, 3.0);
    fleet.Run(10s, [&] { traffic.Step(); });
    const std::size_t stopped = seed % 3;
    fleet.Apply(stopped, fleet.Nodes()[stopped].mCore->BeginStop(fleet.Now()));
    fleet.Run(5s, [&] { traffic.Step(); });
    CHECK(fleet.Nodes()[stopped].mHandOverDone);
    fleet.Apply(stopped, fleet.Nodes()[stopped].mCore->Leave(fleet.Now()));
    fleet.Run(10s, [&] { traffic.Step(); });
    CHECK(fleet.Nodes()[stopped].mLeaveDone);
    fleet.Kill(stopped);
    fleet.Run(15s, [&] { traffic.Step(); });
    CHECK(traffic.WorstExcess() <= 0.0);
    const std::size_t other = (stopped + 1) % 3;
    CHECK(fleet.Nodes()[other].mCore->State().mRoster.mMembers.size() == 2);
  }
}

TEST_CASE("rate: a holder that is not in touch grants nothing", "[must-hold]")
{
  Fleet fleet(1);
  fleet.Run(8s);
  const auto ask = [&](std::uint64_t aNonce) {
    wire::Envelope envelope;
    envelope.set_sender("asker");
    envelope.mutable_credit_request()->set_nonce(aNonce);
    envelope.mutable_credit_request()->set_client_account("north");
    envelope.mutable_credit_request()->set_tokens(1);
    const auto actions = fleet.Nodes()[0].mCore->OnPeer("asker", envelope, fleet.Now());
    return std::get<entry::ReplyToPeer>(actions.front())
      .mEnvelope.credit_grant()
      .tokens();
  };
  CHECK(ask(1) == 1);
  fleet.Isolate(0);
  fleet.CutStore(0, true);
  fleet.Run(Fleet::kInTouch);
  CHECK(ask(2) == 0);
}

TEST_CASE("an account inside its rate is hardly ever refused at an uneven balancer")
{
  double refused = 0.0;
  const auto seeds = Seeds(10);
  for (const std::uint64_t seed : seeds) {
    refused += WronglyRefused(seed, 0.9, 18000.0, { 1.0, 1.0, 1.0 });
    refused += WronglyRefused(seed, 0.9, 18000.0, { 1.0, 0.0, 0.0 });
    refused += WronglyRefused(seed, 0.5, 9000.0, { 1.0, 0.0, 0.0 });
  }
  CHECK(refused / static_cast<double>(3 * seeds.size()) < 0.001);
}

TEST_CASE("an account that offers three times its rate gets most of its rate")
{
  Fleet fleet(1);
  fleet.Run(8s);
  Traffic traffic(fleet, 3.0);
  fleet.Run(60s, [&] { traffic.Step(); });
  CHECK(traffic.WorstExcess() <= 0.0);
  const double admitted = static_cast<double>(traffic.Offered() - traffic.Refused()) /
                          static_cast<double>(traffic.Offered()) * 3.0;
  CHECK(admitted > 0.8);
}
