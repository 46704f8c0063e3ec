#include <catch2/catch.hpp>

#include "apps/tests/duties/usageworld.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using duties::testing::World;

namespace {

/// Time until the report of a window that has ended is due, and a tick.
constexpr auto kDue = 10100ms;
/// Time until the first leader of a fleet holds the duty, in whole windows.
constexpr auto kStart = 20s;

}

TEST_CASE("usage: all windows are reported in time without deviation", "[duties]")
{
  World world(4);
  world.Run(60s);
  CHECK(world.Wrong(0.0, kDue) == "");
  CHECK(world.mFaults == "");
  CHECK(world.mRejections == 0);
}

TEST_CASE("usage: lost datagrams and lost store responses change no report", "[duties]")
{
  const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
  CAPTURE(seed);
  World world(4, seed);
  world.mDatagramLoss = 0.2;
  world.mStoreLoss = 0.3;
  world.Run(90s);
  CHECK(world.Wrong(0.0, kDue) == "");
  CHECK(world.mFaults == "");
}

TEST_CASE("usage: an entry that is cut off from the leader alone is counted", "[duties]")
{
  World world(5);
  world.Run(kStart);
  world.mCutOff = { world.Leader(), world.Leader() == 5 ? 4 : 5 };
  world.Run(30s);
  CHECK(world.Wrong(0.0, kDue) == "");
  CHECK(world.mFaults == "");
}

TEST_CASE("usage: a holder that is frozen at any step stops, and the next one goes on",
          "[duties]")
{
  // Steps of one tick over a second cover every renewal and every call of the holder.
  const int tick = GENERATE(range(0, 30));
  CAPTURE(tick);
  World world(4);
  world.Run(kStart + 5800ms + tick * World::kTick);
  const std::size_t holder = world.Leader();
  REQUIRE(holder != 0);
  world.Freeze(holder, true);
  world.Run(9s);
  CHECK(world.Leader() != holder);
  world.Freeze(holder, false);
  world.Run(30s);
  // What the holder counted last is late; its entry is a quarter of the fleet.
  CHECK(world.Wrong(0.25, kDue) == "");
  CHECK(world.mFaults == "");
}

TEST_CASE("usage: a holder that is killed between the record and the call is followed",
          "[duties]")
{
  World world(20);
  world.Run(kStart);
  world.mKillAfterRecord = true;
  world.Run(40s);
  CHECK(world.Wrong(0.05, kDue) == "");
  CHECK(world.mFaults == "");
}

TEST_CASE("usage: a record that the holder has not seen decides over its counts",
          "[duties]")
{
  constexpr std::uint64_t kCount = 12345;
  World world(3);
  world.Run(kStart);
  const duties::Window window = world.mTruth.rbegin()->first;
  world.RecordUnseen(window, kCount);
  world.Run(20s);
  REQUIRE(world.mReports.contains(window));
  CHECK(world.mReports.at(window).mCount == kCount);
  CHECK(world.mFaults == "");
}

TEST_CASE("usage: an entry that is killed costs less than the tolerance", "[duties]")
{
  World world(20);
  world.Run(kStart + 3s);
  world.Kill(world.Leader() == 7 ? 8 : 7);
  world.Run(500ms);
  world.Restart(world.Leader() == 7 ? 8 : 7);
  world.Run(30s);
  CHECK(world.Wrong(0.05, kDue) == "");
  CHECK(world.mFaults == "");
}

TEST_CASE("usage: calls that take effect late, after newer ones, do no harm", "[duties]")
{
  World world(4);
  world.Run(kStart + 4s);
  world.mApiSlowUntil = timing::Instant(1h) + kStart + 14s;
  SECTION("one holder") {}
  SECTION("the holder is killed meanwhile")
  {
    world.Run(4s);
    const std::size_t holder = world.Leader();
    world.Kill(holder);
    world.Run(500ms);
    world.Restart(holder);
  }
  world.Run(40s);
  CHECK(world.Wrong(0.15, kDue) == "");
  CHECK(world.mFaults == "");
}

TEST_CASE("usage: a wall clock that jumps by 2 s moves no count", "[duties]")
{
  const std::size_t entry = GENERATE(1U, 2U, 4U);
  const auto by = GENERATE(2s, -2s);
  World world(4);
  world.Run(kStart + 3s);
  world.SetWallClockForward(entry, by);
  world.Run(20s);
  world.SetWallClockForward(entry, -by);
  world.Run(20s);
  CHECK(world.Wrong(0.0, kDue) == "");
  CHECK(world.mFaults == "");
}

TEST_CASE("usage: an entry that starts with a wrong wall clock is corrected", "[duties]")
{
  World world(4);
  world.Run(kStart);
  const std::size_t entry = world.Leader() == 3 ? 4 : 3;
  world.Kill(entry);
  world.Restart(entry);
  world.SetWallClockForward(entry, 2s);
  world.Run(30s);
  CHECK(world.Wrong(0.1, kDue) == "");
  CHECK(world.mFaults == "");
}

TEST_CASE("usage: after the end of all entries what is left is reported", "[duties]")
{
  World world(3);
  world.Run(kStart + 3s);
  for (std::size_t entry = 1; entry <= 3; ++entry) {
    world.Kill(entry);
  }
  world.Run(2s);
  for (std::size_t entry = 1; entry <= 3; ++entry) {
    world.Restart(entry);
  }
  world.Run(40s);
  CHECK(world.mFaults == "");
  // Each window has a report, the counts of the open ones being lost.
  for (const auto& [window, truth] : world.mTruth) {
    if (window < world.mTruth.rbegin()->first - 2) {
      CAPTURE(window);
      CHECK(world.mReports.contains(window));
    }
  }
}
