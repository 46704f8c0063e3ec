#include <array>
#include <set>
#include <string>
#include <vector>

#include "apps/tests/gateway/trafficcontrolfixture.hpp"
#include "components/gateway/suspectedcause.hpp"

using namespace samphiresail;
using namespace samphiresail::gateway;
using namespace samphiresail::gateway::testing;

namespace {

constexpr std::uint64_t kShared = 1;
constexpr std::uint64_t kDeadlyPart = 666;

/// A request with the parts and a last one of its own.
RequestMetadata Prompt(std::uint64_t aOwn, const std::vector<std::uint64_t>& aParts)
{
  RequestMetadata metadata = Metadata();
  metadata.mIdentity = 1000 + aOwn;
  for (const std::uint64_t part : aParts) {
    metadata.mPromptParts.push_back({ part, 10 });
  }
  metadata.mPromptParts.push_back({ 2000 + aOwn, 10 });
  return metadata;
}

/// Two entries with the same endpoints.
struct Entries
{
  Entries()
  {
    for (TrafficControlFixture& entry : mEntries) {
      for (int i = 0; i < 12; ++i) {
        AddEndpoint(entry.mControl, "e" + std::to_string(i), "z1");
      }
    }
  }
  TrafficControl& At(std::size_t aEntry) { return mEntries.at(aEntry).mControl; }
  Choice Begin(std::size_t aEntry, const RequestMetadata& aRequest)
  {
    return At(aEntry).Begin(mEntries.at(aEntry).Admit(aRequest), {}, kNow);
  }
  /// The endpoint ends under the request, at the first entry, which tells the other one.
  void End(const RequestMetadata& aRequest)
  {
    const Admission admission = mEntries[0].Admit(aRequest);
    const Choice choice = At(0).Begin(admission, {}, kNow);
    REQUIRE(choice.mEndpoint != nullptr);
    At(0).OnUnansweredBreak(choice.mAttempt, admission, kNow);
    At(0).End(choice.mAttempt, AttemptEnd::Failed, kNow);
    At(0).OnProbe(choice.mAttempt.mEndpoint, true, kNow);
    At(1).mQuarantine.Merge(At(0).mQuarantine.Report(kNow), kNow);
  }

  std::array<TrafficControlFixture, 2> mEntries;
};

}

TEST_CASE("suspects: after an end, all entries send those with its cause to one endpoint",
          "[gateway]")
{
  Entries entries;
  entries.At(0).OnAnswered(entries.mEntries[0].Admit(Prompt(0, { kShared })), kNow);
  entries.At(1).OnAnswered(entries.mEntries[1].Admit(Prompt(0, { kShared })), kNow);
  entries.End(Prompt(1, { kShared, kDeadlyPart }));
  std::set<std::string> reached;
  std::set<std::string> reachedBySound;
  for (std::uint64_t i = 2; i < 5; ++i) {
    for (std::size_t entry = 0; entry < 2; ++entry) {
      const Choice choice =
        entries.Begin(entry, Prompt(10 * i + entry, { kShared, kDeadlyPart }));
      REQUIRE(choice.mEndpoint != nullptr);
      reached.insert(choice.mAttempt.mEndpoint.Str());
      const Choice sound = entries.Begin(entry, Prompt(100 * i + entry, { kShared }));
      REQUIRE(sound.mEndpoint != nullptr);
      reachedBySound.insert(sound.mAttempt.mEndpoint.Str());
    }
  }
  CHECK(reached.size() == 1);
  CHECK(reachedBySound.size() > 2);
}

TEST_CASE("suspects: a cause that was answered since its end is spread again",
          "[gateway]")
{
  Entries entries;
  entries.End(Prompt(1, { kDeadlyPart }));
  entries.At(1).OnAnswered(entries.mEntries[1].Admit(Prompt(2, { kDeadlyPart })), kNow);
  std::set<std::string> reached;
  for (std::uint64_t i = 3; i < 11; ++i) {
    reached.insert(entries.Begin(1, Prompt(i, { kDeadlyPart })).mAttempt.mEndpoint.Str());
  }
  CHECK(reached.size() > 2);
}

TEST_CASE("suspects: endpoints that are full leave room at the next one", "[gateway]")
{
  Entries entries;
  entries.End(Prompt(1, { kDeadlyPart }));
  for (std::uint64_t i = 2; i < 30; ++i) {
    CHECK(entries.Begin(1, Prompt(i, { kDeadlyPart })).mEndpoint != nullptr);
  }
}

TEST_CASE("suspects: requests that share the reason of an end agree on it", "[gateway]")
{
  const auto cause = [](const RequestMetadata& aRequest,
                        const std::set<std::uint64_t>& aEnded) {
    return SuspectedCause(aRequest, [&](std::uint64_t aCause) {
      return static_cast<std::size_t>(aEnded.count(aCause));
    });
  };
  const RequestMetadata first = Prompt(1, { kShared, kDeadlyPart });
  const RequestMetadata next = Prompt(2, { kShared, kDeadlyPart });
  const RequestMetadata sound = Prompt(3, { kShared });
  const std::set<std::uint64_t> ended{ kShared, kDeadlyPart, 2001, 1001 };
  CHECK(cause(first, ended) == kDeadlyPart);
  CHECK(cause(next, ended) == kDeadlyPart);
  CHECK(cause(sound, ended) == kShared);
  CHECK(cause(first, { 2001, 1001 }) == 2001);
  CHECK(cause(first, { 1001 }) == 1001);
  CHECK_FALSE(cause(next, { 2001, 1001 }));
}

TEST_CASE("suspects: a second attempt waits if a part of it ended an endpoint before",
          "[gateway]")
{
  Entries entries;
  TrafficControl& control = entries.At(0);
  const auto breakOff = [&](const Admission& aAdmission) {
    const Choice choice = control.Begin(aAdmission, {}, kNow);
    REQUIRE(choice.mEndpoint != nullptr);
    control.OnUnansweredBreak(choice.mAttempt, aAdmission, kNow);
    control.End(choice.mAttempt, AttemptEnd::Failed, kNow);
    return std::vector{ choice.mAttempt.mEndpoint };
  };
  const Admission first = entries.mEntries[0].Admit(Prompt(1, { kDeadlyPart }));
  const Admission second = entries.mEntries[0].Admit(Prompt(2, { kDeadlyPart }));
  const Admission fresh = entries.mEntries[0].Admit(Prompt(3, { kDeadlyPart }));
  const auto tried = breakOff(first);
  // After one end, most are victims: it goes on at once.
  const Choice goesOn = control.Begin(first, tried, kNow);
  REQUIRE(goesOn.mEndpoint != nullptr);
  control.End(goesOn.mAttempt, AttemptEnd::Refused, kNow);
  control.OnProbe(tried.front(), true, kNow);

  const auto triedBySecond = breakOff(second);
  CHECK(control.Begin(second, triedBySecond, kNow).mReason == NoEndpoint::Suspected);
  const Choice inProgress = control.Begin(fresh, {}, kNow);
  REQUIRE(inProgress.mEndpoint != nullptr);
  const Admission next = entries.mEntries[0].Admit(Prompt(4, { kDeadlyPart }));
  SECTION("and first ones are sent one at a time")
  {
    CHECK(control.Begin(next, {}, kNow).mReason == NoEndpoint::Suspected);
    control.End(inProgress.mAttempt, AttemptEnd::Refused, kNow);
    CHECK(control.Begin(next, {}, kNow).mEndpoint != nullptr);
  }
  SECTION("and first ones are sent one at a time, for a moment")
  {
    const timing::Instant later = kNow + SuspectAttempts::kMaxWait;
    CHECK(control.Begin(next, {}, later).mEndpoint != nullptr);
  }
  SECTION("for a moment")
  {
    const timing::Instant later = kNow + SuspectAttempts::kMaxWait;
    CHECK(control.Begin(second, triedBySecond, later).mEndpoint != nullptr);
  }
  SECTION("until another request with the part was answered")
  {
    control.OnAnswered(fresh, kNow);
    CHECK(control.Begin(second, triedBySecond, kNow).mEndpoint != nullptr);
  }
}
