#include <algorithm>
#include <filesystem>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "apps/samphiresail/operator/configurationchecker.hpp"
#include "components/configurationcheck/findingkinds.hpp"
#include "components/yaml/document.hpp"
#include "platform/decode.hpp"

using namespace samphiresail;
using namespace samphiresail::operators;

namespace {

const std::filesystem::path kFolder =
  SAMPHIRESAIL_SOURCE_DIR "/apps/tests/configurationcheck";

std::vector<std::filesystem::path> Files(const std::filesystem::path& aFolder)
{
  std::vector<std::filesystem::path> files;
  std::ranges::transform(std::filesystem::directory_iterator(aFolder),
                         std::back_inserter(files),
                         [](const auto& aEntry) { return aEntry.path(); });
  std::ranges::sort(files);
  return files;
}

CheckResult Check(const std::string& aText, CheckTerms aTerms = {})
{
  aTerms.mBudget.emplace();
  CheckResult result = CheckText(aText, DetectFormat(aText), aTerms);
  INFO(FormatCheckText("file", result));
  CHECK(result.mUnreadable.empty());
  return result;
}

CheckResult CheckFile(const std::filesystem::path& aFile, CheckTerms aTerms = {})
{
  if (aFile.extension() == ".toml") {
    return CheckSettings(aFile.string(), aTerms.mIgnored);
  }
  return Check(yaml::ReadFile(aFile.string()), std::move(aTerms));
}

/// Part of a file's name before the first dot.
std::string KindOf(const std::filesystem::path& aFile)
{
  const std::string name = aFile.filename().string();
  return name.substr(0, name.find('.'));
}

std::vector<std::string> Kinds(const CheckResult& aResult)
{
  std::vector<std::string> names;
  std::ranges::transform(
    aResult.mFindings, std::back_inserter(names), &configurationcheck::Finding::mKind);
  for (const auto& difference : aResult.mDifferences) {
    if (!difference.mKind.empty()) {
      names.push_back(difference.mKind);
    }
  }
  return names;
}

std::set<std::string> KnownKinds()
{
  std::set<std::string> names;
  for (const auto& kind : configurationcheck::AllFindingKinds()) {
    names.emplace(kind.mName);
  }
  return names;
}

/// Configuration of the platform with many entries of each table.
std::string LargeConfiguration(std::size_t aRoutes)
{
  std::string text = R"({"version":1,"services":[{"name":"s"}],"routes":[)";
  for (std::size_t i = 0; i < aRoutes; ++i) {
    text += (i == 0 ? "" : ",");
    text += R"({"name":"r)" + std::to_string(i) + R"(","host":"h)" +
            std::to_string(i % 100) + R"(.example","pathPrefix":"/p)" +
            std::to_string(i) + R"(/","kind":"safe","service":"s"})";
  }
  return text + "]}";
}

}

// Guards against a rule that no longer finds its fault, or that finds others with it.
TEST_CASE("check: each broken file has the one finding of its name", "[check]")
{
  for (const std::filesystem::path& file : Files(kFolder / "broken")) {
    const CheckResult result = CheckFile(file);
    INFO(FormatCheckText(file.filename().string(), result));
    CHECK(Kinds(result) == std::vector{ KindOf(file) });
  }
}

TEST_CASE("check: sound files have no findings", "[check]")
{
  std::vector<std::filesystem::path> files = Files(kFolder / "sound");
  std::ranges::copy(Files(SAMPHIRESAIL_SOURCE_DIR "/examples"),
                    std::back_inserter(files));
  for (const std::filesystem::path& file : files) {
    const CheckResult result = CheckFile(file);
    INFO(FormatCheckText(file.filename().string(), result));
    CHECK(result.Count() == 0);
  }
}

TEST_CASE("check: each kind of finding has a broken file or a difference", "[check]")
{
  std::set<std::string> kinds = KnownKinds();
  // Shown with generated text below.
  kinds.erase("too-large");
  for (const char* folder : { "broken", "differences" }) {
    for (const std::filesystem::path& file : Files(kFolder / folder)) {
      kinds.erase(KindOf(file));
    }
  }
  CHECK_THAT(std::vector<std::string>(kinds.begin(), kinds.end()),
             Catch::Matchers::Equals(std::vector<std::string>()));
}

TEST_CASE("check: each finding is documented with an example and a remedy", "[check]")
{
  const std::string page =
    yaml::ReadFile(SAMPHIRESAIL_SOURCE_DIR "/docs/CONFIGURATION.md");
  for (const std::string& kind : KnownKinds()) {
    INFO(kind);
    CHECK(page.find("\n| `" + kind + "` | ") != std::string::npos);
  }
}

TEST_CASE("check: each difference has the effect of its name", "[check]")
{
  for (const std::filesystem::path& file : Files(kFolder / "differences")) {
    std::string before = file.string();
    const std::size_t at = before.rfind(".after.");
    if (at == std::string::npos) {
      continue;
    }
    before.replace(at, std::string(".after.").size(), ".before.");
    const CheckResult result = CheckFile(file, { .mAgainst = yaml::ReadFile(before) });
    INFO(FormatCheckText(file.filename().string(), result));
    const std::string kind = KindOf(file);
    const bool isFinding = KnownKinds().contains(kind);
    CHECK(Kinds(result) ==
          (isFinding ? std::vector{ kind } : std::vector<std::string>()));
    CHECK(result.mDifferences.empty() == (kind == "none"));
  }
}

// Guards against a difference that is not shown since it takes nothing from callers.
TEST_CASE("check: differences are shown with their effect on callers", "[check]")
{
  const std::string before = R"({"version":1,
    "routes":[{"name":"a","host":"h","pathPrefix":"/a","kind":"safe","timeoutMs":9,
      "service":"s"},{"name":"all","host":"h","pathPrefix":"/","service":"s"}],
    "services":[{"name":"s","engine":{"slots":1,"weightsMb":9,"models":[{"name":"m",
      "weightsMb":1}]}},{"name":"old"}],
    "tenants":[{"name":"t","apiKeys":["k"],"ratePerS":5,"burst":9},
      {"name":"gone","apiKeys":["g"]}]})";
  const std::string after = R"({"version":2,
    "routes":[{"name":"a","host":"h","pathPrefix":"/a","kind":"unsafe","timeoutMs":8,
      "priority":1,"service":"new"},{"name":"b","host":"h","pathPrefix":"/b",
      "service":"s"},{"name":"all","host":"h","pathPrefix":"/","service":"s"}],
    "services":[{"name":"s","engine":{"slots":2,"weightsMb":9,"models":[{"name":"m",
      "weightsMb":1},{"name":"n","weightsMb":1}]}},{"name":"new"}],
    "tenants":[{"name":"t","apiKeys":["k","g","l"],"ratePerS":6,"burst":9},
      {"name":"u","apiKeys":["x"]}]})";
  std::string text;
  for (const auto& difference : Check(after, { .mAgainst = before }).mDifferences) {
    text +=
      "\n" + difference.mSubject + ": " + difference.mText + "; " + difference.mEffect;
  }
  CHECK(text == R"(
route h/a: kind may run again -> runs at most once; timeout 9 ms -> 8 ms; )"
                R"(priority 0 -> 1; services s 100 % -> new 100 %; )"
                R"(requests are not repeated once they may have run; )"
                R"(requests end earlier; requests are less urgent
route h/b: added; takes requests that route h/ had
service 'old': removed; 
service 's': model 'n' added; 
service 's': slots 1 -> 2; 
service 'new': added; 
account 'gone': removed; 
account 'gone': 1 key moved to account 't'; requests with them count against that quota
account 't': rate 5 -> 6; 
account 't': 2 keys added; 
account 'u': added with 1 key; )");
}

// Guards against a removal of the last account that is shown as taking nothing.
TEST_CASE("check: the removal of the last account is shown with its effect on callers",
          "[check]")
{
  const auto version = [](const char* aVersion, const std::string& aAccounts) {
    return std::string(R"({"version":)") + aVersion + R"(,"services":[{"name":"s"}],
      "routes":[{"name":"a","host":"h","pathPrefix":"/a/","service":"s"},
        {"name":"b","host":"h","pathPrefix":"/b/","service":"s","public":true}])" +
           aAccounts + "}";
  };
  const std::string before =
    version("1", R"(,"tenants":[{"name":"t","apiKeys":["k","l"]}])");
  for (const char* none : { "", R"(,"tenants":[])", R"(,"tenants":null)" }) {
    CAPTURE(none);
    const CheckResult result = Check(version("2", none), { .mAgainst = before });
    CHECK(Kinds(result) == std::vector<std::string>{ "route-closed", "keys-withdrawn" });
    std::string text;
    for (const auto& difference : result.mDifferences) {
      text +=
        "\n" + difference.mSubject + ": " + difference.mText + "; " + difference.mEffect;
    }
    CHECK(text == R"(
accounts: none is left; all requests of routes that are not public are answered with 401
account 't': removed; 
account 't': 2 keys withdrawn; requests with them are answered with 401)");
  }
}

// Guards against a check that stops at an error, and against findings that only follow
// from a value that cannot be read, as a shadowed route for want of a host.
TEST_CASE("check: no finding masks another", "[check]")
{
  const CheckResult result =
    Check(R"({"version":"1","services":[{"name":5},{"name":6}],"routes":[
    {"name":"r","host":"h","pathPrefix":"/a","timeoutMs":-1,"service":"s",
     "maxAttempts":"x"},
    {"host":"H","pathPrefix":"a","timeoutMs":5,"targetLatencyMs":6,
     "trafficSplit":[{"service":"q","weight":0}]}, [],
    {"name":"a","pathPrefix":"/z","service":"s"},
    {"name":"b","pathPrefix":"/z","service":"s"}],
    "tenants":[{"name":"t","apiKeys":[1,"k"],"ratePerS":1,"burst":0}]})");
  std::vector<std::string> places;
  std::ranges::transform(
    result.mFindings, std::back_inserter(places), &configurationcheck::Finding::mPlace);
  CHECK_THAT(places,
             Catch::Matchers::UnorderedEquals(
               std::vector<std::string>{ "version",
                                         "services[0].name",
                                         "services[1].name",
                                         "routes[3].host",
                                         "routes[3].service",
                                         "routes[4].host",
                                         "routes[4].service",
                                         "routes[0].timeoutMs",
                                         "routes[0].maxAttempts",
                                         "routes[0].service",
                                         "routes[1].name",
                                         "routes[1].host",
                                         "routes[1].pathPrefix",
                                         "routes[1].trafficSplit[0].service",
                                         "routes[1].trafficSplit[0].weight",
                                         "routes[1].targetLatencyMs",
                                         "routes[2]",
                                         "tenants[0].apiKeys[0]",
                                         "tenants[0].burst" }));
}

// The check and an entry share the decoder; this guards against a second set of rules.
TEST_CASE("check: an entry rejects exactly the files with errors", "[check]")
{
  const std::set<std::string> errors{ "missing-field", "wrong-type", "out-of-range" };
  for (const std::filesystem::path& file : Files(kFolder / "broken")) {
    if (file.extension() != ".json") {
      continue;
    }
    INFO(file);
    const std::string text = yaml::ReadFile(file.string());
    if (errors.contains(KindOf(file))) {
      CHECK_THROWS(platform::DecodeConfiguration(text));
    } else {
      CHECK_NOTHROW(platform::DecodeConfiguration(text));
    }
  }
}

TEST_CASE("check: ignored findings are left out and counted", "[check]")
{
  const std::filesystem::path file = kFolder / "broken" / "zero-weight.json";
  const CheckResult result = CheckFile(file, { .mIgnored = { "zero-weight" } });
  CHECK(result.Count() == 0);
  CHECK(result.mIgnored == 1);
  CHECK(CheckFile(file, { .mIgnored = { "duplicate-key" } }).Count() == 1);
  const std::filesystem::path lowered = kFolder / "differences" / "quota-lowered";
  const CheckResult difference =
    CheckFile(lowered.string() + ".after.json",
              { .mAgainst = yaml::ReadFile(lowered.string() + ".before.json"),
                .mIgnored = { "quota-lowered" } });
  CHECK(difference.Count() == 0);
  CHECK(difference.mDifferences.size() == 1);
}

TEST_CASE("check: a text that cannot be parsed is unreadable", "[check]")
{
  for (const std::string& text :
       { std::string("{"), "{" + std::string(100, '['), std::string("a: [") }) {
    INFO(text);
    CHECK_FALSE(CheckText(text, DetectFormat(text), {}).mUnreadable.empty());
  }
  const std::string sound = yaml::ReadFile((kFolder / "sound" / "full.json").string());
  const CheckTerms against{ .mAgainst = "{" };
  CHECK_FALSE(
    CheckText(sound, ConfigurationFormat::Platform, against).mUnreadable.empty());
}

TEST_CASE("check: no output names a key", "[check]")
{
  const std::string text =
    R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"t","apiKeys":
      ["secret","secret"]},{"name":"u","apiKeys":["secret"]}]})";
  const std::string before =
    R"({"version":0,"routes":[],"services":[],"tenants":[{"name":"t","apiKeys":
      ["secret-before"]}]})";
  const CheckResult result = Check(text, { .mAgainst = before });
  CHECK(result.Count() == 3);
  CHECK(FormatCheckText("f", result).find("secret") == std::string::npos);
  CHECK(FormatCheckJson("f", result).find("secret") == std::string::npos);
  const CheckResult malformed =
    CheckText(R"({"tenants":[{"apiKeys":["secret)", ConfigurationFormat::Platform, {});
  CHECK_FALSE(malformed.mUnreadable.empty());
  CHECK(FormatCheckText("f", malformed).find("secret") == std::string::npos);
}

TEST_CASE("check: the JSON output has the names, places and effects", "[check]")
{
  const CheckResult result = CheckFile(kFolder / "broken" / "zero-weight.json");
  const auto json = nlohmann::json::parse(FormatCheckJson("f", result));
  CHECK(json.at("findings").at(0).at("name") == "zero-weight");
  CHECK(json.at("findings").at(0).at("place") == "routes[0].trafficSplit[1].weight");
  CHECK(json.at("unreadable").is_null());
}

// A rule that compares each route with each other one would not end within the test's
// time limit.
TEST_CASE("check: a text larger than an entry reads is checked to its end", "[check]")
{
  const std::string text = LargeConfiguration(100'000);
  CHECK_THROWS(platform::DecodeConfiguration(text));
  const CheckResult result = Check(text, { .mAgainst = text });
  CHECK(Kinds(result) == std::vector<std::string>{ "too-large", "too-large" });
  CHECK(result.mDifferences.empty());
}
