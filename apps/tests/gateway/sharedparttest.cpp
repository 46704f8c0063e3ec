#include <algorithm>
#include <array>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "apps/samphiresail/gateway/recordkeys.hpp"
#include "components/gateway/peercodec.hpp"
#include "components/gateway/requestidentity.hpp"
#include "components/gateway/requestquarantine.hpp"

using namespace samphiresail;
using namespace samphiresail::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kFirst = 1;
constexpr std::uint64_t kSecond = 2;

/// Returns a request with the shared parts and a last part of its own.
RequestMetadata Request(std::vector<std::uint64_t> aShared, std::uint64_t aOwn)
{
  RequestMetadata request;
  aShared.push_back(aOwn);
  std::ranges::transform(
    aShared, std::back_inserter(request.mPromptParts), [](std::uint64_t aPart) {
      return PromptPart{ aPart, 10 };
    });
  request.mIdentity = RequestIdentity({ "POST", "/generate", {} }, request);
  return request;
}

/// Entries that hear each other unless they are cut off, and engines that end under
/// requests with all parts of one of the deadly sets.
struct Fleet
{
  std::vector<RequestQuarantine> mEntries;
  std::vector<std::vector<std::uint64_t>> mDeadly{ { kSecond } };
  std::optional<std::size_t> mCutOff;
  timing::Instant mNow{ seconds(1000) };
  std::uint64_t mNextRequest{ 100000 };
  std::uint64_t mNextEngine{ 1 };
  int mEnds{ 0 };

  explicit Fleet(std::size_t aEntries = 3)
  {
    for (std::size_t i = 0; i < aEntries; ++i) {
      mEntries.emplace_back(i + 1);
    }
  }

  void Advance(timing::Duration aTime)
  {
    for (const timing::Instant end = mNow + aTime; mNow < end; mNow += milliseconds(20)) {
      for (std::size_t from = 0; from < mEntries.size(); ++from) {
        mEntries[from].Tick(mNow);
        if (mEntries[from].IsReportDue(mNow)) {
          Exchange(from);
        }
      }
    }
  }
  void Exchange(std::size_t aFrom)
  {
    PeerReport report;
    report.mProcess = ids::ProcessId("p");
    report.mFindings = mEntries[aFrom].Report(mNow);
    const auto received = DecodePeerReport(EncodePeerReport(report));
    REQUIRE(received);
    for (std::size_t to = 0; to < mEntries.size(); ++to) {
      if (to != aFrom && mCutOff != aFrom && mCutOff != to) {
        mEntries[to].Merge(received->mFindings, mNow);
      }
    }
  }

  bool IsDeadly(const RequestMetadata& aRequest) const
  {
    const auto has = [&](std::uint64_t aPart) {
      return std::ranges::count(aRequest.mPromptParts, aPart, &PromptPart::mId) > 0;
    };
    return std::ranges::any_of(
      mDeadly, [&](const auto& aParts) { return std::ranges::all_of(aParts, has); });
  }
  /// Ends an engine that had the requests.
  void Crash(std::size_t aEntry, const std::vector<RequestMetadata>& aRequests)
  {
    const std::uint64_t engine = mNextEngine++;
    for (const RequestMetadata& request : aRequests) {
      mEntries[aEntry].OnBroken(engine, request, mNow);
    }
    mEntries[aEntry].OnConnectionRefused(engine, mNow);
    ++mEnds;
  }
  void CrashUnder(std::vector<std::uint64_t> aShared, std::size_t aEntry = 0)
  {
    Crash(aEntry, { Request(std::move(aShared), mNextRequest++) });
  }
  void Answer(std::vector<std::uint64_t> aShared, std::size_t aEntry = 0)
  {
    mEntries[aEntry].OnSound(Request(std::move(aShared), mNextRequest++), mNow);
  }
  /// Sends a request if the entry allows it, and returns whether it did.
  bool Send(std::vector<std::uint64_t> aShared, std::size_t aEntry = 0)
  {
    return Send(Request(std::move(aShared), mNextRequest++), aEntry);
  }
  bool Send(const RequestMetadata& aRequest, std::size_t aEntry = 0)
  {
    RequestQuarantine& entry = mEntries[aEntry];
    if (entry.BlockOf(aRequest, mNow) && !entry.TryTest(aRequest, mNow)) {
      return false;
    }
    const CrashEvidence::Causes tested = entry.CausesTested(aRequest);
    if (!tested.empty() && !entry.TryTestCauses(tested, mNow)) {
      return false;
    }
    if (IsDeadly(aRequest)) {
      Crash(aEntry, { aRequest });
    } else {
      entry.OnSound(aRequest, mNow);
    }
    return true;
  }
  bool Blocks(const std::vector<std::uint64_t>& aShared, std::size_t aEntry = 0)
  {
    return mEntries[aEntry].BlockOf(Request(aShared, 5), mNow).has_value();
  }
  /// Five ends, 0.3 s apart, at different entries.
  void FiveEnds(const std::vector<std::uint64_t>& aShared)
  {
    for (std::size_t i = 0; i < 5; ++i) {
      CrashUnder(aShared, i % mEntries.size());
      Advance(milliseconds(300));
    }
    REQUIRE(Blocks(aShared));
    Advance(RequestQuarantine::kMaxFirstTestDelay);
  }
};

}

TEST_CASE("shared part: a sound request with it is served and acquits it", "[gateway]")
{
  Fleet fleet;
  SECTION("nothing was answered before") {}
  SECTION("both parts were answered 60 s before")
  {
    fleet.Answer({ kFirst, 30 });
    fleet.Answer({ kSecond, 31 });
    fleet.Advance(seconds(60));
  }
  fleet.FiveEnds({ kFirst, kSecond });
  CHECK(fleet.mEntries[0].Size() == 1);
  CHECK(fleet.Send({ kFirst, 20 }));
  fleet.Advance(milliseconds(100));
  for (std::size_t entry = 0; entry < 3; ++entry) {
    CHECK_FALSE(fleet.Blocks({ kFirst, 21 }, entry));
    CHECK(fleet.Blocks({ kSecond, 22 }, entry));
    CHECK(fleet.mEntries[entry].Size() == 1);
    CHECK(fleet.Send({ kFirst, 20 }, entry));
    CHECK(fleet.Send({ kFirst, 23 }, entry));
  }
  CHECK(fleet.mEnds == 5);
}

TEST_CASE("shared part: one test at a time is sent over all entries", "[gateway]")
{
  Fleet fleet(29);
  fleet.mDeadly = { { kFirst } };
  fleet.FiveEnds({ kFirst, kSecond });
  // No answer and no end is known for a while.
  int sent = 0;
  for (int i = 0; i < 25; ++i) {
    for (RequestQuarantine& entry : fleet.mEntries) {
      const auto tested = entry.CausesTested(Request({ kFirst, 20 }, 21));
      CHECK(tested == CrashEvidence::Causes{ kFirst, kSecond });
      sent += entry.TryTestCauses(tested, fleet.mNow) ? 1 : 0;
      fleet.Advance(milliseconds(20));
    }
  }
  // 14.5 s with tests at 0, 1, 3 and 7 s.
  CHECK(sent == 4);
}

TEST_CASE("shared part: if it is the deadly one itself, one more end tells", "[gateway]")
{
  Fleet fleet;
  fleet.mDeadly = { { kFirst } };
  fleet.FiveEnds({ kFirst, kSecond });
  CHECK(fleet.Send({ kFirst, 20 }));
  CHECK_FALSE(fleet.Send({ kFirst, 20 }, 0));
  fleet.Advance(milliseconds(200));
  for (std::size_t entry = 0; entry < 3; ++entry) {
    CHECK(fleet.Blocks({ kFirst, 21 }, entry));
    CHECK_FALSE(fleet.Blocks({ kSecond, 21 }, entry));
    CHECK(fleet.mEntries[entry].Size() == 1);
  }
  // The other one is watched until one request with it is answered.
  fleet.Advance(seconds(2));
  CHECK(fleet.Send({ kSecond, 20 }));
  fleet.Advance(milliseconds(100));
  CHECK(fleet.mEntries[2].CausesTested(Request({ kSecond }, 21)).empty());
  CHECK(fleet.mEnds == 6);
}

TEST_CASE("shared part: two parts of one prompt that are both deadly", "[gateway]")
{
  Fleet fleet;
  fleet.mDeadly = { { kFirst }, { kSecond } };
  fleet.FiveEnds({ kFirst, kSecond });
  int late = 0;
  for (int i = 0; i < 1000; ++i) {
    late += fleet.Send({ kFirst, 20 }, i % 3) && i > 150 ? 1 : 0;
    late += fleet.Send({ kSecond, 21 }, (i + 1) % 3) && i > 150 ? 1 : 0;
    fleet.Send({ kFirst, kSecond }, (i + 2) % 3);
    fleet.Advance(milliseconds(20));
  }
  CHECK(late <= 3);
  CHECK(fleet.Blocks({ kFirst }));
  CHECK(fleet.Blocks({ kSecond }));
  CHECK(fleet.mEntries[0].Size() == 2);
}

TEST_CASE("shared part: deadly parts of two routes are two verdicts", "[gateway]")
{
  Fleet fleet;
  fleet.mDeadly = { { kSecond }, { 12 } };
  for (std::size_t i = 0; i < 5; ++i) {
    fleet.CrashUnder({ kFirst, kSecond }, i % 3);
    fleet.Advance(milliseconds(200));
    fleet.CrashUnder({ 11, 12 }, i % 3);
    fleet.Advance(milliseconds(200));
  }
  fleet.Advance(seconds(1));
  CHECK(fleet.mEntries[0].Size() == 2);
  CHECK(fleet.Send({ kFirst, 20 }, 1));
  fleet.Advance(milliseconds(100));
  CHECK(fleet.Send({ 11, 20 }, 2));
  fleet.Advance(milliseconds(100));
  for (std::size_t entry = 0; entry < 3; ++entry) {
    CHECK(fleet.Blocks({ kSecond }, entry));
    CHECK(fleet.Blocks({ 12 }, entry));
    CHECK_FALSE(fleet.Blocks({ kFirst, 11, 20 }, entry));
  }
}

TEST_CASE("shared part: a whole request is refused before its parts", "[gateway]")
{
  Fleet fleet;
  const RequestMetadata deadly = Request({ kFirst, kSecond }, 77);
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.Crash(i, { deadly });
    fleet.Advance(milliseconds(300));
  }
  CHECK(fleet.mEntries[0].BlockOf(deadly, fleet.mNow));
  CHECK_FALSE(fleet.Blocks({ kFirst, kSecond }));
  CHECK(fleet.mEntries[0].CausesTested(Request({ kFirst, kSecond }, 78)).empty());
}

TEST_CASE("shared part: of whole requests that are tied, one test tells", "[gateway]")
{
  Fleet fleet;
  const RequestMetadata first = Request({ kFirst }, 77);
  const RequestMetadata second = Request({ kFirst }, 78);
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.Answer({ kFirst, 20 });
    fleet.Crash(i % 3, { first, second });
    fleet.Advance(milliseconds(300));
  }
  fleet.Advance(milliseconds(300));
  fleet.mDeadly = { { 77 } };
  REQUIRE(fleet.mEntries[0].Size() == 1);
  CHECK(fleet.Send(second, 1));
  fleet.Advance(milliseconds(200));
  CHECK(fleet.mEntries[2].BlockOf(first, fleet.mNow));
  CHECK_FALSE(fleet.mEntries[2].BlockOf(second, fleet.mNow));
  CHECK(fleet.mEnds == 4);
}

TEST_CASE("shared part: parts that were sound and one that becomes deadly", "[gateway]")
{
  Fleet fleet;
  for (int i = 0; i < 50; ++i) {
    fleet.Answer({ kFirst, kSecond }, i % 3);
    fleet.Advance(milliseconds(100));
  }
  int served = 0;
  for (int i = 0; i < 500; ++i) {
    fleet.Send({ kFirst, kSecond }, i % 3);
    served += fleet.Send({ kFirst, 20 }, (i + 1) % 3) ? 1 : 0;
    fleet.Advance(milliseconds(100));
  }
  CHECK(fleet.Blocks({ kSecond }));
  CHECK_FALSE(fleet.Blocks({ kFirst }));
  CHECK(served > 450);
}

TEST_CASE("shared part: an end that half of the fleet has told blames nothing alone",
          "[gateway]")
{
  Fleet fleet;
  for (std::size_t i = 0; i < 2; ++i) {
    fleet.CrashUnder({ kFirst, kSecond }, i);
    fleet.Advance(milliseconds(300));
  }
  // This entry had a sound request at the engine, another one the deadly request.
  const std::uint64_t engine = fleet.mNextEngine;
  fleet.CrashUnder({ kFirst, 20 }, 2);
  CHECK_FALSE(fleet.Blocks({ kFirst }, 2));
  fleet.mNextEngine = engine;
  fleet.CrashUnder({ kFirst, kSecond }, 0);
  fleet.Advance(milliseconds(400));
  CHECK_FALSE(fleet.Blocks({ kFirst }, 2));
  CHECK_FALSE(fleet.Blocks({ kFirst }, 0));
}

TEST_CASE("shared part: an entry with the record alone narrows it by an answer",
          "[gateway]")
{
  Fleet fleet;
  fleet.FiveEnds({ kFirst, kSecond });
  RequestQuarantine late(99);
  const auto created = fleet.mEntries[0].RecordChanges(true, fleet.mNow);
  REQUIRE(created.size() == 1);
  REQUIRE(created[0].mCreate);
  const auto record = gatewayapp::ParseQuarantineRecord(
    gatewayapp::FormatQuarantineRecord({ "writer", created[0].mCauses }));
  CHECK(record.mWriter == "writer");
  const auto read = [&](RequestQuarantine& aEntry, bool aOwn) {
    aEntry.OnRecord(created[0].mVerdict, true, aOwn, fleet.mNow, record.mCauses);
  };
  read(fleet.mEntries[0], true);
  read(late, false);
  CHECK(late.BlockOf(Request({ kFirst, kSecond }, 5), fleet.mNow));
  CHECK_FALSE(late.BlockOf(Request({ kFirst }, 5), fleet.mNow));

  // It has the record of the narrower verdict written before it deletes the other.
  late.OnSound(Request({ kFirst, 20 }, 6), fleet.mNow);
  CHECK(late.BlockOf(Request({ kSecond }, 5), fleet.mNow));
  const auto narrowed = late.RecordChanges(true, fleet.mNow);
  REQUIRE(narrowed.size() == 1);
  CHECK((narrowed[0].mCreate && narrowed[0].mVerdict == kSecond));
  late.OnRecord(kSecond, true, true, fleet.mNow, narrowed[0].mCauses);
  const auto deleted = late.RecordChanges(true, fleet.mNow);
  REQUIRE(deleted.size() == 1);
  CHECK((!deleted[0].mCreate && deleted[0].mVerdict == created[0].mVerdict));

  // An entry that has heard of no answer follows by the store alone.
  fleet.mEntries[0].OnRecord(kSecond, true, false, fleet.mNow);
  fleet.mEntries[0].OnRecord(created[0].mVerdict, false, false, fleet.mNow);
  CHECK(fleet.Blocks({ kSecond }));
  CHECK_FALSE(fleet.Blocks({ kFirst }));
}

TEST_CASE("shared part: a record of the form before is one cause", "[gateway]")
{
  const auto record = gatewayapp::ParseQuarantineRecord("entry-7");
  CHECK(record.mWriter == "entry-7");
  CHECK(record.mCauses.empty());
  CHECK(gatewayapp::FormatQuarantineRecord({ "entry-7", { kSecond } }) == "entry-7");
  RequestQuarantine entry(1);
  const timing::Instant now{ seconds(1000) };
  entry.OnRecord(kSecond, true, false, now, record.mCauses);
  CHECK(entry.BlockOf(Request({ kFirst, kSecond }, 5), now));
  CHECK(entry.CausesTested(Request({ kFirst }, 5)).empty());
  CHECK(entry.RecordChanges(true, now).empty());
}

TEST_CASE("shared part: an entry that is cut off tests by itself", "[gateway]")
{
  Fleet fleet;
  fleet.FiveEnds({ kFirst, kSecond });
  fleet.mCutOff = 2;
  CHECK(fleet.Send({ kFirst, 20 }, 0));
  fleet.Advance(milliseconds(200));
  CHECK(fleet.Send({ kFirst, 20 }, 2));
  CHECK(fleet.Send({ kFirst, 21 }, 2));
  CHECK(fleet.Blocks({ kSecond }, 2));
  CHECK(fleet.mEnds == 5);
}

TEST_CASE("shared part: an end that another request may have caused blames it not alone",
          "[gateway]")
{
  Fleet fleet;
  fleet.FiveEnds({ kFirst, kSecond });
  fleet.Crash(1, { Request({ kFirst }, 20), Request({ 11, 12 }, 30) });
  fleet.Advance(milliseconds(200));
  CHECK_FALSE(fleet.Blocks({ kFirst }));
  fleet.Crash(2, { Request({ kFirst }, 21), Request({ 13, 14 }, 31) });
  fleet.Advance(milliseconds(200));
  CHECK(fleet.Blocks({ kFirst }));
}

TEST_CASE("shared part: tests that have not run delay none at any entry", "[gateway]")
{
  Fleet fleet;
  fleet.FiveEnds({ kFirst, kSecond });
  const RequestMetadata partial = Request({ kFirst, 7 }, 20);
  const RequestMetadata full = Request({ kFirst, kSecond }, 21);
  RequestQuarantine& first = fleet.mEntries[0];
  RequestQuarantine& second = fleet.mEntries[1];
  SECTION("of some causes")
  {
    for (int i = 0; i < 5; ++i) {
      const CrashEvidence::Causes tested = first.CausesTested(partial);
      const timing::Instant began = fleet.mNow;
      REQUIRE(first.TryTestCauses(tested, began));
      CHECK_FALSE(first.TryTestCauses(tested, began));
      fleet.Advance(milliseconds(40));
      CHECK_FALSE(second.TryTestCauses(tested, fleet.mNow));
      first.OnTestNotRun(tested, false, began, fleet.mNow);
      fleet.Advance(milliseconds(900));
    }
    CHECK(second.TryTestCauses(second.CausesTested(partial), fleet.mNow));
  }
  SECTION("of all causes")
  {
    fleet.Advance(RequestQuarantine::kFirstTest + RequestQuarantine::kOtherTestDelay);
    const timing::Instant began = fleet.mNow;
    REQUIRE(first.TryTest(full, began));
    fleet.Advance(milliseconds(40));
    CHECK_FALSE(second.IsTestDue(full, fleet.mNow));
    first.OnTestNotRun(first.BlockingCauses(full), true, began, fleet.mNow);
    fleet.Advance(milliseconds(900));
    CHECK(first.IsTestDue(full, fleet.mNow));
    CHECK(second.IsTestDue(full, fleet.mNow));
  }
}

TEST_CASE("shared part: a verdict narrowed twice keeps a record until the last has one",
          "[gateway]")
{
  Fleet fleet;
  fleet.FiveEnds({ kFirst, kSecond, 3 });
  RequestQuarantine& entry = fleet.mEntries[0];
  const auto written = entry.RecordChanges(true, fleet.mNow);
  REQUIRE(written.size() == 1);
  entry.OnRecord(written[0].mVerdict, true, true, fleet.mNow, written[0].mCauses);
  fleet.Answer({ kFirst, 3 });
  const auto changes = entry.RecordChanges(true, fleet.mNow);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].mCreate);
  CHECK(changes[0].mVerdict == kSecond);
  entry.OnRecord(kSecond, true, true, fleet.mNow);
  const auto deletions = entry.RecordChanges(true, fleet.mNow);
  REQUIRE(deletions.size() == 1);
  CHECK_FALSE(deletions[0].mCreate);
  CHECK(deletions[0].mVerdict == written[0].mVerdict);
}

TEST_CASE("shared part: a record that cannot be read shuts out no part", "[gateway]")
{
  CHECK(gatewayapp::ParseQuarantineRecord("w\n1,zz").mMalformed);
  const CrashEvidence::Causes causes{ kFirst, kSecond };
  const auto record = gatewayapp::ParseQuarantineRecord("w\n1,2");
  CHECK(gatewayapp::IsRecordOf(record, VerdictId(causes)));
  CHECK_FALSE(gatewayapp::IsRecordOf(record, kFirst));
  CHECK(gatewayapp::IsRecordOf(gatewayapp::ParseQuarantineRecord("w"), kFirst));
}
