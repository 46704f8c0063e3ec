#include <catch2/catch.hpp>

#include "components/findings/findingserror.hpp"
#include "components/settings/settingsloader.hpp"

namespace {

using namespace samphiresail;

const std::string kCommon = "name: p1\n"
                            "vm: vm-1\n"
                            "availability_zone: nl-west-1\n"
                            "peer: 127.0.0.1:7000\n"
                            "store_url: http://127.0.0.1:2379/\n";

std::vector<std::string> FindingsOf(const std::string& aText)
{
  try {
    settings::ParseEntrySettings(aText, "e.yml");
  } catch (const findings::FindingsError& error) {
    std::vector<std::string> lines;
    for (const findings::Finding& finding : error.All()) {
      lines.push_back(findings::Describe(finding));
    }
    return lines;
  }
  return {};
}

}

TEST_CASE("entry settings are read with defaults for the rest")
{
  const settings::EntrySettings read = settings::ParseEntrySettings(
    kCommon + "http: '[::1]:8080'\nin_touch_ms: 1500\n", "e.yml");
  CHECK(read.mCommon.mName == ids::ProcessId("p1"));
  CHECK(read.mCommon.mPeer.mPort == 7000);
  CHECK(read.mCommon.mAnnounce.mPort == 0);
  CHECK(read.mCommon.mStoreUrl == "http://127.0.0.1:2379");
  CHECK(read.mHttp.mHost == "::1");
  CHECK(read.mHttp.mPort == 8080);
  CHECK(read.mInTouch == std::chrono::milliseconds(1500));
  CHECK(read.mGrantLife == settings::EntrySettings().mGrantLife);
}

TEST_CASE("agent settings are read")
{
  const settings::AgentSettings read = settings::ParseAgentSettings(
    kCommon + "endpoint: a1\npool: assistant\nbackend_url: http://127.0.0.1:8000\n",
    "a.yml");
  CHECK(read.mEndpoint == ids::EndpointId("a1"));
  CHECK(read.mPool == ids::PoolId("assistant"));
  CHECK(read.mBackendUrl == "http://127.0.0.1:8000");
}

TEST_CASE("all findings of a settings file are reported together with their place")
{
  const std::vector<std::string> findings = FindingsOf("name: p1\n"
                                                       "vm: [1]\n"
                                                       "peer: localhost:7000\n"
                                                       "store_url: 127.0.0.1\n"
                                                       "http: 127.0.0.1:8080\n"
                                                       "in_touch_ms: 60000\n"
                                                       "tls:\n"
                                                       "  key_file: k\n"
                                                       "colour: red\n"
                                                       "log_level: loud\n");
  REQUIRE(findings.size() == 8);
  CHECK(findings.at(0) == "e.yml:1:1: settings: 'availability_zone' is missing");
  CHECK(findings.at(1) == "e.yml:2:5: settings: 'vm' must be a single value");
  CHECK(findings.at(2) == "e.yml:3:7: settings: 'peer' must be an IP address and a "
                          "port, as 10.0.0.1:7000");
  CHECK(findings.at(3).starts_with("e.yml:4:12: "));
  CHECK(findings.at(4) ==
        "e.yml:6:14: settings: 'in_touch_ms' must be a whole number from 200 to 4000");
  CHECK(findings.at(5).starts_with("e.yml:8:3: settings tls: needs both"));
  CHECK(findings.at(6).starts_with("e.yml:9:1: settings: unknown key 'colour'"));
  CHECK(findings.at(7).starts_with("e.yml:10:12: "));
}

TEST_CASE("settings text that is no single YAML map is a finding")
{
  CHECK(FindingsOf("a: [1\n").size() == 1);
  CHECK(FindingsOf("").size() == 1);
  CHECK(FindingsOf("- 1\n").at(0) == "e.yml:1:1: settings: must be a map");
  CHECK(FindingsOf("a: 1\n---\nb: 1\n").size() == 1);
  CHECK(FindingsOf(kCommon + "http: 127.0.0.1:1\nname: p2\n").at(0) ==
        "e.yml:7:1: settings: key 'name' stands twice");
}

TEST_CASE("text on which the YAML parser finds documents without end is refused")
{
  const auto found = FindingsOf(GENERATE(",", ",,\n", "a: 1\n---\nb: 2\n"));
  REQUIRE(found.size() == 1);
  CHECK(found.front() == "e.yml:1:1: the file must hold exactly one document");
}

TEST_CASE("text that is not UTF-8 is refused with its line")
{
  CHECK(FindingsOf("name: p1\nvm: \xf0\nhttp: '\xc3\x28'\n") ==
        std::vector<std::string>{ "e.yml:2:1: the line is not valid UTF-8",
                                  "e.yml:3:1: the line is not valid UTF-8" });
}
