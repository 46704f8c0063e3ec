#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "components/store/base64.hpp"
#include "platform/storewatcher.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using frontend::testing::ScriptedEndpoint;

namespace {

/// Records each call as a line of text.
class Recorder final : public gateway::PlatformListener
{
public:
  void OnConfiguration(
    std::shared_ptr<gateway::ServingConfiguration> aConfiguration) override
  {
    Add("configuration " + std::to_string(aConfiguration->mVersion));
  }
  void OnConfigurationUnreadable() override { Add("unreadable"); }
  void OnZoneOut(const ids::AvailabilityZoneId& aZone, bool aOut) override
  {
    Add((aOut ? "out " : "back ") + aZone.Str());
  }
  void OnEndpoint(gateway::EndpointReport aReport) override
  {
    Add("endpoint " + aReport.mId.Str());
  }
  void OnEndpointGone(const ids::EndpointId& aId) override { Add("gone " + aId.Str()); }
  void OnFullReading(const gateway::FullReading& aReading) override
  {
    Add("full " + std::to_string(aReading.mEndpoints.size()) + " " +
        std::to_string(aReading.mZonesOut.size()) + " " +
        std::to_string(aReading.mOwnKeys.size()));
  }
  void OnOwnRecord(const std::string& aKey,
                   const std::optional<std::string>& aValue,
                   std::int64_t,
                   std::int64_t) override
  {
    Add("own " + aKey + " " + aValue.value_or("none"));
  }
  void OnAnswered(timing::Instant aBegan) override { mBegan.push_back(aBegan); }
  void OnConfirmed(timing::Instant) override { Add("confirmed"); }
  void OnContactLost(const std::string&) override { Add("lost"); }

  std::vector<std::string> mCalls;
  std::vector<timing::Instant> mBegan;

private:
  void Add(const std::string& aText) { mCalls.push_back(aText); }
};

std::string Item(const std::string& aKey, const std::string& aValue)
{
  return R"({"key":")" + aKey + R"(","revision":3,"value":")" +
         store::EncodeBase64(aValue) + R"("})";
}

std::string Response(unsigned aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

std::string Page(const std::string& aItems, int aRevision, bool aMore = false)
{
  return Response(200,
                  R"({"items":[)" + aItems + R"(],"storeRevision":)" +
                    std::to_string(aRevision) + R"(,"truncated":)" +
                    (aMore ? "true" : "false") + "}");
}

std::string Changes(const std::string& aItems, int aRevision)
{
  return Response(200,
                  R"({"events":[)" + aItems + R"(],"storeRevision":)" +
                    std::to_string(aRevision) + "}");
}

const std::string kEndpoint =
  R"({"service":"s","address":"127.0.0.1:9","zone":"z","slots":4,"state":"ready",)"
  R"("coldRemainingMs":0,"sequence":1,"born":1})";
const std::string kConfiguration = R"({"version":5,"routes":[],"services":[]})";

struct Fixture
{
  /// Runs the watcher until the store has received aCalls + 1 requests: by then the
  /// responses to the first aCalls requests have been processed.
  std::vector<std::string> Run(std::size_t aCalls)
  {
    platform::StoreWatcher watcher(mIo, mStore, mRecorder, mClock, mLogger, 3);
    frontend::asio::co_spawn(
      mIo, [&watcher] { return watcher.Run(); }, frontend::asio::detached);
    while (mServer.Requests().size() <= aCalls) {
      mIo.run_one();
    }
    mIo.stop();
    return mRecorder.mCalls;
  }

  frontend::asio::io_context mIo{ 1 };
  ScriptedEndpoint mServer{ mIo };
  timing::SystemClock mClock;
  platform::HttpClient mClient{ mIo, mClock };
  platform::PlatformStore mStore{ mClient, { "127.0.0.1", mServer.Port() } };
  std::ostringstream mLog;
  logging::Logger mLogger{ "test", logging::Level::Info, mLog };
  Recorder mRecorder;
};

using Calls = std::vector<std::string>;

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
