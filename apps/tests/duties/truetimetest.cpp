#include <catch2/catch.hpp>

#include "components/duties/truetime.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using duties::TrueTime;

namespace {

const timing::Instant kStart{ 1h };
constexpr std::chrono::seconds kWallAtStart{ 1'000'000'003 };

/// Reads the wall clock, which was set forward by aSet, at an instant.
std::optional<timing::Duration> Sample(TrueTime& aTime,
                                       timing::Instant aNow,
                                       timing::Duration aSet = 0ms,
                                       timing::Duration aPause = 0ms)
{
  return aTime.Sample(aNow,
                      timing::WallTime(kWallAtStart + (aNow - kStart) + aSet + aPause),
                      aNow + aPause);
}

}

TEST_CASE("true time: a window begins at a multiple of its length", "[duties]")
{
  TrueTime time(5000ms);
  Sample(time, kStart);
  CHECK(time.WindowAt(kStart) == 200'000'000);
  CHECK(time.WindowAt(kStart + 1999ms) == 200'000'000);
  CHECK(time.WindowAt(kStart + 2s) == 200'000'001);
  CHECK(time.EndOf(200'000'000) == 1'000'000'005s);
}

TEST_CASE("true time: a jump of the wall clock is not followed, but its slewing is",
          "[duties]")
{
  TrueTime time(5000ms);
  Sample(time, kStart);
  CHECK(Sample(time, kStart + 40ms, 2s) == timing::Duration(2s));
  CHECK_FALSE(Sample(time, kStart + 80ms, 2s));
  CHECK(time.At(kStart) == kWallAtStart);
  // 100 samples of 1 ms each.
  for (int i = 1; i <= 100; ++i) {
    CHECK_FALSE(Sample(time, kStart + i * 100ms, 2s + i * 1ms));
  }
  CHECK(time.At(kStart) == kWallAtStart + 100ms);
  // The thread was suspended between the readings of the clocks.
  CHECK_FALSE(Sample(time, kStart + 11s, 2100ms, 15ms));
  CHECK(time.At(kStart) == kWallAtStart + 100ms);
}

TEST_CASE("true time: an entry that starts with a wrong clock follows the median",
          "[duties]")
{
  TrueTime time(5000ms);
  Sample(time, kStart, 2s);
  const auto hear = [&](const char* aName, timing::Duration aDelay) {
    time.OnPeerTime(
      ids::ProcessId(aName),
      std::chrono::duration_cast<std::chrono::milliseconds>(kWallAtStart - aDelay),
      kStart);
  };
  hear("b", 3ms);
  // Of two that differ, neither is known to be right.
  CHECK_FALSE(time.Check(kStart));
  hear("c", 300ms);
  hear("c", 5ms);
  hear("d", 5s);
  CHECK(time.Check(kStart));
  CHECK(std::chrono::abs(time.At(kStart) - kWallAtStart) < 10ms);
  CHECK_FALSE(time.Check(kStart));
}

TEST_CASE("true time: one entry with a wrong clock moves none of the others", "[duties]")
{
  TrueTime time(5000ms);
  Sample(time, kStart);
  time.OnPeerTime(ids::ProcessId("b"), kWallAtStart, kStart);
  time.OnPeerTime(ids::ProcessId("c"), kWallAtStart + 2s, kStart);
  CHECK_FALSE(time.Check(kStart));
  CHECK(time.At(kStart) == kWallAtStart);
}
