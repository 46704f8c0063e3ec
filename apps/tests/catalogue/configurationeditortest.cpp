#include <random>

#include <catch2/catch.hpp>

#include "apps/tests/catalogue/memorystore.hpp"
#include "components/catalogue/cataloguediff.hpp"
#include "components/catalogue/configurationchanges.hpp"
#include "components/catalogue/configurationeditor.hpp"

namespace {

using namespace samphiresail;
using catalogue::EditOutcome;
using catalogue::EditResult;
using tests::MemoryStore;
using tests::StoreFault;

using Editor = catalogue::ConfigurationEditor<MemoryStore>;

catalogue::Catalogue MakeCatalogue(std::int64_t aBurst)
{
  catalogue::Catalogue catalogue;
  catalogue.mClientAccounts.push_back({ .mName = ids::ClientAccountId("north"),
                                        .mRate = units::TokensPerSecond(10),
                                        .mBurst = units::Tokens(aBurst) });
  catalogue.mAvailabilityZones.push_back(
    { .mName = ids::AvailabilityZoneId("z1"), .mLoadsAtOnce = 2 });
  return catalogue;
}

catalogue::IssuedKey MakeKey(const std::string& aName)
{
  return { ids::KeyHash("hash-" + aName), ids::ClientAccountId("north"), aName };
}

Editor MakeEditor(MemoryStore& aStore)
{
  return { aStore, {}, [](std::chrono::milliseconds) {} };
}

EditResult Apply(MemoryStore& aStore, std::int64_t aBurst, const std::string& aEditId)
{
  return MakeEditor(aStore).Edit(
    aEditId, catalogue::ApplyCatalogue(MakeCatalogue(aBurst), std::nullopt));
}

EditResult Issue(MemoryStore& aStore, const std::string& aName)
{
  return MakeEditor(aStore).Edit("issue-" + aName, catalogue::IssueKey(MakeKey(aName)));
}

bool HasKey(const catalogue::Configuration& aConfiguration, const std::string& aName)
{
  return std::ranges::find(aConfiguration.mKeys, aName, &catalogue::IssuedKey::mName) !=
         aConfiguration.mKeys.end();
}

}

TEST_CASE("applying the same catalogue again changes nothing")
{
  MemoryStore store;
  CHECK(Apply(store, 5, "e1").mOutcome == EditOutcome::Written);
  const std::int64_t revision = store.mRevision;
  const EditResult again = Apply(store, 5, "e2");
  CHECK(again.mOutcome == EditOutcome::Unchanged);
  CHECK(again.mConfiguration.mVersion == units::Version(1));
  CHECK(store.mRevision == revision);
}

TEST_CASE("applying a catalogue keeps issued keys and zones that are out")
{
  MemoryStore store;
  Apply(store, 5, "e1");
  Issue(store, "k1");
  MakeEditor(store).Edit(
    "e2", catalogue::SetAvailabilityZoneOut(ids::AvailabilityZoneId("z1"), true));
  const EditResult result = Apply(store, 6, "e3");
  CHECK(result.mOutcome == EditOutcome::Written);
  CHECK(HasKey(result.mConfiguration, "k1"));
  CHECK(result.mConfiguration.mCatalogue.mAvailabilityZones.at(0).mOut);
  CHECK(result.mConfiguration.mVersion == units::Version(4));

  catalogue::Catalogue other = MakeCatalogue(6);
  other.mClientAccounts.front().mName = ids::ClientAccountId("south");
  const EditResult gone =
    MakeEditor(store).Edit("e4", catalogue::ApplyCatalogue(other, std::nullopt));
  CHECK(gone.mConfiguration.mKeys.empty());
}

TEST_CASE("catalogues applied at the same time conflict with a report")
{
  MemoryStore store;
  Apply(store, 5, "e1");
  bool raced = false;
  store.mAfterCall = [&] {
    if (!std::exchange(raced, true)) {
      Apply(store, 7, "other");
    }
  };
  try {
    Apply(store, 6, "e2");
    FAIL("no conflict");
  } catch (const catalogue::ConflictError& error) {
    REQUIRE(error.Changes().size() == 1);
    CHECK(error.Changes().front() == "~ client account north: burst 5 -> 7");
  }
  CHECK(MakeEditor(store).Read()->mCatalogue.mClientAccounts.at(0).mBurst ==
        units::Tokens(7));
  CHECK_THROWS_AS(MakeEditor(store).Edit(
                    "e3", catalogue::ApplyCatalogue(MakeCatalogue(8), units::Version(1))),
                  catalogue::ConflictError);
}

TEST_CASE("configuration: racing operators lose no change", "[must-hold]")
{
  MemoryStore store;
  Apply(store, 5, "e1");
  int races = 3;
  store.mAfterCall = [&] {
    if (races == 0) {
      return;
    }
    const std::string name = "other-" + std::to_string(std::exchange(races, 0));
    Issue(store, name);
    races = name.back() - '0' - 1;
  };
  const EditResult result = Issue(store, "mine");
  CHECK(result.mOutcome == EditOutcome::Written);
  const std::optional<catalogue::Configuration> read = MakeEditor(store).Read();
  REQUIRE(read);
  CHECK(read->mKeys.size() == 4);
  CHECK(read->mVersion == units::Version(5));
}

TEST_CASE("configuration: an edit whose answer was lost is neither lost nor repeated",
          "[must-hold]")
{
  MemoryStore store;
  Apply(store, 5, "e1");
  SECTION("the write took effect")
  {
    store.mFaults = { StoreFault::None, StoreFault::LostAnswer };
    CHECK(Issue(store, "k1").mOutcome == EditOutcome::Written);
    CHECK(MakeEditor(store).Read()->mVersion == units::Version(2));
  }
  SECTION("the write did not take effect")
  {
    store.mFaults = { StoreFault::None, StoreFault::LostRequest };
    CHECK(Issue(store, "k1").mOutcome == EditOutcome::Written);
    CHECK(MakeEditor(store).Read()->mVersion == units::Version(2));
  }
  SECTION("the write took effect and another operator withdrew the key since")
  {
    store.mFaults = { StoreFault::None, StoreFault::LostAnswer };
    int calls = 0;
    store.mAfterCall = [&] {
      if (++calls == 2) {
        MakeEditor(store).Edit("other", catalogue::WithdrawKey("k1"));
      }
    };
    CHECK(Issue(store, "k1").mOutcome == EditOutcome::Written);
    CHECK_FALSE(HasKey(*MakeEditor(store).Read(), "k1"));
  }
}

TEST_CASE("an edit says whether it may have been written when the store is down")
{
  MemoryStore store;
  store.mFaults.assign(100, StoreFault::NotSent);
  CHECK(Apply(store, 5, "e1").mOutcome == EditOutcome::StoreUnavailable);
  store.mFaults.assign(100, StoreFault::NotSent);
  store.mFaults.front() = StoreFault::None;
  store.mFaults[1] = StoreFault::LostAnswer;
  CHECK(Apply(store, 5, "e1").mOutcome == EditOutcome::OutcomeUnknown);
}

TEST_CASE("a name that is not declared is refused")
{
  MemoryStore store;
  Apply(store, 5, "e1");
  Editor editor = MakeEditor(store);
  catalogue::IssuedKey key = MakeKey("k1");
  key.mAccount = ids::ClientAccountId("nobody");
  CHECK_THROWS_AS(editor.Edit("e2", catalogue::IssueKey(key)),
                  catalogue::UnknownNameError);
  CHECK_THROWS_AS(editor.Edit("e2", catalogue::WithdrawKey("k1")),
                  catalogue::UnknownNameError);
  CHECK_THROWS_AS(
    editor.Edit("e2",
                catalogue::SetAvailabilityZoneOut(ids::AvailabilityZoneId("z9"), true)),
    catalogue::UnknownNameError);
  Issue(store, "k1");
  key = MakeKey("k1");
  key.mHash = ids::KeyHash("other");
  CHECK_THROWS_AS(editor.Edit("e3", catalogue::IssueKey(key)),
                  catalogue::UnknownNameError);
}
