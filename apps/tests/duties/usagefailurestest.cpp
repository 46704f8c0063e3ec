#include <catch2/catch.hpp>

#include "apps/tests/duties/usageworld.hpp"

using namespace samphiresail;
using namespace samphiresail::duties::testing;

namespace {

/// Time until the first leader of a fleet holds the duty, in whole windows.
constexpr auto kStart = 20s;

}

TEST_CASE("usage: lost datagrams and lost store responses change no report", "[duties]")
{
  const auto seed = GENERATE(0U, 1U, 2U, 3U, 4U);
  CAPTURE(seed);
  World world(4, seed);
  world.mDatagramLoss = seed == 0 ? 0.0 : 0.2;
  world.mStoreLoss = seed == 0 ? 0.0 : 0.3;
  world.Run(90s);
  CHECK_THAT(world.Wrong(0.0), Catch::Matchers::Equals(""));
}

TEST_CASE("usage: an entry that is cut off from the leader alone is counted", "[duties]")
{
  World world(5);
  world.Run(kStart);
  world.mCutOff = { world.Leader(), world.Leader() == 5 ? 4 : 5 };
  world.Run(30s);
  CHECK_THAT(world.Wrong(0.0), Catch::Matchers::Equals(""));
}

TEST_CASE("usage: a holder that is frozen at any step stops, and the next one goes on",
          "[duties]")
{
  // The ticks cover a renewal of the lease and each call of the holder.
  const int tick = GENERATE(range(0, 30));
  CAPTURE(tick);
  World world(4);
  world.Run(kStart + 5800ms + tick * kTick);
  const std::size_t holder = world.Leader();
  world.At(holder).mFrozen = true;
  world.Run(9s);
  CHECK(world.Leader() != holder);
  world.At(holder).mFrozen = false;
  world.Run(30s);
  // What the holder counted last is late; its entry is a quarter of the fleet.
  CHECK_THAT(world.Wrong(0.25), Catch::Matchers::Equals(""));
}

TEST_CASE("usage: a holder that is killed between the record and the call is followed",
          "[duties]")
{
  World world(20);
  world.Run(kStart);
  world.mKillAfterRecord = true;
  world.Run(40s);
  CHECK_THAT(world.Wrong(0.05), Catch::Matchers::Equals(""));
}

TEST_CASE("usage: a record that the holder has not seen decides over its counts",
          "[duties]")
{
  World world(3);
  world.Run(kStart);
  const std::string window = std::to_string(world.mTruth.rbegin()->first);
  world.mRecords["samphiresail/usage/" + window] = { window + " 12345", 1, 0 };
  world.Run(20s);
  CHECK(world.mReports.at(std::stol(window)).mCount == 12345);
  CHECK_THAT(world.mFaults, Catch::Matchers::Equals(""));
}

TEST_CASE("usage: after a rejection the reports go on under a new token", "[duties]")
{
  World world(4);
  world.Run(kStart);
  const std::int64_t rejected = world.mHighestToken;
  world.mHighestToken = ++world.mRevision;
  world.Run(29s);
  CHECK(world.mHolders.rbegin()->first > rejected);
  CHECK_THAT(world.Wrong(0.0), Catch::Matchers::Equals(""));
}

TEST_CASE("usage: calls that take effect late, after newer ones, do no harm", "[duties]")
{
  World world(4);
  world.Run(kStart + 4s);
  world.mApiSlowUntil = kBegin + kStart + 14s;
  if (GENERATE(false, true)) {
    world.Run(4s);
    world.Restart(world.Leader());
  }
  world.Run(40s);
  CHECK_THAT(world.Wrong(0.15), Catch::Matchers::Equals(""));
}

TEST_CASE("usage: a wall clock that jumps by 2 s moves no count", "[duties]")
{
  const std::size_t entry = GENERATE(1U, 4U);
  const auto by = GENERATE(2s, -2s);
  World world(4);
  world.Run(kStart + 3s);
  world.At(entry).mJump = by;
  world.Run(20s);
  world.At(entry).mJump = 0ms;
  world.Run(20s);
  CHECK_THAT(world.Wrong(0.0), Catch::Matchers::Equals(""));
}

TEST_CASE("usage: after the end of all entries what is left is reported", "[duties]")
{
  World world(3);
  world.Run(kStart + 3s);
  for (std::size_t entry = 1; entry <= 3; ++entry) {
    world.Restart(entry);
  }
  world.Run(40s);
  CHECK_THAT(world.mFaults, Catch::Matchers::Equals(""));
  for (const auto& [window, truth] : world.mTruth) {
    CAPTURE(window);
    CHECK(
      (window + 2 >= world.mTruth.rbegin()->first || world.mReports.contains(window)));
  }
}

TEST_CASE("usage: after a restore of the store no window is reported twice differently",
          "[duties]")
{
  const auto seed = GENERATE(range(1U, 21U));
  CAPTURE(seed);
  World world(4, seed);
  world.Run(kStart + std::chrono::milliseconds(seed * 331));
  const auto records = world.mRecords;
  const std::int64_t revision = world.mRevision;
  world.Run(std::chrono::milliseconds(500 * (1 + seed % 12)));
  world.RestoreStore(records, revision);
  world.Run(40s);
  CHECK_THAT(world.Wrong(0.0), Catch::Matchers::Equals(""));
  // Also where the holder that knew the lost records is gone.
  world.Run(3s);
  const auto later = world.mRecords;
  world.Run(6s);
  world.RestoreStore(later, world.mRevision - 3);
  world.Run(2s);
  for (std::size_t entry = 1; entry <= 3; ++entry) {
    world.Restart(entry);
  }
  world.Run(30s);
  CHECK_THAT(world.mFaults, Catch::Matchers::Equals(""));
}
