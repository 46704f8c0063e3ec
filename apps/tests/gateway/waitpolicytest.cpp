#include <catch2/catch.hpp>

#include "components/gateway/waitpolicy.hpp"

using namespace samphiresail::gateway;

namespace {

constexpr Milliseconds kRead{ 50.0 };

RequestUrgency Urgent()
{
  RequestUrgency urgency;
  urgency.mTarget = Milliseconds(500);
  urgency.mTightestTarget = Milliseconds(500);
  urgency.mTimeLeft = Milliseconds(12000);
  return urgency;
}

RequestUrgency Tolerant()
{
  RequestUrgency urgency = Urgent();
  urgency.mTarget = Milliseconds(5000);
  urgency.mLatencyTolerant = true;
  return urgency;
}

}

TEST_CASE("wait: less urgent requests leave room in the engines' queues", "[gateway]")
{
  RequestUrgency second = Urgent();
  second.mRank = 1;
  const Milliseconds urgent = AllowedWait(Urgent(), kRead).mAtEngine;
  CHECK(urgent > AllowedWait(second, kRead).mAtEngine);
  CHECK(AllowedWait(second, kRead).mAtEngine > AllowedWait(Tolerant(), kRead).mAtEngine);
}

TEST_CASE("wait: an urgent request is sent only where it can come in time", "[gateway]")
{
  RequestUrgency urgency = Urgent();
  urgency.mElapsed = urgency.mWaited = Milliseconds(200);
  const WaitAllowance allowance = AllowedWait(urgency, kRead);
  CHECK(urgency.mElapsed + allowance.mAtEngine + kRead <= urgency.mTarget);
  CHECK(allowance.mAtEntry + kRead <= urgency.mTarget);
}

TEST_CASE("wait: a prompt that alone exceeds the target is still served", "[gateway]")
{
  CHECK(AllowedWait(Urgent(), Milliseconds(3000)).mAtEngine > Milliseconds(0));
}

TEST_CASE("wait: returning callers go ahead of new ones of their kind", "[gateway]")
{
  RequestUrgency fresh = Urgent();
  RequestUrgency returned = Urgent();
  returned.mReturned = true;
  SECTION("in time, while they compete for the same room")
  {
    fresh.mTarget = returned.mTarget = Milliseconds(900);
    CHECK(AllowedWait(returned, kRead).mAtEngine > AllowedWait(fresh, kRead).mAtEngine);
  }
  SECTION("late ones before other late ones, and they wait longer at the entry")
  {
    fresh.mElapsed = returned.mElapsed = Milliseconds(800);
    CHECK(AllowedWait(returned, kRead).mAtEngine > AllowedWait(fresh, kRead).mAtEngine);
    CHECK(AllowedWait(returned, kRead).mAtEntry > AllowedWait(fresh, kRead).mAtEntry);
  }
  SECTION("late ones leave room to callers that can be served in time")
  {
    returned.mElapsed = Milliseconds(800);
    CHECK(AllowedWait(returned, kRead).mAtEngine < AllowedWait(fresh, kRead).mAtEngine);
  }
}

TEST_CASE("wait: nothing waits beyond the caller's time", "[gateway]")
{
  RequestUrgency urgency = Tolerant();
  urgency.mReturned = true;
  urgency.mTimeLeft = Milliseconds(10);
  urgency.mWaited = Milliseconds(5);
  CHECK(AllowedWait(urgency, kRead).mAtEngine <= Milliseconds(10));
  CHECK(AllowedWait(urgency, kRead).mAtEntry <= Milliseconds(15));
}

// Guards against streams that are broken off because their route is a less urgent one.
TEST_CASE("wait: a response that has begun goes on like the most urgent one", "[gateway]")
{
  RequestUrgency begun = Tolerant();
  begun.mBegun = true;
  CHECK(AllowedWait(begun, kRead).mAtEngine >= AllowedWait(Urgent(), kRead).mAtEngine);
  CHECK(AllowedWait(begun, kRead).mBehind == Milliseconds(0));
  CHECK(AllowedWait(Tolerant(), kRead).mBehind > AllowedWait(Urgent(), kRead).mBehind);
}
