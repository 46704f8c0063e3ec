#include <catch2/catch.hpp>

#include "components/credentials/key.hpp"
#include "components/credentials/keytable.hpp"

using namespace samphiresail;

TEST_CASE("keys are drawn anew and hashed with SHA-256")
{
  const std::string key = credentials::GenerateKey();
  CHECK(key.size() == credentials::kKeyPrefix.size() + 64);
  CHECK(key != credentials::GenerateKey());
  CHECK(credentials::HashKey("abc") ==
        ids::KeyHash("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"));
}

TEST_CASE("keys: only an issued key gives its own client account", "[must-hold]")
{
  const std::string north = credentials::GenerateKey();
  const std::string south = credentials::GenerateKey();
  catalogue::Configuration configuration;
  configuration.mKeys.push_back(
    { credentials::HashKey(north), ids::ClientAccountId("north"), "north-1" });
  configuration.mKeys.push_back(
    { credentials::HashKey(south), ids::ClientAccountId("south"), "south-1" });

  const credentials::KeyTable table(configuration);
  REQUIRE(table.Authenticate(north) != nullptr);
  CHECK(table.Authenticate(north)->mAccount == ids::ClientAccountId("north"));
  CHECK(table.Authenticate(south)->mAccount == ids::ClientAccountId("south"));
  CHECK(table.Authenticate("") == nullptr);
  CHECK(table.Authenticate(north + "0") == nullptr);
  CHECK(table.Authenticate(credentials::HashKey(north).Str()) == nullptr);

  configuration.mKeys.erase(configuration.mKeys.begin());
  CHECK(credentials::KeyTable(configuration).Authenticate(north) == nullptr);
  CHECK(credentials::KeyTable(configuration).Authenticate(south) != nullptr);
}
