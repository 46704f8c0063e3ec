#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

#include "components/gateway/storefreshness.hpp"
#include "components/gateway/watchschedule.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using gateway::WatchSchedule;
using Milliseconds = std::chrono::duration<double, std::milli>;

namespace {

constexpr double kBytesPerMsOf10Mbit = 1250.0;

/// An entry that reads a store over a link of its own while the operator writes one
/// version of the configuration after the other.
struct Play
{
  std::size_t mEntries{ 29 };
  std::chrono::milliseconds mChangeTime{ 3000 };
  double mLinkBytesPerMs{ 100 * kBytesPerMsOf10Mbit };
  double mConfigurationBytes{ 4000 };
  /// All other records, and how fast changes of them add up in a watch.
  double mRecordBytes{ 130000 };
  double mRecordChangesPerMs{ 8 };
  Milliseconds mChangeInterval{ 20 };
  /// Time to read and decode a byte of a response.
  Milliseconds mPerByte{ 1e-4 };
  /// True for a call that gets no response.
  std::function<bool(int)> mIsLost{ [](int) { return false; } };

  /// Returns the longest time between the write of a version and the instant at which it
  /// or a later one is in force.
  Milliseconds Run(Milliseconds aLength) const
  {
    constexpr Milliseconds kOneWay{ 2 };
    const timing::Instant start{ 1h };
    WatchSchedule schedule(7);
    schedule.SetFleet(mEntries, mChangeTime);
    Milliseconds now{ 0 };
    // Version n is written at n intervals.
    double inForce = 0;
    Milliseconds known{ 0 };
    Milliseconds longest{ 0 };
    for (int call = 0; now < aLength; ++call) {
      const WatchSchedule::Step step = schedule.Next();
      now = std::max(now, Milliseconds(step.mAt - start));
      const auto instant = [&](Milliseconds aTime) {
        return start + std::chrono::duration_cast<timing::Duration>(aTime);
      };
      const bool isRead = step.mCall == WatchSchedule::Call::Read;
      const Milliseconds nextChange = (inForce + 1) * mChangeInterval;
      const Milliseconds taken =
        isRead ? now + kOneWay
               : std::max(now + kOneWay,
                          std::min(nextChange, now + kOneWay + Milliseconds(step.mWait)));
      const double newest = std::floor(taken / mChangeInterval);
      const double bytes = isRead ? mConfigurationBytes + mRecordBytes
                                  : (newest - inForce) * mConfigurationBytes +
                                      (taken - known).count() * mRecordChangesPerMs;
      const Milliseconds began = taken + kOneWay;
      const Milliseconds end = began + Milliseconds(bytes / mLinkBytesPerMs);
      if (mIsLost(call) || began - now > step.mHeadTimeout) {
        now += Milliseconds(step.mHeadTimeout);
        schedule.OnFailed(false, instant(now));
        continue;
      }
      if (end - now > step.mTimeout) {
        now += Milliseconds(step.mTimeout);
        schedule.OnFailed(true, instant(now));
        continue;
      }
      if (bytes > static_cast<double>(step.mMaxBytes)) {
        now = began;
        schedule.OnReadNeeded(instant(now));
        continue;
      }
      WatchSchedule::Response response;
      response.mSentAt = instant(now);
      response.mBeganAt = instant(began);
      response.mBytes = static_cast<std::size_t>(bytes);
      response.mHadChanges = newest > inForce;
      now = end + bytes * mPerByte;
      response.mAppliedAt = instant(now);
      if (newest > inForce) {
        longest = std::max(longest, now - nextChange);
      }
      inForce = newest;
      known = taken;
      schedule.OnApplied(response);
    }
    return std::max(longest, aLength - (inForce + 1) * mChangeInterval);
  }
};

}

TEST_CASE("watch: pauses grow with the fleet and keep the time for changes", "[gateway]")
{
  const std::size_t entries = GENERATE(1U, 6U, 30U, 103U, 360U);
  const auto changeTime = GENERATE(500ms, 2000ms, 3000ms, 4000ms, 60000ms);
  WatchSchedule schedule(7);
  WatchSchedule larger(7);
  schedule.SetFleet(entries, changeTime);
  larger.SetFleet(entries + 1, changeTime);
  const auto pause = schedule.Pause();
  CAPTURE(entries, changeTime.count(), pause.count(), schedule.Wait().count());
  // Calls of all entries share the store's limit. Only a very short time for changes
  // leaves less for them to gather.
  CHECK((pause >= 250ms || changeTime < 1s));
  CHECK(pause <= changeTime / 2);
  // A longer silence counts as an outage of the store.
  CHECK(pause + schedule.Wait() < gateway::StoreFreshness::kMinOutage);
  CHECK(pause <= larger.Pause());
}

TEST_CASE("watch: a change is in force in time although every fifth call stays silent",
          "[gateway]")
{
  Play play;
  std::tie(play.mEntries, play.mChangeTime) =
    GENERATE(table<std::size_t, std::chrono::milliseconds>(
      { { 5U, 2000ms }, { 29U, 3000ms }, { 103U, 4000ms }, { 360U, 7000ms } }));
  play.mIsLost = [](int aCall) { return aCall % 5 == 4; };
  CAPTURE(play.mEntries, play.mChangeTime.count());
  CHECK(play.Run(10min).count() < Milliseconds(play.mChangeTime).count());
}

TEST_CASE("watch: versions of a large configuration in quick succession over a slow link "
          "are in force in time",
          "[gateway]")
{
  Play play;
  play.mLinkBytesPerMs = kBytesPerMsOf10Mbit;
  play.mConfigurationBytes = 300000;
  play.mPerByte = Milliseconds(2e-4);
  play.mChangeInterval = Milliseconds(430);
  CHECK(play.Run(10min).count() < Milliseconds(play.mChangeTime).count());
}

TEST_CASE("watch: more versions of a configuration than the link carries are skipped",
          "[gateway]")
{
  Play play;
  play.mLinkBytesPerMs = kBytesPerMsOf10Mbit;
  play.mConfigurationBytes = 300000;
  play.mPerByte = Milliseconds(2e-4);
  play.mChangeInterval = Milliseconds(80);
  CHECK(play.Run(10min).count() < Milliseconds(play.mChangeTime).count());
}
