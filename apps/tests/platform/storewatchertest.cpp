#include <catch2/catch.hpp>

#include <sstream>

#include "apps/tests/platform/storewatcherfixture.hpp"

using namespace samphiresail;
using namespace samphiresail::platform::testing;

namespace {

using Fixture = platform::testing::StoreWatcherFixture;

}

TEST_CASE_METHOD(
  Fixture,
  "store watcher: a configuration that cannot be read does not go unnoticed",
  "[platform]")
{
  mServer.AddScript({ Page(Item("op/config", kConfiguration), 8) });
  mServer.AddScript({ Changes(Item("op/config", "{"), 9) });
  mServer.AddScript({ "", false, true });
  CHECK(Run(2) ==
        Calls{ "configuration 5", "full 0 0 0", "confirmed", "unreadable", "confirmed" });
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: all pages are read before anything is confirmed",
                 "[platform]")
{
  mServer.AddScript({ Page(Item("op/config", kConfiguration), 8, true) });
  mServer.AddScript(
    { Page(Item("op/evacuate/z", "") + "," + Item("servers/e1", kEndpoint) + "," +
             Item("servers/e2", "not for us") + "," + Item("own/1", "x"),
           9) });
  mServer.AddScript({ "", false, true });
  const Calls calls = Run(2);
  CHECK(calls == Calls{ "configuration 5",
                        "out z",
                        "endpoint e1",
                        "own own/1 x",
                        "full 1 1 1",
                        "confirmed" });
  CHECK(mServer.Requests().at(1).find("after=op%2Fconfig") != std::string::npos);
  // The watch starts at the revision of the first page.
  CHECK(mServer.Requests().at(2).find("after=8") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: changes are passed to the listener in order",
                 "[platform]")
{
  mServer.AddScript({ Page(Item("servers/e1", kEndpoint), 8) });
  mServer.AddScript({ Changes(R"({"key":"servers/e1","revision":9,"tombstone":true},)"
                              R"({"key":"op/evacuate/z","revision":10,"tombstone":true})",
                              10) });
  mServer.AddScript({ "", false, true });
  CHECK(
    Run(2) ==
    Calls{ "endpoint e1", "full 1 0 0", "confirmed", "gone e1", "back z", "confirmed" });
  CHECK(mServer.Requests().at(2).find("after=10") != std::string::npos);
  // The listener receives the arrival time of each response.
  REQUIRE(mRecorder.mBegan.size() == 2);
  CHECK(mRecorder.mBegan[1] > mRecorder.mBegan[0]);
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: a full reading follows lost history",
                 "[platform]")
{
  mServer.AddScript({ Page(Item("servers/e1", kEndpoint), 8) });
  mServer.AddScript({ Response(410, "") });
  mServer.AddScript({ Page(Item("own/1", "x"), 20) });
  mServer.AddScript({ "", false, true });
  const Calls calls = Run(3);
  REQUIRE(calls.size() == 6);
  CHECK(Calls(calls.begin() + 3, calls.end()) ==
        Calls{ "own own/1 x", "full 0 0 1", "confirmed" });
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: a failure of the store is reported once and retried",
                 "[platform]")
{
  mServer.AddScript({ Response(503, "") });
  mServer.AddScript({ Response(503, "") });
  mServer.AddScript({ Page("", 8) });
  mServer.AddScript({ "", false, true });
  CHECK(Run(3) == Calls{ "lost", "full 0 0 0", "confirmed" });
  CHECK(mLog.str().find("store regained") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: a malformed configuration changes nothing",
                 "[platform]")
{
  mServer.AddScript({ Page(Item("op/config", "{"), 8) });
  mServer.AddScript({ "", false, true });
  CHECK(Run(1) == Calls{ "unreadable", "full 0 0 0", "confirmed" });
  CHECK(mLog.str().find("configuration ignored") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: only the last of several changes of a record in one "
                 "response is applied",
                 "[platform]")
{
  mServer.AddScript({ Page(Item("op/config", kConfiguration), 8) });
  mServer.AddScript(
    { Changes(Item("op/config", R"({"version":6,"routes":[],"services":[]})") + "," +
                Item("servers/e1", kEndpoint) + "," +
                Item("op/config", R"({"version":7,"routes":[],"services":[]})") + "," +
                R"({"key":"servers/e1","revision":9,"tombstone":true})",
              12) });
  mServer.AddScript({ "", false, true });
  const Calls calls = Run(2);
  REQUIRE(calls.size() == 6);
  CHECK(Calls(calls.begin() + 3, calls.end()) ==
        Calls{ "configuration 7", "gone e1", "confirmed" });
}

TEST_CASE_METHOD(
  Fixture,
  "store watcher: changes that are larger than all records are not read one "
  "by one",
  "[platform]")
{
  mServer.AddScript({ Page(Item("op/config", kConfiguration), 8) });
  mServer.AddScript({ "HTTP/1.1 200 X\r\nContent-Length: 4000000\r\n\r\n" });
  mServer.AddScript(
    { Page(Item("op/config", R"({"version":9,"routes":[],"services":[]})"), 20) });
  mServer.AddScript({ "", false, true });
  const Calls calls = Run(3);
  REQUIRE(calls.size() == 6);
  CHECK(Calls(calls.begin() + 3, calls.end()) ==
        Calls{ "configuration 9", "full 0 0 0", "confirmed" });
  CHECK(mServer.Requests().at(3).find("after=20") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: a response that was cut is not asked for again",
                 "[platform]")
{
  mServer.AddScript({ Page(Item("op/config", kConfiguration), 8) });
  mServer.AddScript({ "HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n{\"ev", true });
  mServer.AddScript(
    { Page(Item("op/config", R"({"version":9,"routes":[],"services":[]})"), 20) });
  mServer.AddScript({ "", false, true });
  const Calls calls = Run(3);
  REQUIRE(calls.size() == 7);
  CHECK(Calls(calls.begin() + 3, calls.end()) ==
        Calls{ "lost", "configuration 9", "full 0 0 0", "confirmed" });
}

TEST_CASE_METHOD(
  Fixture,
  "store watcher: the log tells a silent call from a response that was cut",
  "[platform]")
{
  mServer.AddScript({ "HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n{\"it", true });
  mServer.AddScript({ Response(410, "") });
  mServer.AddScript({ Page("", 8) });
  mServer.AddScript({ "", false, true });
  Run(3);
  std::istringstream lines(mLog.str());
  std::vector<std::string> calls;
  for (std::string line; std::getline(lines, line);) {
    if (line.find(R"("message":"store call)") != std::string::npos) {
      calls.push_back(line);
    }
  }
  REQUIRE(calls.size() == 3);
  CHECK(calls[0].find(R"("message":"store call failed","call":"read","status":200)") !=
        std::string::npos);
  CHECK(calls[0].find(R"("bytes":4)") != std::string::npos);
  CHECK(calls[1].find(R"("status":410)") != std::string::npos);
  CHECK(calls[2].find(R"("message":"store call","call":"read","status":200)") !=
        std::string::npos);
}

namespace {

std::string Version(int aRevision, const std::string& aAccounts)
{
  return R"({"key":"op/config","createRev":3,"revision":)" + std::to_string(aRevision) +
         R"(,"value":")" +
         store::EncodeBase64(R"({"version":)" + std::to_string(aRevision) +
                             R"(,"routes":[],"services":[],"tenants":)" + aAccounts +
                             "}") +
         R"("})";
}

const std::string kOneAccount = R"([{"name":"t","apiKeys":["k"]}])";

}

// Guards against accounts that nobody notices, since a newer version came with them.
TEST_CASE_METHOD(Fixture,
                 "store watcher: a version that was replaced at once is reported, unless "
                 "that is not wanted",
                 "[platform]")
{
  mRecorder.mWantsEveryVersion = GENERATE(true, false);
  mServer.AddScript({ Page(Version(3, "[]"), 8) });
  mServer.AddScript({ Changes(Version(9, kOneAccount) + "," + Version(10, "[]"), 12) });
  mServer.AddScript({ "", false, true });
  CHECK(
    Run(2) ==
    Calls{
      "configuration 3", "full 0 0 0", "confirmed", "configuration 10", "confirmed" });
  const auto& versions = mRecorder.mVersions;
  REQUIRE(versions.size() == (mRecorder.mWantsEveryVersion ? 3 : 2));
  CHECK(versions.front().mRevision == 3);
  CHECK(versions.front().mCreateRevision == 3);
  CHECK(versions.back().mRevision == 10);
  CHECK(versions.back().mCreateRevision == 3);
  CHECK(versions.back().mAccounts == gateway::AccountsStated::None);
  if (mRecorder.mWantsEveryVersion) {
    CHECK(versions[1].mAccounts == gateway::AccountsStated::Some);
  }
  CHECK(mRecorder.mHistory ==
        std::vector{ std::pair<std::int64_t, std::int64_t>(8, 12) });
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: a version that cannot be adopted is reported with what "
                 "can be read of it",
                 "[platform]")
{
  mServer.AddScript({ Page(Version(3, R"([{"name":"t","apiKeys":"k"}])"), 8) });
  mServer.AddScript({ "", false, true });
  CHECK(Run(1) == Calls{ "unreadable", "full 0 0 0", "confirmed" });
  REQUIRE(mRecorder.mVersions.size() == 1);
  CHECK(mRecorder.mVersions[0].mAccounts == gateway::AccountsStated::Some);
  REQUIRE(mRecorder.mReadable);
  CHECK(mRecorder.mReadable->mVersion == 3);
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: the history is read again from where the listener asks",
                 "[platform]")
{
  mRecorder.mReplayStart = 2;
  mServer.AddScript({ Page(Version(7, "[]"), 8) });
  mServer.AddScript({ Changes(Version(3, "[]") + "," + Version(7, "[]"), 9) });
  mServer.AddScript({ "", false, true });
  Run(2);
  CHECK(mServer.Requests().at(1).find("after=2&") != std::string::npos);
  CHECK(mServer.Requests().at(2).find("after=9&") != std::string::npos);
  CHECK(mRecorder.mHistory == std::vector{ std::pair<std::int64_t, std::int64_t>(2, 9) });
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: a history that the store has no longer is not asked for "
                 "again",
                 "[platform]")
{
  mRecorder.mReplayStart = 2;
  mServer.AddScript({ Page(Version(7, "[]"), 8) });
  mServer.AddScript({ Response(410, "") });
  mServer.AddScript({ Page(Version(7, "[]"), 9) });
  mServer.AddScript({ "", false, true });
  Run(3);
  CHECK(mServer.Requests().at(3).find("after=9&") != std::string::npos);
  CHECK(mRecorder.mHistory.empty());
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: a restored store is read again, though no history lacks",
                 "[platform]")
{
  const auto stated = [](const std::string& aResponse, int aGeneration) {
    std::string response = aResponse;
    return response.insert(response.find("\r\n") + 2,
                           "Store-Era: " + std::to_string(aGeneration) + "\r\n");
  };
  mServer.AddScript({ stated(Page(Item("servers/e1", kEndpoint), 8), 1) });
  // The revisions have passed the known one, so the changes look complete.
  mServer.AddScript({ stated(Changes(Item("own/1", "x"), 12), 2) });
  mServer.AddScript({ stated(Page(Item("own/1", "x"), 12), 2) });
  mServer.AddScript({ "", false, true });
  int restores = 0;
  mStore.SetRestoreHandler([&restores] { ++restores; });
  CHECK(Run(3) == Calls{ "endpoint e1",
                         "full 1 0 0",
                         "confirmed",
                         "own own/1 x",
                         "restored 0 0 1",
                         "confirmed" });
  CHECK(restores == 1);
  CHECK(mServer.Requests().at(2).starts_with("GET /kv-range"));
  CHECK(mServer.Requests().at(3).find("after=12") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "store watcher: a restore between two pages begins the reading anew",
                 "[platform]")
{
  const auto stated = [](std::string aResponse, const std::string& aGeneration) {
    return aResponse.insert(aResponse.find("\r\n") + 2,
                            "Store-Era: " + aGeneration + "\r\n");
  };
  mServer.AddScript({ stated(Page(Item("own/1", "x"), 8, true), "1") });
  mServer.AddScript({ stated(Page(Item("own/2", "x"), 5), "2") });
  mServer.AddScript({ stated(Page(Item("own/3", "x"), 5), "2") });
  // A header that states no sound generation changes nothing.
  const std::string odd =
    GENERATE("two", "-3", "2.0", "", "1048577", "99999999999999999999");
  mServer.AddScript({ stated(Changes(Item("own/4", "x"), 6), odd) });
  mServer.AddScript({ "", false, true });
  CHECK(
    Run(4) ==
    Calls{ "own own/3 x", "restored 0 0 1", "confirmed", "own own/4 x", "confirmed" });
}
