#include "components/catalogue/cataloguediff.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "components/catalogue/configurationcodec.hpp"

namespace samphiresail::catalogue {

using Json = nlohmann::json;

namespace {

Json ToJson(const Catalogue& aCatalogue)
{
  Configuration configuration{ .mCatalogue = aCatalogue };
  for (AvailabilityZone& zone : configuration.mCatalogue.mAvailabilityZones) {
    zone.mOut = false;
  }
  Json document = Json::parse(EncodeConfiguration(configuration));
  document.erase("keys");
  document.erase("version");
  return document;
}

std::string Singular(const std::string& aSection)
{
  std::string text = aSection.substr(0, aSection.size() - 1);
  std::ranges::replace(text, '_', ' ');
  return text;
}

std::string DescribeChanges(const Json& aBefore, const Json& aAfter)
{
  std::string text;
  for (const auto& [field, value] : aAfter.items()) {
    const Json before = aBefore.value(field, Json());
    if (before != value) {
      text += " " + field + " " + before.dump() + " -> " + value.dump();
    }
  }
  return text;
}

std::map<std::string, Json> ByName(const Json& aList)
{
  std::map<std::string, Json> entries;
  for (const Json& entry : aList) {
    entries.emplace(entry.at("name").get<std::string>(), entry);
  }
  return entries;
}

/// Returns the line of an entry that was removed (-), added (+) or changed (~).
std::string EntryLine(char aSign, const std::string& aKind, const std::string& aName)
{
  std::string line{ aSign, ' ' };
  line += aKind;
  line += ' ';
  line += aName;
  return line;
}

std::vector<std::string> DiffSection(const std::string& aKind,
                                     const Json& aBefore,
                                     const Json& aAfter)
{
  std::vector<std::string> lines;
  const std::map<std::string, Json> before = ByName(aBefore);
  const std::map<std::string, Json> after = ByName(aAfter);
  for (const auto& [name, entry] : before) {
    if (!after.contains(name)) {
      lines.push_back(EntryLine('-', aKind, name));
    }
  }
  for (const auto& [name, entry] : after) {
    const auto it = before.find(name);
    if (it == before.end()) {
      lines.push_back(EntryLine('+', aKind, name));
    } else if (it->second != entry) {
      std::string line = EntryLine('~', aKind, name);
      line += ':';
      line += DescribeChanges(it->second, entry);
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

}

std::vector<std::string> DiffCatalogues(const Catalogue& aBefore, const Catalogue& aAfter)
{
  const Json before = ToJson(aBefore);
  const Json after = ToJson(aAfter);
  std::vector<std::string> lines;
  for (const auto& [section, value] : after.items()) {
    if (value.is_array()) {
      std::ranges::move(DiffSection(Singular(section), before.at(section), value),
                        std::back_inserter(lines));
    } else if (before.at(section) != value) {
      lines.push_back("~ " + section + ":" + DescribeChanges(before.at(section), value));
    }
  }
  return lines;
}

}
