#include <catch2/catch.hpp>

#include <algorithm>

#include "apps/tests/platform/storewatcherfixture.hpp"
#include "platform/decode.hpp"
#include "platform/foreignjson.hpp"

using namespace samphiresail;
using namespace samphiresail::platform;
using namespace samphiresail::platform::testing;

namespace {

using Fixture = StoreWatcherFixture;

std::string Nested(std::size_t aDepth, char aOpen = '[', char aClose = ']')
{
  return std::string(aDepth, aOpen) + std::string(aDepth, aClose);
}

/// The record of a sound endpoint with further fields.
std::string EndpointWith(const std::string& aFields)
{
  return kEndpoint.substr(0, kEndpoint.size() - 1) + "," + aFields + "}";
}

}

TEST_CASE("decode: a record that is nested deeply does not exhaust the stack",
          "[platform]")
{
  const std::size_t depth = GENERATE(65U, 100'000U, 300'000U);
  const std::string nested = Nested(depth);
  for (const std::string& text :
       { nested,
         EndpointWith(R"("models":)" + nested),
         EndpointWith(R"("atHand":{"inMemory":)" + nested + "}"),
         EndpointWith(R"("new":)" + nested),
         EndpointWith(R"("models":)" + nested.substr(depth)) }) {
    CHECK_FALSE(DecodeEndpoint("e1", text));
  }
  CHECK_FALSE(
    DecodeEngineReport(R"({"models":[],"sequence":1,"coming":)" + nested + "}"));
  CHECK_FALSE(
    DecodeEngineReport(R"({"models":[],"sequence":1,"atHand":)" + nested + "}"));
  const std::string configuration =
    R"({"version":1,"routes":[],"services":[],"tenants":)";
  CHECK_THROWS(DecodeConfiguration(configuration + nested + "}"));
}

TEST_CASE("decode: brackets within strings are not levels", "[platform]")
{
  const std::string text = R"("new":"\"\\)" + std::string(100, '[') + R"(\\")";
  CHECK(DecodeEndpoint("e1", EndpointWith(text)));
  CHECK(DecodeEndpoint("e1", EndpointWith(R"("new":)" + Nested(60))));
}

// A page of the store with small values without end took many times its size in memory.
TEST_CASE("decode: text with very many values is not parsed", "[platform]")
{
  const std::string value = GENERATE("[],", "{},", "0,", R"({"a":0},)");
  std::string text = "[";
  while (text.size() < kMaxTextBytes - 20) {
    text.append(value);
  }
  CHECK_THROWS_AS(ParseForeignJson(text + "0]"), UnreadableText);
  std::string page = "[";
  for (int i = 0; i < 50'000; ++i) {
    page.append(
      R"({"key":"servers/i-7f3a91c2","value":"eyJzZXJ2aWNlIjoiYSJ9","revision":1},)");
  }
  CHECK(ParseForeignJson(page + "0]").size() == 50'001);
  CHECK(ParseForeignJson(R"([")" + std::string(1'000'000, ',') + R"("])").size() == 1);
}

TEST_CASE("decode: a record larger than the store accepts is not read", "[platform]")
{
  const std::string large = R"("new":")" + std::string(1U << 20U, 'x') + R"(")";
  CHECK_FALSE(DecodeEndpoint("e1", EndpointWith(large)));
  CHECK_FALSE(DecodeEngineReport(R"({"models":[],"sequence":1,)" + large + "}"));
}

TEST_CASE("decode: a record with a number out of range names no endpoint", "[platform]")
{
  const auto [sound, odd] = GENERATE(
    table<std::string, std::string>({ { "slots\":4", "slots\":-1" },
                                      { "slots\":4", "slots\":4.5" },
                                      { "slots\":4", "slots\":true" },
                                      { "slots\":4", "slots\":4294967296" },
                                      { "slots\":4", "slots\":1e300" },
                                      { "slots\":4", "slots\":1e999" },
                                      { "Ms\":0", "Ms\":-5" },
                                      { "Ms\":0", "Ms\":1e300" },
                                      { "Ms\":0", "Ms\":9223372036854775807" },
                                      { "Ms\":0", "Ms\":\"0\"" },
                                      { "sequence\":1", "sequence\":-1" },
                                      { "sequence\":1", "sequence\":1e300" },
                                      { "born\":1", "born\":-1" },
                                      { "born\":1", "born\":1e300" },
                                      { "born\":1", "born\":9223372036854775807" },
                                      { "born\":1", "born\":18446744073709551615" },
                                      { "127.0.0.1:9", "127.0.0.1:0" },
                                      { "127.0.0.1:9", "127.0.0.1:65536" },
                                      { "127.0.0.1:9", "127.0.0.1:-1" },
                                      { "127.0.0.1:9", "[::1]:9" } }));
  std::string text = kEndpoint;
  REQUIRE(DecodeEndpoint("e1", text));
  text.replace(text.find(sound), sound.size(), odd);
  CAPTURE(text);
  CHECK_FALSE(DecodeEndpoint("e1", text));
}

TEST_CASE("decode: an identifier that would end a header names no endpoint", "[platform]")
{
  for (const char* id : { "", "e1\r\nHold: 1", "e1\n", "e\x7f" }) {
    CHECK_FALSE(DecodeEndpoint(id, kEndpoint));
  }
}

TEST_CASE("decode: a report of an engine with a number out of range is not read",
          "[platform]")
{
  for (const char* sequence : { "-1", "1e300", "18446744073709551615", "1.5", "true" }) {
    CAPTURE(sequence);
    CHECK_FALSE(
      DecodeEngineReport(std::string(R"({"models":[],"sequence":)") + sequence + "}"));
  }
}

TEST_CASE("decode: a configuration with a number out of range is not read", "[platform]")
{
  const auto decode = [](const std::string& aRoute,
                         const std::string& aService,
                         const std::string& aAccount) {
    return DecodeConfiguration(
      R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/")" + aRoute +
      R"(}],"services":[{"name":"s")" + aService + R"(}],"tenants":[{"name":"t")" +
      aAccount + "}]}");
  };
  CHECK_NOTHROW(decode("", "", ""));
  for (const char* odd : { "-1", "1e300", "\"1\"", "true" }) {
    CAPTURE(odd);
    for (const char* field : { "timeoutMs", "targetLatencyMs", "gapAimMs" }) {
      CHECK_THROWS(decode(std::string(",\"") + field + "\":" + odd, "", ""));
    }
    CHECK_THROWS(decode(std::string(R"(,"maxAttempts":)") + odd, "", ""));
    for (const char* field : { "maxConnections", "coldPerS" }) {
      CHECK_THROWS(decode("", std::string(",\"") + field + "\":" + odd, ""));
    }
    for (const char* field :
         { "slots", "weightsMb", "kvCapacity", "adapterSlots", "loadsPerS" }) {
      CHECK_THROWS(
        decode("", std::string(R"(,"engine":{")") + field + "\":" + odd + "}", ""));
    }
    for (const char* field : { "weightsMb", "adapterMb", "adapters", "loadTimeS" }) {
      CHECK_THROWS(decode("",
                          std::string(R"(,"engine":{"models":[{"name":"m",")") + field +
                            "\":" + odd + "}]}",
                          ""));
    }
    for (const char* field : { "ratePerS", "burst", "plainTokens" }) {
      CHECK_THROWS(decode("", "", std::string(",\"") + field + "\":" + odd));
    }
  }
  CHECK_THROWS(decode(R"(,"priority":1e300)", "", ""));
  CHECK_THROWS(decode("", "", R"(,"priority":1e300)"));
  CHECK_THROWS(DecodeConfiguration(R"({"version":1e300,"routes":[],"services":[]})"));
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: an endpoint's record that is nested deeply does not end "
                 "the process",
                 "[platform]")
{
  const std::string odd =
    Item("servers/e2", EndpointWith(R"("models":)" + Nested(300'000)));
  mServer.AddScript({ Page(Item("servers/e1", kEndpoint) + "," + odd + "," +
                             Item("servers/e3", kEndpoint),
                           8) });
  mServer.AddScript({ Changes(odd + "," + Item("servers/e4", kEndpoint), 9) });
  mServer.AddScript({ "", false, true });
  CHECK(Run(2) == Calls{ "endpoint e1",
                         "endpoint e3",
                         "full 2 0 0",
                         "confirmed",
                         "endpoint e4",
                         "confirmed" });
  CHECK(mServer.Requests().at(2).find("after=9") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: a configuration that is nested deeply does not end the "
                 "process",
                 "[platform]")
{
  const std::string odd =
    R"({"version":6,"routes":[],"services":[],"tenants":)" + Nested(300'000) + "}";
  mServer.AddScript({ Page(Item("op/config", odd), 8) });
  mServer.AddScript({ Changes(Item("op/config", kConfiguration), 9) });
  mServer.AddScript({ "", false, true });
  CHECK(Run(2) ==
        Calls{ "unreadable", "full 0 0 0", "confirmed", "configuration 5", "confirmed" });
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: a response of the store that is nested deeply is a "
                 "failed call",
                 "[platform]")
{
  mServer.AddScript({ Response(
    200, R"({"storeRevision":8,"items":[{"key":)" + Nested(300'000) + "}]}") });
  mServer.AddScript({ Page(Item("servers/e1", kEndpoint), 9) });
  mServer.AddScript({ "", false, true });
  CHECK(Run(2) == Calls{ "lost", "endpoint e1", "full 1 0 0", "confirmed" });
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: one odd item of a page or of a watch harms itself alone",
                 "[platform]")
{
  const std::string odd = GENERATE(as<std::string>(),
                                   "5",
                                   "null",
                                   "[]",
                                   "{}",
                                   R"({"key":5})",
                                   R"({"key":["servers/e2"],"value":""})");
  mServer.AddScript({ Page(Item("servers/e1", kEndpoint) + "," + odd, 8, true) });
  mServer.AddScript({ Page(odd + "," + Item("servers/e3", kEndpoint), 8) });
  mServer.AddScript({ Changes(odd + "," + Item("servers/e4", kEndpoint), 9) });
  mServer.AddScript({ "", false, true });
  CHECK(Run(3) == Calls{ "endpoint e1",
                         "endpoint e3",
                         "full 2 0 0",
                         "confirmed",
                         "endpoint e4",
                         "confirmed" });
  CHECK(mServer.Requests().at(1).find("after=servers%2Fe1") != std::string::npos);
  CHECK(mServer.Requests().at(3).find("after=9") != std::string::npos);
  CHECK(mLog.str().find("items of the store ignored") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: records behind a page without any key do not count as "
                 "gone",
                 "[platform]")
{
  mServer.AddScript({ Page("5", 8, true) });
  mServer.AddScript({ Page(Item("servers/e1", kEndpoint), 9) });
  mServer.AddScript({ "", false, true });
  CHECK(Run(2) == Calls{ "lost", "endpoint e1", "full 1 0 0", "confirmed" });
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: an odd field of an item does not hide its record",
                 "[platform]")
{
  const std::string odd = GENERATE(as<std::string>(),
                                   R"("revision":"x")",
                                   R"("revision":1e300)",
                                   R"("createRev":[])",
                                   R"("lease":-1)",
                                   R"("value":5)",
                                   R"("value":"not base64")",
                                   R"("tombstone":5)");
  mServer.AddScript({ Page(R"({"key":"op/evacuate/z",)" + odd + "}", 8) });
  mServer.AddScript({ Changes(R"({"key":"op/evacuate/y",)" + odd + "}", 9) });
  mServer.AddScript({ "", false, true });
  CHECK(Run(2) == Calls{ "out z", "full 0 1 0", "confirmed", "out y", "confirmed" });
}

TEST_CASE_METHOD(
  Fixture,
  "store watcher: a record whose value cannot be decoded names no endpoint "
  "and no configuration",
  "[platform]")
{
  const std::string value = GENERATE(as<std::string>(), R"("value":5)", R"("value":"?")");
  mServer.AddScript(
    { Page(R"({"key":"op/config",)" + value + R"(},{"key":"servers/e1",)" + value + "}," +
             Item("own/1", "x"),
           8) });
  mServer.AddScript({ "", false, true });
  CHECK(Run(1) == Calls{ "unreadable", "own own/1 x", "full 0 0 1", "confirmed" });
}

TEST_CASE_METHOD(
  Fixture,
  "store watcher: an endpoint whose record becomes odd is not used until it "
  "is sound again",
  "[platform]")
{
  const std::string odd =
    GENERATE(as<std::string>(), "", "\xff\xfe", "{}", R"({"service":"s"})");
  const std::string sound = Item("servers/e1", kEndpoint);
  mServer.AddScript({ Page(sound + "," + Item("servers/e2", kEndpoint), 8) });
  mServer.AddScript(
    { Changes(Item("servers/e1", odd) + "," + Item("servers/e3", odd), 9) });
  mServer.AddScript({ Changes(Item("servers/e1", odd), 10) });
  mServer.AddScript({ Changes(sound, 11) });
  mServer.AddScript({ "", false, true });
  const Calls calls = Run(4);
  CHECK(calls == Calls{ "endpoint e1",
                        "endpoint e2",
                        "full 2 0 0",
                        "confirmed",
                        "gone e1",
                        "confirmed",
                        "confirmed",
                        "endpoint e1",
                        "confirmed" });
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: an exception of one record does not end the watch",
                 "[platform]")
{
  mRecorder.mThrowAt = GENERATE(as<std::string>(),
                                "endpoint e1",
                                "gone e4",
                                "out z",
                                "own own/1",
                                "configuration 5",
                                "full");
  const std::string records = Item("op/config", kConfiguration) + "," +
                              Item("op/evacuate/z", "") + "," + Item("own/1", "x") + "," +
                              Item("servers/e1", kEndpoint) + "," +
                              Item("servers/e2", kEndpoint);
  mServer.AddScript({ Page(records, 8) });
  mServer.AddScript(
    { Changes(R"({"key":"servers/e4","revision":9,"tombstone":true},)" + records, 9) });
  mServer.AddScript({ Changes(Item("servers/e3", kEndpoint), 10) });
  mServer.AddScript({ "", false, true });
  const Calls calls = Run(3);
  CHECK(std::ranges::count(calls, "endpoint e2") == 2);
  CHECK(calls.at(calls.size() - 2) == "endpoint e3");
  CHECK(calls.back() == "confirmed");
  CHECK(mServer.Requests().at(3).find("after=10") != std::string::npos);
  CHECK(mLog.str().find("refused by the test") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: an exception outside of the records fails one call",
                 "[platform]")
{
  mRecorder.mThrowAt = GENERATE(as<std::string>(), "lost", "confirmed");
  mServer.AddScript({ Response(503, "") });
  mServer.AddScript({ Page(Item("servers/e1", kEndpoint), 8) });
  mServer.AddScript({ Page(Item("servers/e1", kEndpoint), 8) });
  mServer.AddScript({ "", false, true });
  const Calls calls = Run(2);
  CHECK(std::ranges::find(calls, "endpoint e1") != calls.end());
  CHECK(mLog.str().find("refused by the test") != std::string::npos);
}
