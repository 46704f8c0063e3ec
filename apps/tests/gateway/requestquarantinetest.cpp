#include <algorithm>
#include <array>
#include <random>

#include <catch2/catch.hpp>

#include "components/gateway/requestidentity.hpp"
#include "components/gateway/requestquarantine.hpp"

using namespace samphiresail;
using namespace samphiresail::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSystemPart = 1;
constexpr std::uint64_t kDeadlyPart = 666;

/// Returns a request with the parts, which differs from requests with other parts.
RequestMetadata Prompt(const std::vector<std::uint64_t>& aParts)
{
  RequestMetadata request;
  for (const std::uint64_t part : aParts) {
    request.mPromptParts.push_back({ part, 10 });
  }
  request.mIdentity = RequestIdentity({ "POST", "/generate", {} }, request);
  return request;
}

/// One entry whose engines end, with a clock.
struct Entry
{
  RequestQuarantine mQuarantine{ 7 };
  timing::Instant mNow{ seconds(1000) };
  std::uint64_t mNextRequest{ 100000 };

  void Advance(timing::Duration aTime)
  {
    mNow += aTime;
    mQuarantine.Tick(mNow);
  }
  /// Ends an engine that had requests with these shared parts.
  void Crash(std::uint64_t aEngine,
             const std::vector<std::vector<std::uint64_t>>& aShared)
  {
    for (const std::vector<std::uint64_t>& shared : aShared) {
      std::vector<std::uint64_t> parts = shared;
      parts.push_back(mNextRequest++);
      mQuarantine.OnBroken(aEngine, Prompt(parts), mNow);
    }
    mQuarantine.TryProbe(aEngine, mNow);
    mQuarantine.OnConnectionRefused(aEngine, mNow);
  }
  void Sound(std::uint64_t aPart) { mQuarantine.OnSound(Prompt({ aPart, 5 }), mNow); }
  bool Blocks(std::uint64_t aPart)
  {
    return mQuarantine.BlockOf(Prompt({ aPart, 5 }), mNow).has_value();
  }
};

}

TEST_CASE_METHOD(Entry,
                 "quarantine: a part that every crash had in common is refused",
                 "[gateway]")
{
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    Sound(kSystemPart);
    CHECK_FALSE(Blocks(kDeadlyPart));
    Crash(engine, { { kSystemPart, kDeadlyPart }, { kSystemPart, 1000 + engine } });
    Advance(milliseconds(300));
  }
  CHECK(Blocks(kDeadlyPart));
  CHECK_FALSE(Blocks(kSystemPart));
  CHECK_FALSE(Blocks(1001));
}

TEST_CASE_METHOD(
  Entry,
  "quarantine: no shared part is refused for engines that end together by chance",
  "[gateway]")
{
  SECTION("a part in steady use")
  {
    Sound(kSystemPart);
    Advance(milliseconds(500));
    for (std::uint64_t engine = 1; engine <= 8; ++engine) {
      Crash(engine, { { kSystemPart, 20 }, { kSystemPart, 30 } });
    }
  }
  SECTION("a part that was last in use some time ago")
  {
    Sound(kSystemPart);
    Sound(20);
    Advance(seconds(20));
    for (std::uint64_t engine = 1; engine <= 8; ++engine) {
      Crash(engine, { { kSystemPart, 20 }, { kSystemPart, 20 } });
    }
  }
  SECTION("a part in use between crashes of single engines")
  {
    for (std::uint64_t engine = 1; engine <= 8; ++engine) {
      Crash(engine, { { kSystemPart }, { kSystemPart } });
      Advance(seconds(3));
      Sound(kSystemPart);
    }
  }
  CHECK_FALSE(Blocks(kSystemPart));
  CHECK_FALSE(Blocks(20));
  CHECK_FALSE(Blocks(30));
}

TEST_CASE_METHOD(
  Entry,
  "quarantine: a sound part that came with the one at fault each time is not refused",
  "[gateway]")
{
  SECTION("it was sound some time before")
  {
    Sound(kSystemPart);
    Advance(seconds(30));
  }
  SECTION("it is known as sound later")
  {
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
      Crash(engine, { { kSystemPart, kDeadlyPart } });
      Advance(seconds(1));
    }
    CHECK_FALSE(Blocks(kDeadlyPart));
    Sound(kSystemPart);
  }
  for (std::uint64_t engine = 4; engine <= 7; ++engine) {
    Crash(engine, { { kSystemPart, kDeadlyPart } });
    Advance(seconds(1));
  }
  CHECK(Blocks(kDeadlyPart));
  CHECK_FALSE(Blocks(kSystemPart));
}

TEST_CASE_METHOD(Entry,
                 "quarantine: parts that cannot be told apart are refused together after "
                 "five",
                 "[gateway]")
{
  for (std::uint64_t engine = 1; engine <= 4; ++engine) {
    Crash(engine, { { 40, kDeadlyPart } });
    Advance(milliseconds(300));
  }
  CHECK_FALSE(mQuarantine.BlockOf(Prompt({ 40, kDeadlyPart, 5 }), mNow));
  Crash(5, { { 40, kDeadlyPart } });
  Advance(milliseconds(100));
  const auto block = mQuarantine.BlockOf(Prompt({ 40, kDeadlyPart, 5 }), mNow);
  REQUIRE(block);
  CHECK(block->mCauses == std::vector<std::uint64_t>{ 40, kDeadlyPart });
  CHECK_FALSE(Blocks(kDeadlyPart));
  CHECK_FALSE(Blocks(40));
}

TEST_CASE_METHOD(Entry,
                 "quarantine: a part that turned from sound to deadly is refused",
                 "[gateway]")
{
  Sound(kDeadlyPart);
  for (std::uint64_t engine = 1; engine <= 5; ++engine) {
    Advance(milliseconds(1500));
    Sound(kSystemPart);
    Crash(engine, { { kSystemPart, kDeadlyPart } });
  }
  CHECK(Blocks(kDeadlyPart));
  CHECK_FALSE(Blocks(kSystemPart));
}

TEST_CASE_METHOD(Entry,
                 "quarantine: broken responses of engines that still run blame no part",
                 "[gateway]")
{
  for (std::uint64_t engine = 1; engine <= 8; ++engine) {
    mQuarantine.OnBroken(engine, Prompt({ kDeadlyPart, mNextRequest++ }), mNow);
    CHECK(mQuarantine.TryProbe(engine, mNow));
    mQuarantine.OnConnected(engine);
    Advance(milliseconds(100));
  }
  CHECK_FALSE(Blocks(kDeadlyPart));
}

TEST_CASE_METHOD(Entry,
                 "quarantine: one request that is repeated blames no part",
                 "[gateway]")
{
  for (std::uint64_t engine = 1; engine <= 8; ++engine) {
    mNextRequest = 42;
    Crash(engine, { { kDeadlyPart } });
    Advance(seconds(1));
  }
  CHECK_FALSE(Blocks(kDeadlyPart));
}

TEST_CASE_METHOD(Entry,
                 "quarantine: an answered request lifts a quarantine everywhere",
                 "[gateway]")
{
  Entry other;
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    Crash(engine, { { kDeadlyPart } });
    Advance(milliseconds(300));
    other.mNow = mNow;
  }
  other.mQuarantine.OnRecord(kDeadlyPart, true, false, mNow);
  CHECK(Blocks(kDeadlyPart));
  CHECK(other.Blocks(kDeadlyPart));
  Advance(seconds(1));
  mQuarantine.Report(mNow);
  Sound(kDeadlyPart);
  CHECK_FALSE(Blocks(kDeadlyPart));
  other.mQuarantine.Merge(mQuarantine.Report(mNow), mNow);
  CHECK_FALSE(other.Blocks(kDeadlyPart));
  // The record is deleted, for entries that start later.
  const auto changes = other.mQuarantine.RecordChanges(true, mNow);
  REQUIRE(changes.size() == 1);
  CHECK_FALSE(changes[0].mCreate);
}

TEST_CASE_METHOD(
  Entry,
  "quarantine: what is lifted by hand is not refused again for late reports",
  "[gateway]")
{
  Entry other;
  std::vector<CrashFindings> late;
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    Crash(engine, { { kDeadlyPart } });
    Advance(milliseconds(300));
    late.push_back(mQuarantine.Report(mNow));
    other.Advance(mNow - other.mNow);
    other.mQuarantine.Merge(late.back(), mNow);
  }
  for (Entry* entry : { static_cast<Entry*>(this), &other }) {
    entry->mQuarantine.OnRecord(kDeadlyPart, true, entry == this, mNow);
    REQUIRE(entry->Blocks(kDeadlyPart));
    entry->mQuarantine.OnRecord(kDeadlyPart, false, false, mNow);
  }
  Entry cutOff;
  cutOff.mNow = mNow;
  cutOff.mQuarantine.OnRecord(kDeadlyPart, true, false, mNow);
  CHECK(mQuarantine.Report(mNow).mVerdicts.empty());
  CrashFindings said;
  said.mVerdicts.push_back({ { kDeadlyPart } });
  late.push_back(said);
  for (int i = 0; i < 20; ++i) {
    for (Entry* entry : { static_cast<Entry*>(this), &other }) {
      for (const CrashFindings& findings : i < 5 ? late : std::vector<CrashFindings>()) {
        entry->mQuarantine.Merge(findings, entry->mNow);
      }
      CHECK_FALSE(entry->Blocks(kDeadlyPart));
      CHECK(entry->mQuarantine.RecordChanges(true, entry->mNow).empty());
      entry->Advance(milliseconds(300));
    }
    // It neither tells the others nor writes the record again.
    cutOff.Advance(milliseconds(300));
    CHECK(cutOff.Blocks(kDeadlyPart));
    CHECK(cutOff.mQuarantine.Report(cutOff.mNow).Empty());
    CHECK(cutOff.mQuarantine.RecordChanges(true, cutOff.mNow).empty());
  }
  cutOff.mQuarantine.RetainRecords({}, cutOff.mNow);
  CHECK_FALSE(cutOff.Blocks(kDeadlyPart));
}

TEST_CASE_METHOD(
  Entry,
  "quarantine: the entry that wrote the record tests the part, ever more rarely",
  "[gateway]")
{
  Entry other;
  mQuarantine.OnRecord(kDeadlyPart, true, true, mNow);
  other.mQuarantine.OnRecord(kDeadlyPart, true, false, mNow);
  const RequestMetadata request = Prompt({ kDeadlyPart, 5 });
  int own = 0;
  int others = 0;
  bool present = true;
  SECTION("the writer is there") {}
  SECTION("the writer has gone")
  {
    present = false;
  }
  const timing::Instant end = mNow + std::chrono::minutes(59);
  while (mNow < end) {
    others += other.mQuarantine.TryTest(request, mNow) ? 1 : 0;
    own += present && mQuarantine.TryTest(request, mNow) ? 1 : 0;
    const CrashFindings findings = mQuarantine.Report(mNow);
    other.mQuarantine.Merge(findings, mNow);
    Advance(seconds(1));
    other.Advance(seconds(1));
  }
  CHECK(own == (present ? 4 : 0));
  CHECK(others == (present ? 0 : 4));
  CHECK(Blocks(kDeadlyPart));
  Advance(std::chrono::minutes(2));
  CHECK_FALSE(Blocks(kDeadlyPart));
}

TEST_CASE_METHOD(Entry,
                 "quarantine: callers that send ever new parts do not fill the tables",
                 "[gateway]")
{
  for (std::uint64_t i = 0; i < 2000; ++i) {
    std::vector<std::vector<std::uint64_t>> shared;
    for (std::uint64_t k = 0; k < 20; ++k) {
      shared.push_back({ 1000000 + i * 100 + k, 2000000 + i * 100 + k });
    }
    Crash(i, shared);
    for (std::uint64_t k = 0; k < 50; ++k) {
      Sound(9000000 + i * 100 + k);
    }
    if (i % 40 == 0) {
      Crash(500000 + i, { { kDeadlyPart } });
    }
    Advance(milliseconds(100));
    const CrashFindings findings = mQuarantine.Report(mNow);
    CHECK(findings.mCrashes.size() <= RequestQuarantine::kMaxReportedFindings);
  }
  CHECK(mQuarantine.Size() <= RequestQuarantine::kMaxCauses);
  CHECK(Blocks(kDeadlyPart));
}

TEST_CASE_METHOD(Entry,
                 "quarantine: a restore of the store lifts none and brings none back",
                 "[gateway]")
{
  mQuarantine.OnRecord(kDeadlyPart, true, true, mNow);
  REQUIRE(Blocks(kDeadlyPart));
  SECTION("whose record is lost")
  {
    mQuarantine.OnStoreRestored(mNow);
    mQuarantine.RetainRecords({}, mNow);
    CHECK(Blocks(kDeadlyPart));
    // The leader writes it again; if there is none, the others do.
    CHECK(mQuarantine.RecordChanges(false, mNow).empty());
    const auto changes = mQuarantine.RecordChanges(true, mNow);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].mCreate);
    Advance(RequestQuarantine::kLostRecordDelay);
    CHECK(mQuarantine.RecordChanges(false, mNow).size() == 1);
    // From then on its deletion lifts it again.
    mQuarantine.OnRecord(kDeadlyPart, true, true, mNow);
    mQuarantine.OnRecord(kDeadlyPart, false, false, mNow);
    CHECK_FALSE(Blocks(kDeadlyPart));
  }
  SECTION("whose record was deleted after the backup")
  {
    mQuarantine.OnRecord(kDeadlyPart, false, false, mNow);
    Advance(seconds(5));
    mQuarantine.OnStoreRestored(mNow);
    mQuarantine.OnRecord(kDeadlyPart, true, true, mNow);
    mQuarantine.RetainRecords({ kDeadlyPart }, mNow);
    CHECK_FALSE(Blocks(kDeadlyPart));
    const auto changes = mQuarantine.RecordChanges(true, mNow);
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes[0].mCreate);
  }
}
