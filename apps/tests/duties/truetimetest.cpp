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

TEST_CASE("true time: a wrong clock follows the median, late messages move none",
          "[duties]")
{
  // The clock at the start is ahead by this, and messages are read late by that.
  const auto [ahead, delay, corrected] =
    GENERATE(table<timing::Duration, timing::Duration, bool>(
      { { 2s, 5ms, true }, { -2s, 5ms, true }, { 0s, 5ms, false }, { 0s, 1s, false } }));
  CAPTURE(ahead.count(), delay.count());
  TrueTime time(5000ms);
  Sample(time, kStart, ahead);
  bool changed = false;
  for (timing::Instant now = kStart; now < kStart + 6s; now += 100ms) {
    Sample(time, now, ahead);
    const auto stated = kWallAtStart + (now - kStart) - delay;
    const auto inMs = std::chrono::duration_cast<std::chrono::milliseconds>(stated);
    time.OnPeerTime(ids::ProcessId("b"), inMs, now);
    time.OnPeerTime(ids::ProcessId("c"), inMs, now);
    time.OnPeerTime(ids::ProcessId("e"), inMs, now);
    // One clock that is wrong moves no other.
    time.OnPeerTime(ids::ProcessId("d"), inMs + 5s, now);
    changed = time.Check(now) || changed;
  }
  CHECK(changed == corrected);
  CHECK(std::chrono::abs(time.At(kStart) - kWallAtStart) < 10ms);
}

TEST_CASE("true time: messages read after a pause do not set the clock back", "[duties]")
{
  TrueTime time(5000ms);
  Sample(time, kStart);
  const auto hear = [&time](timing::Instant aNow) {
    time.OnPeerTime(ids::ProcessId("b"), kWallAtStart, aNow);
    time.OnPeerTime(ids::ProcessId("c"), kWallAtStart, aNow);
  };
  hear(kStart);
  Sample(time, kStart + 9s);
  hear(kStart + 9s);
  CHECK_FALSE(time.Check(kStart + 9s));
}

TEST_CASE("true time: of two clocks that differ, neither is known to be right",
          "[duties]")
{
  TrueTime time(5000ms);
  Sample(time, kStart);
  time.OnPeerTime(ids::ProcessId("b"), kWallAtStart + 2s, kStart);
  CHECK_FALSE(time.Check(kStart));
}
