#include <catch2/catch.hpp>

#include "apps/tests/placement/fleetharness.hpp"

using namespace samphiresail;

TEST_CASE(
  "reachable: every model is held again after faults and no last replica is evicted",
  "[must-hold]")
{
  constexpr std::uint32_t kSeeds = 100;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    tests::FleetHarness fleet(seed);
    fleet.RunWithFaults(150);
    fleet.Recover(60);
    CAPTURE(fleet.Violations());
    REQUIRE(fleet.Violations().empty());
    REQUIRE(fleet.Unreachable().empty());

    // Without faults no further loads are started.
    const int loads = fleet.Loads();
    fleet.Recover(30);
    REQUIRE(fleet.Loads() == loads);
  }
}
