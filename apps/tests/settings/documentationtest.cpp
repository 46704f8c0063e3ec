#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include <catch2/catch.hpp>

#include "components/catalogue/catalogueparser.hpp"
#include "components/findings/findingserror.hpp"
#include "components/settings/settingsloader.hpp"

namespace {

using namespace samphiresail;
using Keys = std::set<std::string>;

/// Keys in the first column of the tables under a heading of docs/CONFIGURATION.md.
Keys DocumentedKeys(const std::string& aHeading)
{
  std::ifstream file(SAMPHIRESAIL_SOURCE_DIR "/docs/CONFIGURATION.md");
  REQUIRE(file.is_open());
  static const std::regex key("`([a-z_.]+)`");
  Keys keys;
  bool inside = false;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("## ")) {
      inside = line == "## " + aHeading;
    }
    if (inside && line.starts_with("| `")) {
      const std::string cell = line.substr(0, line.find('|', 1));
      for (std::sregex_iterator it(cell.begin(), cell.end(), key), end; it != end; ++it) {
        keys.insert((*it)[1]);
      }
    }
  }
  return keys;
}

/// Known keys that a parser lists for each map in which it met the key `zzz`.
std::map<std::string, Keys> KnownKeys(const findings::FindingsError& aError)
{
  static const std::regex pattern("(.*): unknown key 'zzz'; known: (.*)");
  std::map<std::string, Keys> known;
  for (const findings::Finding& finding : aError.All()) {
    std::smatch match;
    if (std::regex_match(finding.mText, match, pattern)) {
      std::istringstream names(match[2]);
      Keys& keys = known[match[1]];
      for (std::string name; std::getline(names >> std::ws, name, ',');) {
        keys.insert(name);
      }
    }
  }
  return known;
}

/// Joins the known keys of all maps that have a prefix; others must not occur.
Keys Join(const std::map<std::string, Keys>& aKnown,
          const std::map<std::string, std::string>& aPrefixes)
{
  Keys keys;
  for (const auto& [map, names] : aKnown) {
    INFO("map " << map);
    REQUIRE(aPrefixes.contains(map));
    for (const std::string& name : names) {
      keys.insert(aPrefixes.at(map) + name);
    }
  }
  return keys;
}

Keys Without(Keys aKeys, const Keys& aOthers)
{
  std::erase_if(aKeys, [&](const std::string& aKey) { return aOthers.contains(aKey); });
  return aKeys;
}

template<typename Parse>
Keys SettingsKeys(Parse aParse)
{
  try {
    aParse("zzz: 1\ncurve: { zzz: 1 }\ntls: { zzz: 1 }\npolicy: { zzz: 1 }\n", "s.yml");
  } catch (const findings::FindingsError& error) {
    const Keys keys = Join(KnownKeys(error),
                           { { "settings", "" },
                             { "settings curve", "curve." },
                             { "settings tls", "tls." },
                             { "settings policy", "policy." } });
    return Without(keys, { "curve", "tls", "policy" });
  }
  return {};
}

Keys CatalogueKeys()
{
  const std::string entry = ": [ { zzz: 1, limits: { zzz: 1 } } ]\n";
  const std::string text = "weight_store: { zzz: 1 }\navailability_zones" + entry +
                           "client_accounts" + entry + "models" + entry + "adapters" +
                           entry +
                           "pools: [ { zzz: 1, kind: engine, limits: { zzz: 1 } } ]\n"
                           "services: [ { zzz: 1, limits: { zzz: 1 }, "
                           "calls: [ { zzz: 1 } ] } ]\n";
  try {
    catalogue::ParseCatalogue(text, "c.yml");
  } catch (const findings::FindingsError& error) {
    std::map<std::string, std::string> prefixes{
      { "catalogue weight_store", "weight_store." }, { "call", "services.calls." }
    };
    const std::map<std::string, std::string> lists{
      { "availability zone", "availability_zones." },
      { "client account", "client_accounts." },
      { "pool", "pools." },
      { "model", "models." },
      { "adapter", "adapters." },
      { "service", "services." }
    };
    Keys general{ "services.calls" };
    for (const auto& [kind, prefix] : lists) {
      prefixes[kind + " ''"] = prefix;
      prefixes[kind + " limits"] = prefix + "limits.";
      for (const char* name : { "name", "owner", "class", "limits" }) {
        general.insert(prefix + name);
      }
    }
    return Without(Join(KnownKeys(error), prefixes), general);
  }
  return {};
}

}

TEST_CASE("documentation names exactly the keys of the settings files")
{
  const Keys common = DocumentedKeys("Settings of both roles");
  const auto with = [&](const std::string& aHeading) {
    Keys keys = DocumentedKeys(aHeading);
    keys.insert(common.begin(), common.end());
    return keys;
  };
  // A map that a role does not know is itself an unknown key.
  CHECK(SettingsKeys(settings::ParseEntrySettings) == with("Settings of an entry"));
  CHECK(SettingsKeys(settings::ParseAgentSettings) == with("Settings of an agent"));
}

TEST_CASE("documentation names exactly the keys of the catalogue")
{
  CHECK(CatalogueKeys() == DocumentedKeys("Catalogue"));
}
