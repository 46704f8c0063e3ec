#include <catch2/catch.hpp>

#include "components/limits/permitholder.hpp"
#include "components/limits/shareholder.hpp"
#include "components/limits/shareplanner.hpp"

namespace {

using namespace samphiresail;
using namespace std::chrono_literals;
using limits::HolderCandidate;
using limits::LimitShare;
using limits::ShareHolder;
using limits::ShareRecord;
using units::Tokens;
using units::Version;

const timing::Instant kStart{ 1h };
const ids::ClientAccountId kNorth("north");

HolderCandidate MakeCandidate(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return { ids::ProcessId("entry-" + number),
           units::Incarnation(1),
           ids::AvailabilityZoneId("zone-" + number) };
}

catalogue::Catalogue MakeCatalogue()
{
  catalogue::Catalogue catalogue;
  catalogue.mClientAccounts.push_back(
    { .mName = kNorth, .mRate = units::TokensPerSecond(100), .mBurst = Tokens(1000) });
  catalogue.mWeightStore = { 2.0, 4 };
  return catalogue;
}

ShareHolder MakeHolder(int aNumber)
{
  const HolderCandidate self = MakeCandidate(aNumber);
  return { self.mName, self.mIncarnation, { 2500ms, 2000ms } };
}

limits::GrantKey MakeKey(std::uint64_t aNonce)
{
  return { ids::ProcessId("requester"), units::Incarnation(1), aNonce };
}

std::uint32_t SumOf(const ShareRecord& aRecord, const ids::ClientAccountId& aAccount)
{
  std::uint32_t sum = 0;
  for (const LimitShare& share : aRecord.mShares) {
    sum += share.mAccount == aAccount ? share.mMillionths : 0;
  }
  return sum;
}

}

TEST_CASE("rate: planned shares never add up to more than one", "[must-hold]")
{
  const auto catalogue = MakeCatalogue();
  ShareRecord record;
  for (const int count : { 1, 3, 2, 3, 1 }) {
    std::vector<HolderCandidate> candidates;
    for (int i = 1; i <= count; ++i) {
      candidates.push_back(MakeCandidate(i));
    }
    record = *limits::PlanShares(record, catalogue, candidates, Version(0));
    CHECK(SumOf(record, kNorth) <= 1000000);
    CHECK(SumOf(record, kNorth) > 999990);
    CHECK(SumOf(record, ids::ClientAccountId()) <= 1000000);
    CHECK_FALSE(limits::PlanShares(record, catalogue, candidates, Version(0)));
  }
}

TEST_CASE("rate: an account that returns to the catalogue does not start full again",
          "[must-hold]")
{
  const std::vector<HolderCandidate> candidates{ MakeCandidate(1) };
  const auto first = limits::PlanShares({}, MakeCatalogue(), candidates, Version(0));
  REQUIRE(first);
  const auto removed = limits::PlanShares(*first, {}, candidates, Version(0));
  REQUIRE(removed);
  const auto again =
    limits::PlanShares(*removed, MakeCatalogue(), candidates, Version(0));
  REQUIRE(again);
  const auto isNorth = [](const LimitShare& aShare) { return aShare.mAccount == kNorth; };
  CHECK(std::ranges::find_if(first->mShares, isNorth)->mStartsFull);
  CHECK_FALSE(std::ranges::find_if(again->mShares, isNorth)->mStartsFull);
}

TEST_CASE(
  "rate: a reclaimed share is used after acceptance, in-touch limit and grant life",
  "[must-hold]")
{
  const auto catalogue = MakeCatalogue();
  const auto first =
    limits::PlanShares({}, catalogue, { MakeCandidate(1), MakeCandidate(2) }, Version(0));
  const auto second =
    limits::PlanShares(*first, catalogue, { MakeCandidate(2) }, Version(0));
  REQUIRE(second);
  ShareHolder holder = MakeHolder(2);
  holder.Adopt(*first, Version(1), catalogue, kStart);
  CHECK(holder.Grant(kNorth, MakeKey(1), Tokens(1000), kStart) == Tokens(500));
  holder.Report(kNorth, MakeKey(1), Tokens(500), true, kStart);

  holder.Adopt(*second, Version(1), catalogue, kStart);
  CHECK(holder.AwaitsAcceptance(Version(1)));
  holder.Tick(Version(1), kStart + 100s);
  CHECK_FALSE(holder.IsFullyUsable(kNorth));
  holder.Tick(Version(2), kStart + 100s);
  holder.Tick(Version(2), kStart + 104s);
  CHECK_FALSE(holder.IsFullyUsable(kNorth));
  holder.Tick(Version(2), kStart + 104500ms);
  CHECK(holder.IsFullyUsable(kNorth));
  CHECK(holder.Grant(kNorth, MakeKey(2), Tokens(1000), kStart + 104500ms) == Tokens(500));
}

TEST_CASE("rate: a share given up at a planned stop is used after a grant's life",
          "[must-hold]")
{
  const auto catalogue = MakeCatalogue();
  const std::vector<HolderCandidate> both{ MakeCandidate(1), MakeCandidate(2) };
  const auto first = limits::PlanShares({}, catalogue, both, Version(0));
  const auto next = limits::PlanShareTransfer(
    *first, both[0], both, [](const ids::ClientAccountId&) { return true; });
  REQUIRE(next);
  CHECK(SumOf(*next, kNorth) == SumOf(*first, kNorth));
  ShareHolder holder = MakeHolder(2);
  holder.Adopt(*first, Version(1), catalogue, kStart);
  holder.Adopt(*next, Version(1), catalogue, kStart);
  holder.Tick(Version(1), kStart + 1999ms);
  CHECK_FALSE(holder.IsFullyUsable(kNorth));
  holder.Tick(Version(1), kStart + 2s);
  CHECK(holder.IsFullyUsable(kNorth));
}

TEST_CASE("rate: a holder that missed the loss of its share does not go on using it",
          "[must-hold]")
{
  const auto catalogue = MakeCatalogue();
  const HolderCandidate first = MakeCandidate(1);
  const HolderCandidate second = MakeCandidate(2);
  const auto given = limits::PlanShares({}, catalogue, { first }, Version(0));
  const auto taken = limits::PlanShares(*given, catalogue, { second }, Version(0));
  const auto back = limits::PlanShares(*taken, catalogue, { first }, Version(0));
  REQUIRE(back);
  ShareHolder holder = MakeHolder(1);
  holder.Adopt(*given, Version(1), catalogue, kStart);
  REQUIRE(holder.IsFullyUsable(kNorth));
  holder.Adopt(*back, Version(3), catalogue, kStart + 10s);
  CHECK_FALSE(holder.IsFullyUsable(kNorth));
  CHECK(holder.Grant(kNorth, MakeKey(1), Tokens(1000), kStart + 10s) == Tokens(0));
  holder.Tick(Version(3), kStart + 14500ms);
  CHECK(holder.IsFullyUsable(kNorth));
  CHECK(holder.Grant(kNorth, MakeKey(2), Tokens(1000), kStart + 14500ms) == Tokens(0));
}

TEST_CASE("rate: a holder keeps what it has when its share is raised", "[must-hold]")
{
  const auto catalogue = MakeCatalogue();
  const std::vector<HolderCandidate> both{ MakeCandidate(1), MakeCandidate(2) };
  const auto given = limits::PlanShares({}, catalogue, both, Version(0));
  const auto raised = limits::PlanShares(*given, catalogue, { both[0] }, Version(0));
  ShareHolder holder = MakeHolder(1);
  holder.Adopt(*given, Version(1), catalogue, kStart);
  holder.Adopt(*raised, Version(2), catalogue, kStart);
  CHECK(holder.Grant(kNorth, MakeKey(1), Tokens(1000), kStart) == Tokens(500));
}

TEST_CASE("load permits are split among the holders and paced")
{
  const auto catalogue = MakeCatalogue();
  const auto record = limits::PlanShares(
    {}, catalogue, { MakeCandidate(1), MakeCandidate(2), MakeCandidate(3) }, Version(0));
  int granted = 0;
  for (int i = 1; i <= 3; ++i) {
    const HolderCandidate self = MakeCandidate(i);
    limits::PermitHolder holder(self.mName, self.mIncarnation, 2500ms, 60s);
    holder.Adopt(*record, Version(1), catalogue.mWeightStore, kStart);
    for (int j = 0; j < 200; ++j) {
      granted += holder.Request(kStart + 100ms * j).mPermit.empty() ? 0 : 1;
    }
  }
  CHECK(granted == 4);
}
