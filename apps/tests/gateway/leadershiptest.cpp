#include <catch2/catch.hpp>

#include "components/gateway/leadership.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using gateway::Leadership;

namespace {

const timing::Instant kNow{ 1h };
constexpr std::int64_t kLease = 5;
constexpr std::int64_t kRevision = 40;

/// Runs the steps of a candidate until it has created the leader record.
void BecomeLeader(Leadership& aLeadership)
{
  REQUIRE(aLeadership.Next(kNow) == Leadership::Step::GrantLease);
  aLeadership.OnLeaseGranted(kLease, Leadership::kLeaseTimeToLive, kNow);
  REQUIRE(aLeadership.Next(kNow) == Leadership::Step::WriteMember);
  aLeadership.OnMemberWritten();
  aLeadership.OnLeaderRecord(false, 0, 0);
  REQUIRE(aLeadership.Next(kNow) == Leadership::Step::CreateLeader);
  aLeadership.OnLeaderCreated(kRevision, kNow);
}

}

TEST_CASE("leadership: the first leader of a first start gives orders at once",
          "[gateway]")
{
  Leadership leadership(3300ms, true);
  BecomeLeader(leadership);
  CHECK(leadership.Token(kNow) == kRevision);
}

TEST_CASE("leadership: a later leader waits until an earlier one's orders have expired",
          "[gateway]")
{
  Leadership leadership(3300ms, false);
  BecomeLeader(leadership);
  CHECK_FALSE(leadership.Token(kNow + 1s));
  leadership.OnLeaseKept(kNow + 3s);
  CHECK(leadership.Token(kNow + 3400ms) == kRevision);
}

TEST_CASE("leadership: a leader stops before its lease can have expired", "[gateway]")
{
  Leadership leadership(0ms, true);
  BecomeLeader(leadership);
  CHECK(leadership.Token(kNow + 1s));
  // A leader that was suspended for this long must not send orders when it resumes.
  CHECK_FALSE(leadership.Token(kNow + Leadership::kLeaseTimeToLive -
                               Leadership::kLeaseSafetyMargin));
}

TEST_CASE("leadership: a lost lease or a newer leader ends it", "[gateway]")
{
  Leadership leadership(0ms, true);
  BecomeLeader(leadership);
  SECTION("lease lost")
  {
    leadership.OnLeaseLost();
    CHECK(leadership.Next(kNow) == Leadership::Step::GrantLease);
  }
  SECTION("record of another leader")
  {
    leadership.OnLeaderRecord(true, kLease + 1, kRevision + 1);
  }
  SECTION("an engine received a newer token")
  {
    leadership.OnFenced(kNow);
    CHECK(leadership.Next(kNow) == Leadership::Step::None);
  }
  CHECK_FALSE(leadership.Token(kNow));
}

TEST_CASE("leadership: no entry becomes leader while the record is present", "[gateway]")
{
  Leadership leadership(0ms, true);
  leadership.OnLeaseGranted(kLease, Leadership::kLeaseTimeToLive, kNow);
  leadership.OnMemberWritten();
  CHECK(leadership.Next(kNow) == Leadership::Step::None);
  leadership.OnLeaderRecord(true, 99, 12);
  CHECK(leadership.Next(kNow) == Leadership::Step::None);
  CHECK(leadership.Next(kNow + Leadership::kKeepAliveInterval) ==
        Leadership::Step::KeepLease);
}

TEST_CASE(
  "leadership: takeover of a vacant leadership is delayed for better suited entries",
  "[gateway]")
{
  Leadership leadership(0ms, true);
  leadership.SetTakeoverDelay(1500ms);
  leadership.OnLeaseGranted(kLease, Leadership::kLeaseTimeToLive, kNow);
  leadership.OnMemberWritten();
  leadership.OnLeaderRecord(false, 0, 0);
  CHECK(leadership.Next(kNow) == Leadership::Step::None);
  leadership.OnLeaseKept(kNow + 1400ms);
  CHECK(leadership.Next(kNow + 1400ms) == Leadership::Step::None);
  SECTION("taken over by this entry if no other did")
  {
    CHECK(leadership.Next(kNow + 1500ms) == Leadership::Step::CreateLeader);
  }
  SECTION("the delay restarts after another leader")
  {
    leadership.OnLeaderRecord(true, kLease + 1, kRevision);
    CHECK(leadership.Next(kNow + 1450ms) == Leadership::Step::None);
    leadership.OnLeaderRecord(false, 0, 0);
    CHECK(leadership.Next(kNow + 1600ms) == Leadership::Step::None);
  }
}

TEST_CASE("leadership: an entry whose creation of the record got no response leads",
          "[gateway]")
{
  // Otherwise its record would keep all others from leading for as long as it lives.
  Leadership leadership(3300ms, false);
  leadership.OnLeaseGranted(kLease, Leadership::kLeaseTimeToLive, kNow);
  leadership.OnMemberWritten();
  leadership.OnLeaderRecord(false, 0, 0);
  REQUIRE(leadership.Next(kNow) == Leadership::Step::CreateLeader);
  leadership.OnStepFailed(kNow);
  leadership.OnLeaderRecord(true, kLease, kRevision);
  leadership.Next(kNow + 1s);
  leadership.OnLeaseKept(kNow + 4s);
  CHECK_FALSE(leadership.Token(kNow + 4200ms));
  CHECK(leadership.Token(kNow + 4400ms) == kRevision);
}
