#include <catch2/catch.hpp>

#include "components/gateway/leadership.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using gateway::FencingToken;
using gateway::LeaderRecord;
using gateway::Leadership;

namespace {

const timing::Instant kNow{ 1h };
constexpr std::int64_t kLease = 5;
constexpr std::int64_t kRevision = 40;
const ids::ProcessId kProcess("entry-1");
constexpr std::uint64_t kIncarnation = 1000;
constexpr auto kGrace = 3300ms;

LeaderRecord RecordOfOther(std::int64_t aLease,
                           std::int64_t aRevision,
                           store::StoreGeneration aGeneration = 0)
{
  return { true, { ids::ProcessId("entry-2"), 2000, aGeneration }, aLease, aRevision };
}

/// Has a candidate get a lease and write its record.
void Register(Leadership& aLeadership, std::int64_t aLease, timing::Instant aNow)
{
  REQUIRE(aLeadership.Next(aNow) == Leadership::Step::GrantLease);
  aLeadership.OnLeaseGranted(aLease, Leadership::kLeaseTimeToLive, aNow, aNow);
  REQUIRE(aLeadership.Next(aNow) == Leadership::Step::WriteMember);
  aLeadership.OnMemberWritten();
}

/// Runs the steps of a candidate until it has created the leader record.
void BecomeLeader(Leadership& aLeadership)
{
  Register(aLeadership, kLease, kNow);
  aLeadership.OnLeaderRecord({});
  REQUIRE(aLeadership.Next(kNow) == Leadership::Step::CreateLeader);
  aLeadership.OnLeaderCreated(kRevision, kNow);
}

}

TEST_CASE("leadership: the first leader of a first start gives orders at once",
          "[gateway]")
{
  Leadership leadership(3300ms, true, kProcess, kIncarnation);
  BecomeLeader(leadership);
  CHECK(leadership.Token(kNow) == kRevision);
}

TEST_CASE("leadership: a later leader waits until an earlier one's orders have expired",
          "[gateway]")
{
  Leadership leadership(3300ms, false, kProcess, kIncarnation);
  BecomeLeader(leadership);
  CHECK_FALSE(leadership.Token(kNow + 1s));
  leadership.OnLeaseKept(kNow + 3s);
  CHECK(leadership.Token(kNow + 3400ms) == kRevision);
}

TEST_CASE("leadership: a leader stops before its lease can have expired", "[gateway]")
{
  Leadership leadership(0ms, true, kProcess, kIncarnation);
  BecomeLeader(leadership);
  CHECK(leadership.Token(kNow + 1s));
  // A leader that was suspended for this long must not send orders when it resumes.
  CHECK_FALSE(leadership.Token(kNow + Leadership::kLeaseTimeToLive -
                               Leadership::kLeaseSafetyMargin));
}

TEST_CASE("leadership: a lost lease or a newer leader ends it", "[gateway]")
{
  Leadership leadership(0ms, true, kProcess, kIncarnation);
  BecomeLeader(leadership);
  SECTION("lease lost")
  {
    leadership.OnLeaseLost();
    CHECK(leadership.Next(kNow) == Leadership::Step::GrantLease);
  }
  SECTION("record of another leader")
  {
    leadership.OnLeaderRecord(RecordOfOther(kLease + 1, kRevision + 1));
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
  Leadership leadership(0ms, true, kProcess, kIncarnation);
  leadership.OnLeaseGranted(kLease, Leadership::kLeaseTimeToLive, kNow, kNow);
  leadership.OnMemberWritten();
  CHECK(leadership.Next(kNow) == Leadership::Step::None);
  leadership.OnLeaderRecord(RecordOfOther(99, 12));
  CHECK(leadership.Next(kNow) == Leadership::Step::None);
  CHECK(leadership.Next(kNow + Leadership::kKeepAliveInterval) ==
        Leadership::Step::KeepLease);
}

TEST_CASE(
  "leadership: takeover of a vacant leadership is delayed for better suited entries",
  "[gateway]")
{
  Leadership leadership(0ms, true, kProcess, kIncarnation);
  leadership.SetTakeoverDelay(1500ms);
  leadership.OnLeaseGranted(kLease, Leadership::kLeaseTimeToLive, kNow, kNow);
  leadership.OnMemberWritten();
  leadership.OnLeaderRecord({});
  CHECK(leadership.Next(kNow) == Leadership::Step::None);
  leadership.OnLeaseKept(kNow + 1400ms);
  CHECK(leadership.Next(kNow + 1400ms) == Leadership::Step::None);
  SECTION("taken over by this entry if no other did")
  {
    CHECK(leadership.Next(kNow + 1500ms) == Leadership::Step::CreateLeader);
  }
  SECTION("the delay restarts after another leader")
  {
    leadership.OnLeaderRecord(RecordOfOther(kLease + 1, kRevision));
    CHECK(leadership.Next(kNow + 1450ms) == Leadership::Step::None);
    leadership.OnLeaderRecord({});
    CHECK(leadership.Next(kNow + 1600ms) == Leadership::Step::None);
  }
}

TEST_CASE("leadership: an entry whose creation of the record got no response leads",
          "[gateway]")
{
  // Otherwise its record would keep all others from leading for as long as it lives.
  Leadership leadership(3300ms, false, kProcess, kIncarnation);
  leadership.OnLeaseGranted(kLease, Leadership::kLeaseTimeToLive, kNow, kNow);
  leadership.OnMemberWritten();
  leadership.OnLeaderRecord({});
  REQUIRE(leadership.Next(kNow) == Leadership::Step::CreateLeader);
  leadership.OnStepFailed(kNow);
  leadership.OnLeaderRecord({ true, leadership.OwnClaim(), kLease, kRevision });
  leadership.Next(kNow + 1s);
  leadership.OnLeaseKept(kNow + 4s);
  CHECK_FALSE(leadership.Token(kNow + 4200ms));
  CHECK(leadership.Token(kNow + 4400ms) == kRevision);
}

TEST_CASE("leadership: a restore of the store ends it, also if its lease is out again",
          "[gateway]")
{
  Leadership leadership(kGrace, true, kProcess, kIncarnation);
  leadership.SetGeneration(1);
  BecomeLeader(leadership);
  REQUIRE(leadership.Token(kNow));
  leadership.OnStoreRestored(2, 0ms, kNow);
  CHECK_FALSE(leadership.Token(kNow));
  // The lease's number belongs to the other entry now.
  leadership.OnLeaderRecord(RecordOfOther(kLease, kRevision, 2));
  CHECK(leadership.Next(kNow) == Leadership::Step::GrantLease);
  leadership.OnLeaseGranted(kLease, Leadership::kLeaseTimeToLive, kNow, kNow);
  leadership.OnLeaderRecord(RecordOfOther(kLease, kRevision, 2));
  leadership.Next(kNow);
  CHECK_FALSE(leadership.Token(kNow + kGrace));
}

TEST_CASE("leadership: a record at the revision of a lost one gives a higher token",
          "[gateway]")
{
  Leadership leadership(kGrace, true, kProcess, kIncarnation);
  leadership.SetGeneration(1);
  BecomeLeader(leadership);
  const auto lost = leadership.Token(kNow);
  leadership.OnStoreRestored(2, 0ms, kNow);
  Register(leadership, kLease, kNow);
  // Whether there is a leader is not known before the store was read.
  CHECK(leadership.Next(kNow) == Leadership::Step::None);
  leadership.OnLeaderRecord({});
  REQUIRE(leadership.Next(kNow) == Leadership::Step::CreateLeader);
  leadership.OnLeaderCreated(kRevision, kNow);
  // Another entry may have led in the lost part.
  CHECK_FALSE(leadership.Token(kNow));
  leadership.OnLeaseKept(kNow + kGrace);
  const auto token = leadership.Token(kNow + kGrace);
  REQUIRE(token);
  CHECK(token > lost);
  CHECK(FencingToken(3, 1) > *token);
}

TEST_CASE("leadership: a leader's record of a backup is replaced at once", "[gateway]")
{
  Leadership leadership(kGrace, false, kProcess, kIncarnation);
  leadership.SetGeneration(1);
  leadership.OnStoreRestored(2, 0ms, kNow);
  Register(leadership, kLease, kNow);
  SECTION("of another entry")
  {
    leadership.OnLeaderRecord(RecordOfOther(99, 12, 1));
    CHECK(leadership.Next(kNow) == Leadership::Step::CreateLeader);
    CHECK(leadership.ReplacedRevision() == 12);
  }
  SECTION("of this process, written late under its lost lease")
  {
    leadership.OnLeaderRecord({ true, { kProcess, kIncarnation, 2 }, kLease + 1, 12 });
    CHECK(leadership.Next(kNow) == Leadership::Step::CreateLeader);
    CHECK(leadership.ReplacedRevision() == 12);
  }
  SECTION("but not one of the restored store")
  {
    leadership.OnLeaderRecord(RecordOfOther(99, 12, 2));
    CHECK(leadership.Next(kNow) == Leadership::Step::None);
  }
  SECTION("nor one of an earlier program, which states no generation")
  {
    leadership.OnLeaderRecord({ true, gateway::ParseLeaderClaim("entry-2"), 99, 12 });
    CHECK(leadership.Next(kNow) == Leadership::Step::None);
  }
}

TEST_CASE("leadership: a record is claimed by process, start and lease, not by a number",
          "[gateway]")
{
  Leadership leadership(0ms, false, kProcess, kIncarnation);
  Register(leadership, kLease, kNow);
  LeaderRecord record{ true, leadership.OwnClaim(), kLease, kRevision };
  SECTION("of another process")
  {
    record.mClaim.mProcess = ids::ProcessId("entry-2");
  }
  SECTION("of an earlier start")
  {
    record.mClaim.mIncarnation = kIncarnation - 1;
  }
  SECTION("under another lease")
  {
    record.mLease = kLease + 1;
  }
  SECTION("of an earlier generation")
  {
    leadership.SetGeneration(1);
  }
  leadership.OnLeaderRecord(record);
  leadership.Next(kNow);
  CHECK_FALSE(leadership.Token(kNow));
}

TEST_CASE("leadership: without a generation no token is used that may have been before",
          "[gateway]")
{
  Leadership leadership(0ms, false, kProcess, kIncarnation);
  Register(leadership, kLease, kNow);
  leadership.OnLeaderRecord(RecordOfOther(99, kRevision));
  // The store gives its revisions out again and does not say so.
  leadership.OnStoreRestored(0, 0ms, kNow);
  Register(leadership, kLease, kNow);
  leadership.OnLeaderRecord({});
  REQUIRE(leadership.Next(kNow) == Leadership::Step::CreateLeader);
  leadership.OnLeaderCreated(kRevision, kNow);
  CHECK_FALSE(leadership.Token(kNow));
  // It writes the record again until its revision is new.
  const timing::Instant retry = kNow + Leadership::kRetryBackoff;
  REQUIRE(leadership.Next(retry) == Leadership::Step::CreateLeader);
  CHECK(leadership.ReplacedRevision() == kRevision);
  leadership.OnLeaderCreated(kRevision, retry);
  // Ever more rarely, since each write wakes all entries.
  CHECK(leadership.Next(retry + Leadership::kRetryBackoff) ==
        Leadership::Step::KeepLease);
  leadership.OnLeaseKept(retry + Leadership::kRetryBackoff);
  CHECK(leadership.Next(retry + Leadership::kRetryBackoff) == Leadership::Step::None);
  const timing::Instant next = retry + 2 * Leadership::kRetryBackoff;
  REQUIRE(leadership.Next(next) == Leadership::Step::CreateLeader);
  leadership.OnLeaderCreated(kRevision + 1, next);
  CHECK(leadership.Token(next) == kRevision + 1);
}

TEST_CASE("leadership: an entry's record that is lost is written again", "[gateway]")
{
  Leadership leadership(0ms, false, kProcess, kIncarnation);
  Register(leadership, kLease, kNow);
  leadership.OnMemberRecord(kLease, kNow);
  CHECK(leadership.Next(kNow) == Leadership::Step::None);
  SECTION("at once if it is gone")
  {
    leadership.OnMemberRecord(0, kNow);
    CHECK(leadership.Next(kNow) == Leadership::Step::WriteMember);
  }
  SECTION("after a while if a late write has replaced it")
  {
    leadership.OnMemberRecord(kLease + 1, kNow);
    CHECK(leadership.Next(kNow) == Leadership::Step::None);
    const timing::Instant due = kNow + Leadership::kMemberRewriteDelay;
    leadership.OnLeaseKept(due);
    CHECK(leadership.Next(due) == Leadership::Step::WriteMember);
  }
}

TEST_CASE("leadership: the claim of the leader's record survives its text", "[gateway]")
{
  const gateway::LeaderClaim claim{ kProcess, kIncarnation, 3 };
  CHECK(gateway::ParseLeaderClaim(gateway::FormatLeaderClaim(claim)) == claim);
  const auto odd = GENERATE("entry-1",
                            "entry-1\n",
                            "entry-1\n7",
                            "entry-1\n7 ",
                            "entry-1\n7 -1\n",
                            "entry-1\nx 1\n",
                            "entry-1\n7 1\nmore");
  CHECK(gateway::ParseLeaderClaim(odd) == gateway::LeaderClaim{ kProcess, 0, 0 });
}

TEST_CASE("leadership: a grant without a lease binds no records", "[gateway]")
{
  Leadership leadership(0ms, true, kProcess, kIncarnation);
  REQUIRE(leadership.Next(kNow) == Leadership::Step::GrantLease);
  leadership.OnLeaseGranted(0, Leadership::kLeaseTimeToLive, kNow, kNow);
  CHECK(leadership.Next(kNow) == Leadership::Step::None);
  CHECK(leadership.Next(kNow + Leadership::kRetryBackoff) ==
        Leadership::Step::GrantLease);
}

TEST_CASE("leadership: a lease that the store shortens ends the leadership in time",
          "[gateway]")
{
  Leadership leadership(0ms, true, kProcess, kIncarnation);
  leadership.OnLeaseGranted(kLease, 1200ms, kNow, kNow);
  leadership.OnMemberWritten();
  leadership.OnLeaderRecord({});
  REQUIRE(leadership.Next(kNow) == Leadership::Step::CreateLeader);
  leadership.OnLeaderCreated(kRevision, kNow);
  CHECK(leadership.Token(kNow + 700ms));
  CHECK_FALSE(leadership.Token(kNow + 800ms));
  // It is renewed before.
  CHECK(leadership.Next(kNow + 400ms) == Leadership::Step::KeepLease);
}
