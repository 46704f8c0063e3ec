#ifndef SAMPHIRESAIL_APPS_TESTS_PLATFORM_STOREWATCHERFIXTURE_HPP
#define SAMPHIRESAIL_APPS_TESTS_PLATFORM_STOREWATCHERFIXTURE_HPP

#include <catch2/catch.hpp>

#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "components/store/base64.hpp"
#include "platform/storewatcher.hpp"

namespace samphiresail::platform::testing {

/// Records each call as a line of text.
class Recorder final : public gateway::PlatformListener
{
public:
  bool WantsEveryVersion() const override { return mWantsEveryVersion; }
  void OnConfigurationVersion(const gateway::ConfigurationVersion& aVersion) override
  {
    mVersions.push_back(aVersion);
  }
  void OnHistory(gateway::StoreRevision aAfter, gateway::StoreRevision aThrough) override
  {
    mHistory.emplace_back(aAfter, aThrough);
  }
  std::optional<gateway::StoreRevision> TakeReplayStart() override
  {
    return std::exchange(mReplayStart, std::nullopt);
  }
  void OnConfiguration(
    std::shared_ptr<gateway::ServingConfiguration> aConfiguration) override
  {
    Add("configuration " + std::to_string(aConfiguration->mVersion));
  }
  void OnConfigurationUnreadable(
    std::shared_ptr<const gateway::ServingConfiguration> aReadable) override
  {
    mReadable = std::move(aReadable);
    Add("unreadable");
  }
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
    Add((aReading.mRestored ? "restored " : "full ") +
        std::to_string(aReading.mEndpoints.size()) + " " +
        std::to_string(aReading.mZonesOut.size()) + " " +
        std::to_string(aReading.mOwnKeys.size()));
  }
  void OnOwnRecord(const gateway::OwnRecord& aRecord) override
  {
    Add("own " + aRecord.mKey + " " + aRecord.mValue.value_or("none"));
  }
  void OnAnswered(timing::Instant aBegan) override { mBegan.push_back(aBegan); }
  void OnConfirmed(timing::Instant) override { Add("confirmed"); }
  void OnContactLost(const std::string&) override { Add("lost"); }

  std::vector<std::string> mCalls;
  std::vector<timing::Instant> mBegan;
  bool mWantsEveryVersion{ true };
  /// What could be read of the last configuration that could not be adopted.
  std::shared_ptr<const gateway::ServingConfiguration> mReadable;
  std::vector<gateway::ConfigurationVersion> mVersions;
  std::vector<std::pair<gateway::StoreRevision, gateway::StoreRevision>> mHistory;
  /// Returned by the next call of TakeReplayStart().
  std::optional<gateway::StoreRevision> mReplayStart;
  /// Beginning of the calls that throw an exception; none if it is empty.
  std::string mThrowAt;

private:
  void Add(const std::string& aText)
  {
    mCalls.push_back(aText);
    if (!mThrowAt.empty() && aText.starts_with(mThrowAt)) {
      throw std::runtime_error("refused by the test");
    }
  }
};

inline std::string Item(const std::string& aKey, const std::string& aValue)
{
  return R"({"key":")" + aKey + R"(","revision":3,"value":")" +
         store::EncodeBase64(aValue) + R"("})";
}

inline std::string Response(unsigned aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string Page(const std::string& aItems, int aRevision, bool aMore = false)
{
  return Response(200,
                  R"({"items":[)" + aItems + R"(],"storeRevision":)" +
                    std::to_string(aRevision) + R"(,"truncated":)" +
                    (aMore ? "true" : "false") + "}");
}

inline std::string Changes(const std::string& aItems, int aRevision)
{
  return Response(200,
                  R"({"events":[)" + aItems + R"(],"storeRevision":)" +
                    std::to_string(aRevision) + "}");
}

inline const std::string kEndpoint =
  R"({"service":"s","address":"127.0.0.1:9","zone":"z","slots":4,"state":"ready",)"
  R"("coldRemainingMs":0,"sequence":1,"born":1})";
inline const std::string kConfiguration = R"({"version":5,"routes":[],"services":[]})";

struct StoreWatcherFixture
{
  /// Runs the watcher until the store has received aCalls + 1 requests: by then the
  /// responses to the first aCalls requests have been processed.
  std::vector<std::string> Run(std::size_t aCalls)
  {
    platform::StoreWatcher watcher(mIo, mStore, mRecorder, mClock, mLogger, 3);
    frontend::asio::co_spawn(
      mIo, [&watcher] { return watcher.Run(); }, frontend::asio::detached);
    while (mServer.Requests().size() <= aCalls) {
      // Without this limit the test of a watch that has ended would wait for ever.
      if (mIo.run_one_for(std::chrono::seconds(10)) == 0) {
        FAIL("the watch has ended");
      }
    }
    mIo.stop();
    return mRecorder.mCalls;
  }

  frontend::asio::io_context mIo{ 1 };
  frontend::testing::ScriptedEndpoint mServer{ mIo };
  timing::SystemClock mClock;
  platform::HttpClient mClient{ mIo, mClock };
  platform::PlatformStore mStore{ mClient, { "127.0.0.1", mServer.Port() } };
  std::ostringstream mLog;
  logging::Logger mLogger{ "test", logging::Level::Info, mLog };
  Recorder mRecorder;
};

using Calls = std::vector<std::string>;

}

#endif
