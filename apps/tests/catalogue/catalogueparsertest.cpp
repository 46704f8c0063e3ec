#include <algorithm>

#include <catch2/catch.hpp>

#include "components/catalogue/catalogueparser.hpp"
#include "components/findings/findingserror.hpp"

namespace {

using namespace samphiresail;

const std::string kExamples = SAMPHIRESAIL_SOURCE_DIR "/examples/";

/// Valid catalogue; tests break it by replacing a piece.
const std::string kCatalogue =
  "weight_store: { loads_per_second: 2, loads_at_once: 4 }\n"
  "availability_zones:\n"
  "  - { name: z1, owner: o, class: c, region: r, limits: { loads_at_once: 2 } }\n"
  "client_accounts:\n"
  "  - { name: a1, owner: o, class: urgent, limits: { tokens_per_second: 5, "
  "burst_tokens: 9 } }\n"
  "pools:\n"
  "  - { name: p1, owner: o, class: c, kind: engine, checks_fencing: true, limits: { "
  "memory_mib: 100, in_flight: 4, cold_in_flight: 1, cold_ms: 5 } }\n"
  "  - { name: p2, owner: o, class: c, kind: service, limits: { in_flight: 4, "
  "cold_in_flight: 1, cold_ms: 5 } }\n"
  "models:\n"
  "  - { name: m1, owner: o, class: urgent, pool: p1, limits: { memory_mib: 60 } }\n"
  "adapters:\n"
  "  - { name: m2, base: m1, owner: o, class: urgent, pool: p1, limits: { memory_mib: "
  "40 } }\n"
  "services:\n"
  "  - { name: s1, owner: o, class: short, pool: p2, route: /s, limits: { timeout_ms: "
  "100 }, calls: [ { method: POST, path: /b, repeatable: false } ] }\n";

std::string Replace(std::string aText, const std::string& aOld, const std::string& aNew)
{
  const std::size_t at = aText.find(aOld);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aOld.size(), aNew);
}

std::string FindingsOf(const std::string& aText)
{
  try {
    catalogue::ParseCatalogue(aText, "c.yml");
  } catch (const findings::FindingsError& error) {
    return error.what();
  }
  return "";
}

std::string FindingsAfter(const std::string& aOld, const std::string& aNew)
{
  return FindingsOf(Replace(kCatalogue, aOld, aNew));
}

}

TEST_CASE("catalogue is read with its units")
{
  const catalogue::Catalogue read = catalogue::ParseCatalogue(kCatalogue, "c.yml");
  CHECK(read.mModels.at(0).mMemory == units::Bytes(60LL << 20));
  CHECK(read.mModels.at(1).mBase == ids::ModelId("m1"));
  CHECK(read.mClientAccounts.at(0).mBurst == units::Tokens(9));
  CHECK(read.mPools.at(0).mChecksFencing);
  CHECK(read.mPools.at(1).mKind == catalogue::PoolKind::Service);
  CHECK(read.mServices.at(0).mCalls.at(0).mClass ==
        catalogue::RequestClass::Irreversible);
  CHECK_FALSE(read.mServices.at(0).mCalls.at(0).mRepeatable);
}

TEST_CASE("example catalogues have the declared sizes and no findings")
{
  const auto count = [](const catalogue::Catalogue& aCatalogue, bool aAdapters) {
    return std::ranges::count_if(aCatalogue.mModels, [&](const catalogue::Model& aModel) {
      return aModel.mBase.Empty() != aAdapters;
    });
  };
  const catalogue::Catalogue pallethof =
    catalogue::LoadCatalogue(kExamples + "pallethof.yml");
  CHECK(count(pallethof, false) == 20);
  CHECK(count(pallethof, true) == 40);
  CHECK(pallethof.mClientAccounts.size() == 5);
  CHECK(pallethof.mAvailabilityZones.size() == 3);
  const catalogue::Catalogue lianhua =
    catalogue::LoadCatalogue(kExamples + "lianhua.yml");
  CHECK(count(lianhua, false) == 25);
  CHECK(count(lianhua, true) == 65);
  CHECK(lianhua.mClientAccounts.size() == 5);
  CHECK(lianhua.mAvailabilityZones.size() == 3);
  CHECK(catalogue::LoadCatalogue(kExamples + "demo.yml").mServices.size() == 2);
}

TEST_CASE("each fault of a catalogue is a finding with its place")
{
  CHECK(FindingsAfter("owner: o, class: urgent, pool", "class: urgent, pool") ==
        "c.yml:10:5: model 'm1': 'owner' is missing");
  CHECK(FindingsAfter("base: m1", "base: m9") ==
        "c.yml:12:23: adapter 'm2': base 'm9' is not declared");
  CHECK(FindingsAfter("base: m1", "base: m2").find("is an adapter itself") !=
        std::string::npos);
  CHECK(FindingsAfter("memory_mib: 40", "memory_mib: 41").find("more memory") !=
        std::string::npos);
  CHECK(FindingsAfter("name: m2", "name: m1").find("'m1' stands twice") !=
        std::string::npos);
  CHECK(FindingsAfter("pool: p2", "pool: p1").find("must be of kind service") !=
        std::string::npos);
  CHECK(FindingsAfter("class: urgent, limits: { tokens", "class: soon, limits: { tokens")
          .find("'class' must be urgent") != std::string::npos);
  CHECK(FindingsAfter("tokens_per_second: 5", "tokens_per_second: -5")
          .find("must be a number from") != std::string::npos);
  CHECK(FindingsAfter("tokens_per_second: 5", "tokens_per_second: .nan")
          .find("must be a number from") != std::string::npos);
  CHECK(FindingsAfter("memory_mib: 60", "memory_mib: 6e1").find("whole number") !=
        std::string::npos);
  CHECK(FindingsAfter("memory_mib: 60", "memory: 60").find("unknown key 'memory'") !=
        std::string::npos);
  CHECK(FindingsAfter("cold_in_flight: 1", "cold_in_flight: 5")
          .find("must not exceed in_flight") != std::string::npos);
  CHECK(FindingsAfter("route: /s", "route: /v1/chat").find("not be below /v1") !=
        std::string::npos);
  CHECK(FindingsAfter("repeatable: false", "repeatable: \"false\"")
          .find("must not be quoted") != std::string::npos);
  CHECK(FindingsAfter("name: a1", "name: 'a b'").find("letters, digits") !=
        std::string::npos);
  CHECK(FindingsAfter("[ { method: POST, path: /b, repeatable: false } ]", "[]")
          .find("at least one call") != std::string::npos);
}

TEST_CASE("findings of all entries are reported together in the order of the file")
{
  std::string text = Replace(kCatalogue, "name: z1, owner: o", "name: z1");
  text = Replace(text, "pool: p1, limits: { memory_mib: 60", "pool: p7, limits: { x: 1");
  const std::string found = FindingsOf(text);
  CHECK(std::ranges::count(found, '\n') == 4);
  const std::size_t owner = found.find("'owner' is missing");
  const std::size_t pool = found.find("'p7' is not declared");
  const std::size_t unknown = found.find("unknown key 'x'");
  CHECK(owner < pool);
  CHECK(pool < unknown);
  CHECK(unknown != std::string::npos);
}
