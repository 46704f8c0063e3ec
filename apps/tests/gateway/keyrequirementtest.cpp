#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <random>
#include <vector>

#include "components/gateway/keyrequirement.hpp"

using namespace samphiresail::gateway;

namespace {

ConfigurationVersion First(AccountsStated aAccounts, StoreRevision aRevision = 5)
{
  return { aRevision, aRevision, aAccounts };
}

ConfigurationVersion Later(AccountsStated aAccounts, StoreRevision aRevision)
{
  return { aRevision, 5, aAccounts };
}

/// A store with versions of one configuration and the two records, and what processes
/// know that read it.
class StorePlay
{
public:
  static constexpr std::size_t kProcesses = 3;

  explicit StorePlay(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mAccountsChance(aSeed % 2 == 0 ? 0.0 : 0.1)
  {
    WriteVersion();
  }

  void Step()
  {
    const std::size_t process = Pick(kProcesses);
    switch (Pick(10)) {
      case 0:
        WriteVersion();
        break;
      case 1:
        ++mRevision;
        break;
      case 2:
        mHistoryFrom = mRevision;
        break;
      case 3:
        mProcesses[process] = {};
        break;
      case 4:
        WriteRecord(process);
        break;
      default:
        Follow(process);
    }
  }

  /// Lets each process read everything and write what the store lacks.
  void Settle()
  {
    for (int round = 0; round < 2; ++round) {
      for (std::size_t i = 0; i < kProcesses; ++i) {
        Follow(i);
        Follow(i);
        WriteRecord(i);
      }
    }
  }

  const KeyRequirement& Of(std::size_t aProcess) const
  {
    return mProcesses[aProcess].mRequirement;
  }
  /// True if a version that the process can know of held accounts.
  bool HeldAccounts(std::size_t aProcess) const
  {
    return std::ranges::any_of(mVersions, [&](const ConfigurationVersion& aVersion) {
      return aVersion.mAccounts != AccountsStated::None &&
             aVersion.mRevision <= mProcesses[aProcess].mReadAt;
    });
  }

private:
  struct Process
  {
    KeyRequirement mRequirement;
    /// Revision after which it follows the store; 0 before its first reading.
    StoreRevision mPosition{ 0 };
    /// Revision of the store when it was read last.
    StoreRevision mReadAt{ 0 };
  };

  std::size_t Pick(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }

  void WriteVersion()
  {
    const bool accounts = std::bernoulli_distribution(mAccountsChance)(mRandom);
    ++mRevision;
    mVersions.push_back({ mRevision,
                          mVersions.empty() ? mRevision : mVersions[0].mRevision,
                          accounts ? AccountsStated::Some : AccountsStated::None });
  }

  void WriteRecord(std::size_t aProcess)
  {
    const KeyRequirement& requirement = mProcesses[aProcess].mRequirement;
    if (requirement.LacksAccountsRecord()) {
      mAccountsRecord = true;
      ++mRevision;
    }
    if (const auto through = requirement.LacksNoAccountsRecord()) {
      mNoAccountsRecord = *through;
      ++mRevision;
    }
  }

  void ReadRecords(KeyRequirement& aRequirement) const
  {
    aRequirement.SetAccountsRecorded(mAccountsRecord);
    aRequirement.SetNoAccountsRecorded(mNoAccountsRecord);
  }

  /// Reads the changes since the process's position, or everything if it has none or the
  /// store has no longer the changes.
  void Follow(std::size_t aProcess)
  {
    Process& process = mProcesses[aProcess];
    if (process.mPosition != 0 && process.mPosition >= mHistoryFrom) {
      for (const ConfigurationVersion& version : mVersions) {
        if (version.mRevision > process.mPosition) {
          process.mRequirement.OnVersion(version);
        }
      }
      ReadRecords(process.mRequirement);
      process.mRequirement.OnHistory(process.mPosition, mRevision);
    } else {
      process.mRequirement.OnVersion(mVersions.back());
      ReadRecords(process.mRequirement);
      process.mRequirement.OnRead(mRevision);
    }
    process.mReadAt = mRevision;
    process.mPosition = mRevision;
    if (const auto start = process.mRequirement.TakeReplayStart()) {
      process.mPosition = std::min(process.mPosition, *start);
    }
  }

  std::mt19937_64 mRandom;
  double mAccountsChance;
  StoreRevision mRevision{ 100 };
  StoreRevision mHistoryFrom{ 0 };
  std::vector<ConfigurationVersion> mVersions;
  bool mAccountsRecord{ false };
  std::optional<StoreRevision> mNoAccountsRecord;
  std::array<Process, kProcesses> mProcesses;
};

}

// Guards against routes that open when the last account is removed.
TEST_CASE("key requirement: no version after one with accounts opens routes",
          "[gateway][must-hold]")
{
  KeyRequirement requirement;
  requirement.OnVersion(First(AccountsStated::Some));
  requirement.OnRead(6);
  CHECK(requirement.IsRequired());
  requirement.OnVersion(Later(AccountsStated::None, 7));
  requirement.OnHistory(6, 7);
  CHECK(requirement.IsRequired());
  CHECK_FALSE(requirement.IsOpen());
}

TEST_CASE("key requirement: a first version without accounts opens routes", "[gateway]")
{
  KeyRequirement requirement;
  CHECK_FALSE(requirement.IsOpen());
  requirement.OnVersion(First(AccountsStated::None));
  requirement.OnRead(6);
  CHECK(requirement.IsOpen());
  SECTION("and later ones without accounts keep them open")
  {
    requirement.OnHistory(6, 8);
    requirement.OnVersion(Later(AccountsStated::None, 9));
    requirement.OnHistory(8, 9);
    CHECK(requirement.IsOpen());
  }
  SECTION("until one holds accounts")
  {
    requirement.OnVersion(Later(AccountsStated::Some, 9));
    requirement.OnHistory(6, 9);
    CHECK(requirement.IsRequired());
  }
  SECTION("also beside text that is no configuration")
  {
    requirement.OnVersion(Later(AccountsStated::NoConfiguration, 9));
    requirement.OnHistory(6, 9);
    CHECK(requirement.IsOpen());
  }
}

// Guards against a process that takes versions that it has missed for ones without
// accounts.
TEST_CASE("key requirement: missed versions keep routes closed until it is known that "
          "they held no accounts",
          "[gateway][must-hold]")
{
  KeyRequirement requirement;
  requirement.OnVersion(First(AccountsStated::None));
  requirement.OnRead(6);
  requirement.OnVersion(Later(AccountsStated::None, 20));
  requirement.OnRead(21);
  CHECK_FALSE(requirement.IsOpen());
  CHECK_FALSE(requirement.IsRequired());
  SECTION("by the history")
  {
    CHECK(requirement.TakeReplayStart() == 6);
    requirement.OnVersion(Later(AccountsStated::None, 10));
    requirement.OnVersion(Later(AccountsStated::None, 20));
    requirement.OnHistory(6, 22);
    CHECK(requirement.IsOpen());
  }
  SECTION("which may show one that did")
  {
    requirement.OnVersion(Later(AccountsStated::Some, 10));
    CHECK(requirement.IsRequired());
  }
  SECTION("by the record of another process")
  {
    requirement.SetNoAccountsRecorded(19);
    CHECK_FALSE(requirement.IsOpen());
    requirement.SetNoAccountsRecorded(20);
    CHECK(requirement.IsOpen());
  }
  SECTION("and the history is asked for once")
  {
    CHECK(requirement.TakeReplayStart());
    CHECK_FALSE(requirement.TakeReplayStart());
  }
}

// Guards against keys that are forgotten with the process.
TEST_CASE("key requirement: a process that starts later knows it from the record",
          "[gateway][must-hold]")
{
  KeyRequirement requirement;
  requirement.OnVersion(Later(AccountsStated::None, 20));
  requirement.SetAccountsRecorded(true);
  requirement.OnRead(21);
  CHECK(requirement.IsRequired());
  CHECK_FALSE(requirement.LacksAccountsRecord());
  // A store that was set back lacks the record again.
  requirement.SetAccountsRecorded(false);
  CHECK(requirement.IsRequired());
  CHECK(requirement.LacksAccountsRecord());
}

// Guards against a record with an odd number that opens the routes for good.
TEST_CASE("key requirement: a record beyond the newest version proves nothing of it",
          "[gateway]")
{
  KeyRequirement requirement;
  requirement.SetNoAccountsRecorded(std::numeric_limits<StoreRevision>::max());
  requirement.OnVersion(Later(AccountsStated::None, 20));
  requirement.SetNoAccountsRecorded(std::numeric_limits<StoreRevision>::max());
  requirement.OnRead(21);
  CHECK_FALSE(requirement.IsOpen());
  // A record that was read before the version that it is about.
  requirement.SetNoAccountsRecorded(30);
  requirement.OnVersion(Later(AccountsStated::None, 30));
  CHECK(requirement.IsOpen());
}

TEST_CASE("key requirement: revisions of a store that was set back prove nothing",
          "[gateway]")
{
  KeyRequirement requirement;
  requirement.OnVersion(First(AccountsStated::None));
  requirement.OnRead(50);
  requirement.OnVersion(Later(AccountsStated::None, 30));
  requirement.OnRead(31);
  CHECK_FALSE(requirement.IsOpen());
}

// Plays processes that miss versions, restart and write records late.
TEST_CASE("key requirement: no process is open after a version with accounts, and all "
          "are if one knows that there was none",
          "[gateway][must-hold]")
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    StorePlay play(seed);
    bool sound = true;
    for (int step = 0; step < 300; ++step) {
      play.Step();
      for (std::size_t i = 0; i < StorePlay::kProcesses; ++i) {
        sound = sound && !(play.Of(i).IsOpen() && play.HeldAccounts(i));
      }
    }
    play.Settle();
    std::size_t open = 0;
    for (std::size_t i = 0; i < StorePlay::kProcesses; ++i) {
      sound = sound && !(play.Of(i).IsOpen() && play.HeldAccounts(i));
      open += play.Of(i).IsOpen() ? 1 : 0;
    }
    CHECK(sound);
    // One process that knows makes it known to all.
    CHECK((open == 0 || open == StorePlay::kProcesses));
  }
}

TEST_CASE("key requirement: a restore of the store closes no routes that are open",
          "[gateway]")
{
  KeyRequirement requirement;
  const auto version = [](std::uint64_t aNumber, StoreRevision aRevision) {
    return ConfigurationVersion{ aRevision, 5, AccountsStated::None, aNumber };
  };
  requirement.OnVersion(version(3, 5));
  requirement.OnRead(6);
  requirement.OnVersion(version(4, 40));
  requirement.OnHistory(6, 45);
  REQUIRE(requirement.IsOpen());
  requirement.OnStoreRestored();
  CHECK(requirement.IsOpen());
  SECTION("whose backup holds an older version")
  {
    requirement.OnVersion(version(3, 30));
    requirement.OnRead(35);
    CHECK(requirement.IsOpen());
    requirement.OnVersion(version(4, 36));
    requirement.OnHistory(35, 36);
    CHECK(requirement.IsOpen());
  }
  SECTION("whose revisions have passed the known ones")
  {
    requirement.OnVersion(version(4, 60));
    requirement.OnRead(70);
    CHECK(requirement.IsOpen());
  }
  SECTION("but one that holds a version after those that are known")
  {
    requirement.OnVersion(version(7, 41));
    requirement.OnRead(70);
    CHECK_FALSE(requirement.IsOpen());
    CHECK(requirement.TakeReplayStart() == 4);
  }
}

TEST_CASE("key requirement: a restore takes no need for keys back", "[gateway]")
{
  KeyRequirement requirement;
  requirement.OnVersion(Later(AccountsStated::Some, 40));
  requirement.SetAccountsRecorded(true);
  requirement.OnStoreRestored();
  requirement.OnVersion(First(AccountsStated::None));
  requirement.SetAccountsRecorded(false);
  requirement.OnRead(6);
  CHECK(requirement.IsRequired());
  CHECK_FALSE(requirement.IsOpen());
  CHECK(requirement.LacksAccountsRecord());
}
