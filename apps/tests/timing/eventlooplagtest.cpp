#include <catch2/catch.hpp>

#include "components/timing/eventlooplag.hpp"

using namespace samphiresail;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kInterval{ 40 };
constexpr milliseconds kInSocket{ 750 };

struct Loop
{
  /// Lets a tick run that much later than it is due.
  void Tick(milliseconds aDelay)
  {
    mLag.ExpectTick(mClock.Now() + kInterval);
    mClock.Advance(kInterval + aDelay);
    mLag.OnTick(mClock.Now());
  }
  timing::Duration Unread(std::optional<timing::Duration> aSinceLastBytes = kInSocket)
  {
    return mLag.UnreadTime(aSinceLastBytes, mClock.Now());
  }

  timing::ManualClock mClock;
  timing::EventLoopLag mLag{ kInterval };
};

}

TEST_CASE("lag: a loop whose ticks run in time is not behind", "[timing]")
{
  // Guards against a change for requests of entries that keep up.
  Loop loop;
  CHECK(loop.Unread() == timing::Duration(0));
  for (int i = 0; i < 100; ++i) {
    loop.Tick(milliseconds(i % 41));
    CHECK_FALSE(loop.mLag.IsBehind(loop.mClock.Now()));
    CHECK(loop.Unread() == timing::Duration(0));
  }
}

TEST_CASE("lag: a late tick counts for a while", "[timing]")
{
  Loop loop;
  loop.Tick(milliseconds(300));
  CHECK(loop.mLag.Lag(loop.mClock.Now()) == milliseconds(300));
  loop.Tick(milliseconds(10));
  CHECK(loop.mLag.Lag(loop.mClock.Now()) == milliseconds(300));
  CHECK(loop.Unread() == kInSocket);
  loop.mClock.Advance(timing::EventLoopLag::kMemory);
  CHECK_FALSE(loop.mLag.IsBehind(loop.mClock.Now()));
}

TEST_CASE("lag: a tick that is overdue counts before it runs", "[timing]")
{
  // After a freeze, requests are read before the tick runs.
  Loop loop;
  loop.Tick(milliseconds(0));
  loop.mLag.ExpectTick(loop.mClock.Now() + kInterval);
  loop.mClock.Advance(kInterval + milliseconds(5000));
  CHECK(loop.mLag.Lag(loop.mClock.Now()) == milliseconds(5000));
  CHECK(loop.Unread() == kInSocket);
}

TEST_CASE("lag: without the age of the bytes the ticks give the least wait", "[timing]")
{
  Loop loop;
  loop.Tick(milliseconds(500));
  CHECK(loop.Unread(std::nullopt) == timing::Duration(0));
  loop.Tick(milliseconds(200));
  CHECK(loop.Unread(std::nullopt) == milliseconds(200));
}
