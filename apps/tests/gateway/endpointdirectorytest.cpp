#include <catch2/catch.hpp>

#include "components/gateway/endpointdirectory.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kNow{ 1h };
const ids::EndpointId kId("e1");
const ids::AvailabilityZoneId kZone("z1");

EndpointReport Report(std::int64_t aIncarnation)
{
  EndpointReport report;
  report.mId = kId;
  report.mIncarnation = aIncarnation;
  report.mService = ids::ServiceId("s");
  report.mZone = kZone;
  report.mSlots = 4;
  return report;
}

}

TEST_CASE("directory: a report of an earlier incarnation is ignored", "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(2), kNow);
  EndpointReport old = Report(1);
  old.mDraining = true;
  directory.Update(old, kNow);
  CHECK(directory.IsUsable(*directory.Find(kId), kNow));
}

TEST_CASE("directory: a start in the future does not lock out the true one", "[gateway]")
{
  constexpr std::int64_t kLatestStart = 1000;
  EndpointDirectory directory;
  directory.Update(Report(1001), kNow, kLatestStart);
  directory.Find(kId)->mConsecutiveFailures = 3;
  directory.Update(Report(999), kNow, kLatestStart);
  CHECK(directory.Find(kId)->mReport.mIncarnation == 999);
  CHECK(directory.Find(kId)->mConsecutiveFailures == 0);
  directory.Update(Report(998), kNow, kLatestStart);
  CHECK(directory.Find(kId)->mReport.mIncarnation == 999);
  directory.Update(Report(1000), kNow, kLatestStart);
  directory.Update(Report(999), kNow, kLatestStart);
  CHECK(directory.Find(kId)->mReport.mIncarnation == 1000);
}

TEST_CASE("directory: a removed endpoint is usable again once its record is back",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(2), kNow);
  directory.Find(kId)->mOwnLoad.mRequests = GENERATE(0U, 1U);
  directory.Remove(kId, false, kNow);
  directory.Tick(kNow + 1s);
  directory.Update(Report(2), kNow + 1s);
  CHECK(directory.IsUsable(*directory.Find(kId), kNow + 1s));
}

TEST_CASE("directory: a draining or removed endpoint gets no work", "[gateway]")
{
  EndpointDirectory directory;
  EndpointReport report = Report(1);
  report.mDraining = true;
  directory.Update(report, kNow);
  CHECK_FALSE(directory.IsUsable(*directory.Find(kId), kNow));

  directory.Update(Report(1), kNow);
  directory.Remove(kId, false, kNow);
  CHECK_FALSE(directory.IsUsable(*directory.Find(kId), kNow));
}

TEST_CASE("directory: an endpoint that says it is leaving gets no work until it restarts",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  CHECK_FALSE(directory.MarkLeaving(kId, 0, kNow));
  CHECK(directory.IsUsable(*directory.Find(kId), kNow));
  CHECK(directory.MarkLeaving(kId, 1, kNow));
  CHECK_FALSE(directory.MarkLeaving(kId, 1, kNow));
  CHECK_FALSE(directory.IsUsable(*directory.Find(kId), kNow));
  SECTION("though its record says that it is ready")
  {
    directory.Update(Report(1), kNow + 1s);
    CHECK_FALSE(directory.IsUsable(*directory.Find(kId), kNow + 1s));
  }
  SECTION("though its record expires and comes back")
  {
    directory.Remove(kId, GENERATE(true, false), kNow);
    directory.Tick(kNow + 1min);
    directory.Update(Report(1), kNow + 1min);
    CHECK_FALSE(directory.IsUsable(*directory.Find(kId), kNow + 1min));
  }
  SECTION("and is forgotten at last")
  {
    directory.Remove(kId, false, kNow);
    directory.Tick(kNow + EndpointDirectory::kLeavingMemory);
    CHECK(directory.Find(kId) == nullptr);
  }
  SECTION("after which it is another process")
  {
    directory.Update(Report(2), kNow + 1s);
    CHECK(directory.IsUsable(*directory.Find(kId), kNow + 1s));
    CHECK_FALSE(directory.MarkLeaving(kId, 1, kNow + 1s));
    CHECK(directory.IsUsable(*directory.Find(kId), kNow + 1s));
  }
}

TEST_CASE("directory: a pause holds though the record expires, and ends with a restart",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  directory.Pause(kId, 0, kNow + 5s);
  CHECK(directory.TakesRequests(kId, kNow));
  directory.Pause(kId, 1, kNow + 5s);
  directory.Pause(kId, 1, kNow + 1s);
  CHECK_FALSE(directory.TakesRequests(kId, kNow + 4999ms));
  CHECK(directory.TakesRequests(kId, kNow + 5s));
  SECTION("record")
  {
    directory.Remove(kId, false, kNow);
    directory.Tick(kNow + 1s);
    directory.Update(Report(1), kNow + 1s);
    CHECK_FALSE(directory.TakesRequests(kId, kNow + 2s));
  }
  SECTION("restart")
  {
    directory.Update(Report(2), kNow + 1s);
    CHECK(directory.TakesRequests(kId, kNow + 2s));
  }
}

TEST_CASE(
  "directory: an endpoint whose record expired in an outage stays usable for a while",
  "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  directory.Remove(kId, true, kNow);
  CHECK(directory.IsUsable(*directory.Find(kId), kNow + 1s));
  CHECK_FALSE(directory.IsUsable(*directory.Find(kId), kNow + 2s));

  SECTION("unless it comes back")
  {
    directory.Update(Report(1), kNow + 1s);
    CHECK(directory.IsUsable(*directory.Find(kId), kNow + 10s));
  }
  SECTION("and is erased afterwards")
  {
    directory.Tick(kNow + 2s);
    CHECK(directory.Find(kId) == nullptr);
  }
}

TEST_CASE("directory: a zone that is out gets no work and is limited after its return",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  directory.SetZoneOut(kZone, true, kNow);
  CHECK_FALSE(directory.IsUsable(*directory.Find(kId), kNow));
  directory.SetZoneOut(kZone, false, kNow + 5s);
  CHECK(directory.IsUsable(*directory.Find(kId), kNow + 5s));
  CHECK(directory.Find(kId)->mRampUntil > kNow + 5s);
}

TEST_CASE("directory: an adapter loaded by the leader counts until the report shows it",
          "[gateway]")
{
  EndpointDirectory directory;
  EndpointReport report = Report(1);
  report.mModels[ids::ModelId("m")];
  directory.Update(report, kNow);
  const std::uint64_t key = HashName("m/a1");
  directory.RecordLoadedAdapter({ HashName("e1"), key }, kNow);
  CHECK(directory.Find(kId)->HoldsAdapter(ids::ModelId("m"), "a1", key));
  directory.Tick(kNow + EndpointDirectory::kLoadedAdapterLifetime);
  CHECK_FALSE(directory.Find(kId)->HoldsAdapter(ids::ModelId("m"), "a1", key));
}

TEST_CASE("directory: a backup of the store brings no endpoint back that leaves",
          "[gateway]")
{
  EndpointDirectory directory;
  EndpointReport leaving = Report(2);
  leaving.mDraining = true;
  directory.Update(leaving, kNow);
  directory.OnStoreRestored(kNow);
  directory.Update(Report(2), kNow);
  directory.OnRestoredRead();
  directory.Update(Report(2), kNow + 1s);
  CHECK_FALSE(directory.TakesRequests(kId, kNow + 1s));
  // A new start under the same name.
  directory.Update(Report(3), kNow + 2s);
  CHECK(directory.TakesRequests(kId, kNow + 2s));
}

TEST_CASE("directory: an endpoint that has gone gets no requests from a backup",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(2), kNow);
  directory.Remove(kId, false, kNow);
  directory.Tick(kNow + 1s);
  REQUIRE(directory.Find(kId) == nullptr);
  directory.OnStoreRestored(kNow + 2s);
  directory.Update(Report(2), kNow + 2s);
  directory.OnRestoredRead();
  CHECK_FALSE(directory.TakesRequests(kId, kNow + 2s));
  SECTION("unless it writes its record again")
  {
    directory.Remove(kId, false, kNow + 3s);
    directory.Update(Report(2), kNow + 10s);
    CHECK(directory.TakesRequests(kId, kNow + 10s));
  }
  SECTION("but its record stays only if it runs")
  {
    CHECK(
      directory.TakesRequests(kId, kNow + 2s + EndpointDirectory::kEndedRecordLifetime));
  }
}

TEST_CASE("directory: a zone that is out stays out of a backup that lacks it",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  directory.SetZoneOut(kZone, true, kNow);
  directory.RetainZonesOut({}, kNow + 3s, kNow);
  CHECK_FALSE(directory.TakesRequests(kId, kNow));
  SECTION("until the operator has written it again and takes it back")
  {
    directory.SetZoneOut(kZone, true, kNow + 1s);
    directory.ConfirmZones(kNow + 4s, kNow + 4s);
    CHECK_FALSE(directory.TakesRequests(kId, kNow + 4s));
    directory.SetZoneOut(kZone, false, kNow + 4s);
  }
  SECTION("or has had the time for it")
  {
    // Another complete read, as the history was lost.
    directory.RetainZonesOut({}, kNow + 3s, kNow + 2s);
    // What the operator wrote in time may not have been reported yet.
    directory.ConfirmZones(kNow + 2900ms, kNow + 3500ms);
    CHECK_FALSE(directory.TakesRequests(kId, kNow + 3500ms));
    directory.ConfirmZones(kNow + 3s, kNow + 3600ms);
  }
  CHECK(directory.TakesRequests(kId, kNow + 4s));
}
