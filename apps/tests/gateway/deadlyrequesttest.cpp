#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "components/gateway/peercodec.hpp"
#include "components/gateway/requestidentity.hpp"
#include "components/gateway/requestquarantine.hpp"

using namespace samphiresail;
using namespace samphiresail::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSystemPart = 1;

/// Returns a request whose body and last part are its own; the other parts are shared.
RequestMetadata Request(const std::string& aBody,
                        const std::vector<std::uint64_t>& aShared = {},
                        std::uint64_t aOwnPart = 0)
{
  RequestMetadata request;
  for (const std::uint64_t part : aShared) {
    request.mPromptParts.push_back({ part, 10 });
  }
  if (aOwnPart != 0) {
    request.mPromptParts.push_back({ aOwnPart, 10 });
  }
  request.mIdentity = RequestIdentity({ "POST", "/run", aBody }, request);
  return request;
}

const RequestMetadata kDeadly = Request("deadly", { kSystemPart }, 77);
const RequestMetadata kVictim = Request("victim", { kSystemPart }, 88);

/// Entries that hear each other at once.
struct Fleet
{
  std::vector<RequestQuarantine> mEntries;
  timing::Instant mNow{ seconds(1000) };

  explicit Fleet(std::size_t aEntries = 1)
  {
    for (std::size_t i = 0; i < aEntries; ++i) {
      mEntries.emplace_back(i + 1);
    }
  }

  void Advance(timing::Duration aTime)
  {
    for (const timing::Instant end = mNow + aTime; mNow < end; mNow += milliseconds(20)) {
      for (RequestQuarantine& entry : mEntries) {
        entry.Tick(mNow);
        if (!entry.IsReportDue(mNow)) {
          continue;
        }
        PeerReport report;
        report.mProcess = ids::ProcessId("p");
        report.mFindings = entry.Report(mNow);
        const auto received = DecodePeerReport(EncodePeerReport(report));
        REQUIRE(received);
        for (RequestQuarantine& other : mEntries) {
          if (&other != &entry) {
            other.Merge(received->mFindings, mNow);
          }
        }
      }
    }
  }
  /// Ends an engine that had these requests, all of the entry.
  void Crash(std::uint64_t aEngine,
             const std::vector<RequestMetadata>& aRequests,
             std::size_t aEntry = 0)
  {
    for (const RequestMetadata& request : aRequests) {
      mEntries[aEntry].OnBroken(aEngine, request, mNow);
    }
    mEntries[aEntry].TryProbe(aEngine, mNow);
    mEntries[aEntry].OnConnectionRefused(aEngine, mNow);
  }
  void Answer(const RequestMetadata& aRequest, std::size_t aEntry = 0)
  {
    mEntries[aEntry].OnSound(aRequest, mNow);
  }
  /// Number of entries that refuse the request.
  std::ptrdiff_t Blocking(const RequestMetadata& aRequest) const
  {
    return std::ranges::count_if(mEntries, [&](const RequestQuarantine& aEntry) {
      return aEntry.BlockOf(aRequest, mNow).has_value();
    });
  }
};

}

TEST_CASE("deadly request: after three ends at different entries all entries refuse it",
          "[gateway]")
{
  const std::size_t entries = GENERATE(4, 29, 100);
  const bool hasPrompt = GENERATE(true, false);
  const RequestMetadata deadly = hasPrompt ? kDeadly : Request("without a prompt");
  const bool fresh = GENERATE(true, false);
  Fleet fleet(entries);
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    CHECK(fleet.Blocking(deadly) == 0);
    if (!fresh) {
      fleet.Answer(Request("other", { kSystemPart }, 99), 0);
    }
    fleet.Crash(
      engine,
      { Request("v" + std::to_string(engine), { kSystemPart }, 100 + engine), deadly },
      engine);
    fleet.Advance(milliseconds(300));
  }
  CHECK(fleet.Blocking(deadly) == static_cast<std::ptrdiff_t>(entries));
  CHECK(fleet.Blocking(Request("v1", { kSystemPart }, 101)) == 0);
  CHECK(fleet.Blocking(Request("new", { kSystemPart }, 77)) == 0);
}

TEST_CASE("deadly request: requests that end with it, also again, are not refused",
          "[gateway]")
{
  Fleet fleet(4);
  fleet.Crash(1, { kDeadly, kVictim }, 0);
  fleet.Advance(milliseconds(300));
  fleet.Crash(2, { kDeadly, kVictim }, 1);
  fleet.Advance(milliseconds(300));
  SECTION("two ends together, then the request alone")
  {
    fleet.Crash(3, { kDeadly }, 2);
  }
  SECTION("three ends together after the victim was answered once")
  {
    fleet.Crash(3, { kDeadly, kVictim }, 2);
    fleet.Answer(kVictim, 3);
  }
  SECTION("three ends together, then the request alone")
  {
    fleet.Crash(3, { kDeadly, kVictim }, 2);
    fleet.Advance(milliseconds(300));
    CHECK(fleet.Blocking(kVictim) == 0);
    fleet.Crash(4, { kDeadly }, 2);
  }
  fleet.Advance(milliseconds(300));
  CHECK(fleet.Blocking(kDeadly) == 4);
  CHECK(fleet.Blocking(kVictim) == 0);
}

TEST_CASE("deadly request: of two that end together, the one answered before is sound",
          "[gateway]")
{
  Fleet fleet(4);
  fleet.Answer(kVictim, 3);
  fleet.Advance(seconds(5));
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    fleet.Crash(engine, { kDeadly, kVictim }, engine);
    fleet.Advance(milliseconds(600));
  }
  CHECK(fleet.Blocking(kDeadly) == 4);
  CHECK(fleet.Blocking(kVictim) == 0);
}

TEST_CASE("deadly request: once it is blamed, the ends with it excuse the others",
          "[gateway]")
{
  Fleet fleet;
  const RequestQuarantine& entry = fleet.mEntries[0];
  for (std::uint64_t engine = 1; engine <= 2; ++engine) {
    fleet.Crash(engine, { kDeadly, kVictim });
    fleet.Advance(milliseconds(300));
    CHECK(entry.EndsUnder(kVictim.mIdentity, fleet.mNow) == engine);
  }
  fleet.Crash(3, { kDeadly });
  fleet.Advance(milliseconds(300));
  REQUIRE(fleet.Blocking(kDeadly) == 1);
  CHECK(entry.EndsUnder(kVictim.mIdentity, fleet.mNow) == 0);
}

TEST_CASE("deadly request: one that a bad engine ends again and again is not refused",
          "[gateway]")
{
  Fleet fleet;
  const RequestMetadata read = Request("");
  for (int i = 0; i < 8; ++i) {
    fleet.Crash(1, { read });
    fleet.Advance(seconds(3));
  }
  CHECK(fleet.Blocking(read) == 0);
}

TEST_CASE("deadly request: a popular one that is answered between crashes is not refused",
          "[gateway]")
{
  Fleet fleet(4);
  const RequestMetadata read = Request("");
  for (std::uint64_t engine = 1; engine <= 12; ++engine) {
    fleet.Crash(engine, { read }, engine % 4);
    fleet.Crash(engine + 50, { read }, (engine + 1) % 4);
    fleet.Advance(seconds(3));
    fleet.Answer(read, engine % 3);
    fleet.Advance(milliseconds(100));
  }
  CHECK(fleet.Blocking(read) == 0);
}

TEST_CASE("deadly request: engines that end at one moment do not shut it out",
          "[gateway]")
{
  Fleet fleet(4);
  for (std::uint64_t engine = 1; engine <= 8; ++engine) {
    fleet.Crash(engine, { kVictim }, engine % 4);
  }
  fleet.Advance(seconds(1));
  CHECK(fleet.Blocking(kVictim) == 0);
}

TEST_CASE("deadly request: an answer at any entry lifts its quarantine at all",
          "[gateway]")
{
  Fleet fleet(4);
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    fleet.Crash(engine, { kDeadly });
    fleet.Advance(milliseconds(300));
  }
  REQUIRE(fleet.Blocking(kDeadly) == 4);
  fleet.Advance(seconds(5));
  SECTION("an answer")
  {
    fleet.Answer(kDeadly, 3);
    fleet.Advance(milliseconds(300));
  }
  SECTION("an hour")
  {
    for (RequestQuarantine& entry : fleet.mEntries) {
      entry.Tick(fleet.mNow + std::chrono::minutes(61));
    }
  }
  CHECK(fleet.Blocking(kDeadly) == 0);
}

TEST_CASE("deadly request: lifted by hand, it is refused again by new ends only",
          "[gateway]")
{
  Fleet fleet;
  RequestQuarantine& entry = fleet.mEntries[0];
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    fleet.Crash(engine, { kDeadly });
    fleet.Advance(milliseconds(300));
  }
  entry.OnRecord(kDeadly.mIdentity, true, true, fleet.mNow);
  REQUIRE(fleet.Blocking(kDeadly) == 1);
  entry.OnRecord(kDeadly.mIdentity, false, false, fleet.mNow);
  for (std::uint64_t engine = 4; engine <= 6; ++engine) {
    fleet.Advance(seconds(3));
    CHECK(fleet.Blocking(kDeadly) == 0);
    fleet.Crash(engine + 10, { Request("another") });
    CHECK(fleet.Blocking(kDeadly) == 0);
    fleet.Answer(Request("another"));
    fleet.Crash(engine, { kDeadly });
  }
  CHECK(fleet.Blocking(kDeadly) == 1);
}

TEST_CASE("deadly request: two at the same time are both refused, their parts are not",
          "[gateway]")
{
  Fleet fleet(4);
  const RequestMetadata second = Request("second", { kSystemPart }, 78);
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    fleet.Answer(Request("sound", { kSystemPart }, 90 + engine), 2);
    fleet.Crash(engine, { kDeadly, kVictim }, 0);
    fleet.Advance(milliseconds(150));
    fleet.Crash(engine + 10, { second }, 1);
    fleet.Advance(milliseconds(150));
    fleet.Answer(kVictim, 0);
  }
  fleet.Advance(milliseconds(300));
  CHECK(fleet.Blocking(kDeadly) == 4);
  CHECK(fleet.Blocking(second) == 4);
  CHECK(fleet.Blocking(kVictim) == 0);
  CHECK(fleet.Blocking(Request("new", { kSystemPart }, 79)) == 0);
}

TEST_CASE("deadly request: a last part that different requests share is blamed",
          "[gateway]")
{
  Fleet fleet;
  constexpr std::uint64_t kLast = 55;
  for (std::uint64_t engine = 1; engine <= 3; ++engine) {
    fleet.Answer(Request("sound", { kSystemPart }, 90 + engine));
    fleet.Crash(engine,
                { Request("b" + std::to_string(engine), { kSystemPart }, kLast) });
    fleet.Advance(milliseconds(300));
  }
  CHECK(fleet.Blocking(Request("new", { kSystemPart }, kLast)) == 1);
  CHECK(fleet.Blocking(Request("new", { kSystemPart }, kLast + 1)) == 0);
}

TEST_CASE("deadly request: a part is blamed though one request with it was blamed before",
          "[gateway]")
{
  Fleet fleet;
  constexpr std::uint64_t kPart = 66;
  const auto crash = [&](std::uint64_t aEngine, const std::string& aBody) {
    fleet.Answer(Request("sound", { kSystemPart }, 500 + aEngine));
    fleet.Crash(aEngine, { Request(aBody, { kSystemPart, kPart }, aBody.size() + 600) });
    fleet.Advance(milliseconds(300));
  };
  crash(1, "a");
  crash(2, "a");
  crash(3, "a");
  CHECK(fleet.Blocking(Request("a", { kSystemPart, kPart }, 601)) == 1);
  CHECK(fleet.Blocking(Request("new", { kSystemPart, kPart }, 700)) == 0);
  crash(4, "bb");
  crash(5, "ccc");
  CHECK(fleet.Blocking(Request("new", { kSystemPart, kPart }, 700)) == 1);
  CHECK(fleet.Blocking(Request("new", { kSystemPart }, 700)) == 0);
}

TEST_CASE("deadly request: ever new requests fill neither tables nor reports",
          "[gateway]")
{
  Fleet fleet(2);
  std::size_t largest = 0;
  for (std::uint64_t i = 0; i < 600; ++i) {
    std::vector<RequestMetadata> requests;
    for (std::uint64_t k = 0; k < 200; ++k) {
      requests.push_back(Request(std::to_string(i) + "/" + std::to_string(k),
                                 { kSystemPart, 1000 + k },
                                 1000000 + i * 1000 + k));
    }
    requests.push_back(kDeadly);
    std::rotate(
      requests.begin(), requests.end() - 1 - static_cast<int>(i % 100), requests.end());
    fleet.Crash(i + 1, requests);
    RequestQuarantine& entry = fleet.mEntries[0];
    if (entry.IsReportDue(fleet.mNow)) {
      PeerReport report;
      report.mProcess = ids::ProcessId("p");
      report.mFindings = entry.Report(fleet.mNow);
      largest = std::max(largest, EncodePeerReport(report).size());
    }
    fleet.mNow += milliseconds(100);
    entry.Tick(fleet.mNow);
  }
  CHECK(fleet.mEntries[0].Size() <= RequestQuarantine::kMaxCauses);
  CHECK(fleet.mEntries[0].BlockOf(kDeadly, fleet.mNow));
  // The largest datagram.
  CHECK(largest < 65000);
  CHECK(largest > 0);
}
