#include <catch2/catch.hpp>

#include "apps/tests/entry/acceptance.hpp"
#include "apps/tests/entry/faultplan.hpp"
#include "apps/tests/support/seeds.hpp"
#include "components/store/storekeys.hpp"

namespace {

using namespace samphiresail;
using namespace samphiresail::tests;
using namespace std::chrono_literals;

constexpr std::size_t kSeeds = 60;
constexpr timing::Duration kConfigurationBound = 7s;
constexpr timing::Duration kKeyBound = 5s;

void RaceOperators(Fleet& aFleet)
{
  if (std::uniform_int_distribution<int>(0, 199)(aFleet.Random()) == 0) {
    const auto touch = [](catalogue::Configuration& aConfiguration) {
      aConfiguration.mCatalogue.mWeightStore.mLoadsAtOnce ^= 1U;
    };
    aFleet.Change([&](catalogue::Configuration& aConfiguration) {
      // Another operator is quicker.
      aFleet.Change(touch);
      touch(aConfiguration);
    });
  }
}

}

TEST_CASE("configuration: a fleet without faults serves the accepted configuration",
          "[must-hold]")
{
  Fleet fleet(1);
  fleet.Run(8s);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(fleet.Serves(i));
    CHECK(fleet.Nodes()[i].mCore->State().mRoster.mMembers.size() == 3);
    CHECK(fleet.Nodes()[i].mCore->State().mRoster.mAccepted);
  }
  REQUIRE(fleet.Change([](catalogue::Configuration&) {}));
  fleet.Run(kConfigurationBound);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(fleet.Nodes()[i].mSnapshot->mVersions.mConfiguration == units::Version(2));
  }
}

TEST_CASE("configuration: an accepted version holds wherever an entry serves and never "
          "reverts, under faults",
          "[must-hold]")
{
  for (const std::uint64_t seed : Seeds(kSeeds)) {
    INFO("SAMPHIRESAIL_SEED=" << seed);
    Fleet fleet(seed, 3 + seed % 3);
    FaultPlan faults(fleet);
    Acceptance observer(fleet);
    const auto observe = [&] { observer.Observe(); };
    fleet.Run(40s, [&] {
      faults.Step();
      RaceOperators(fleet);
      observe();
    });
    faults.End();
    fleet.Run(25s, observe);
    REQUIRE(fleet.Change([](catalogue::Configuration&) {}));
    fleet.Run(kConfigurationBound, observe);

    for (const std::string& violation : observer.Violations()) {
      FAIL_CHECK(violation);
    }
    const units::Version stored = fleet.StoredConfiguration().mVersion;
    CHECK(observer.AcceptedBefore(fleet.Now()) == stored);
    for (std::size_t i = 0; i < fleet.Nodes().size(); ++i) {
      INFO("entry " << i);
      CHECK(fleet.Serves(i));
      CHECK(fleet.Nodes()[i].mSnapshot->mVersions.mConfiguration == stored);
      CHECK(fleet.Nodes()[i].mCore->State().mRoster.mMembers.size() ==
            fleet.Nodes().size());
    }
  }
}

TEST_CASE("configuration: an outage of the store stops nobody who sees a majority",
          "[must-hold]")
{
  Fleet fleet(1);
  fleet.Run(8s);
  fleet.Store().SetDown(true);
  fleet.Run(60s, [&] {
    for (std::size_t i = 0; i < 3; ++i) {
      REQUIRE(fleet.Serves(i));
    }
  });
  fleet.Isolate(0);
  fleet.Run(Fleet::kInTouch);
  CHECK_FALSE(fleet.Serves(0));
  CHECK(fleet.Serves(1));
  CHECK(fleet.Serves(2));
}

TEST_CASE("configuration: a new entry without store and majority does not serve",
          "[must-hold]")
{
  Fleet fleet(1);
  fleet.Run(8s);
  fleet.Store().SetDown(true);
  fleet.Kill(0);
  fleet.Start(0);
  fleet.Run(10s, [&] { REQUIRE_FALSE(fleet.Serves(0)); });
  fleet.Store().SetDown(false);
  fleet.Run(5s);
  CHECK(fleet.Serves(0));
}

TEST_CASE("keys: a withdrawn key serves nowhere after its bound, under faults",
          "[must-hold]")
{
  for (const std::uint64_t seed : Seeds(kSeeds)) {
    INFO("SAMPHIRESAIL_SEED=" << seed);
    Fleet fleet(seed);
    FaultPlan faults(fleet);
    Acceptance observer(fleet);
    units::Version withdrawn;
    const auto check = [&] {
      observer.Observe();
      const bool over = withdrawn.Count() > 0 &&
                        observer.AcceptedBefore(fleet.Now() - kKeyBound) >= withdrawn;
      for (std::size_t i = 0; over && i < fleet.Nodes().size(); ++i) {
        REQUIRE_FALSE(fleet.ServesKey(i, "key"));
      }
    };
    fleet.Run(30s, [&] {
      faults.Step();
      if (withdrawn.Count() == 0 && fleet.Nodes()[0].mSnapshot &&
          fleet.Change([](catalogue::Configuration& aConfiguration) {
            aConfiguration.mKeys.clear();
          })) {
        withdrawn = fleet.StoredConfiguration().mVersion;
      }
      check();
    });
    faults.End();
    fleet.Run(25s, check);
    for (std::size_t i = 0; i < fleet.Nodes().size(); ++i) {
      CHECK(fleet.Serves(i));
      CHECK_FALSE(fleet.ServesKey(i, "key"));
    }
  }
}

TEST_CASE("keys: an entry that is cut off or was paused stops serving a withdrawn key",
          "[must-hold]")
{
  for (const bool paused : { false, true }) {
    Fleet fleet(1);
    fleet.Run(8s);
    REQUIRE(fleet.ServesKey(0, "key"));
    if (paused) {
      fleet.Freeze(0, true);
    } else {
      fleet.Isolate(0);
      fleet.CutStore(0, true);
    }
    REQUIRE(fleet.Change(
      [](catalogue::Configuration& aConfiguration) { aConfiguration.mKeys.clear(); }));
    fleet.Run(kKeyBound);
    CHECK_FALSE(fleet.ServesKey(1, "key"));
    fleet.Freeze(0, false);
    CHECK_FALSE(fleet.Serves(0));
    fleet.MendAll();
    fleet.Run(3s, [&] { REQUIRE_FALSE(fleet.ServesKey(0, "key")); });
    CHECK(fleet.Serves(0));
  }
}

TEST_CASE("zone: an entry routes nothing to an availability zone that was taken out",
          "[must-hold]")
{
  for (const std::uint64_t seed : Seeds(kSeeds / 2)) {
    INFO("SAMPHIRESAIL_SEED=" << seed);
    Fleet fleet(seed);
    fleet.Run(8s);
    CHECK(fleet.RoutesTo(0, "endpoint-1"));
    FaultPlan faults(fleet);
    Acceptance observer(fleet);
    REQUIRE(fleet.Change([](catalogue::Configuration& aConfiguration) {
      aConfiguration.mCatalogue.mAvailabilityZones.at(1).mOut = true;
    }));
    const units::Version out = fleet.StoredConfiguration().mVersion;
    fleet.Run(20s, [&] {
      faults.Step();
      observer.Observe();
      const bool over = observer.AcceptedBefore(fleet.Now() - kKeyBound) >= out;
      for (std::size_t i = 0; over && i < fleet.Nodes().size(); ++i) {
        REQUIRE_FALSE(fleet.RoutesTo(i, "endpoint-1"));
      }
    });
    faults.End();
    fleet.Run(25s);
    REQUIRE(fleet.Change([](catalogue::Configuration& aConfiguration) {
      aConfiguration.mCatalogue.mAvailabilityZones.at(1).mOut = false;
    }));
    fleet.Run(kKeyBound);
    CHECK(fleet.RoutesTo(0, "endpoint-1"));
  }
}
