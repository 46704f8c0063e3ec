#include "components/settings/settingsloader.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "components/yaml/document.hpp"
#include "components/yaml/mapreader.hpp"

namespace samphiresail::settings {

using std::chrono::milliseconds;
using yaml::MapReader;
using yaml::Range;

namespace {

constexpr std::size_t kCurveKeyLength = 40;
constexpr std::array<std::string_view, 5> kLogLevels{ "trace",
                                                      "debug",
                                                      "info",
                                                      "warn",
                                                      "error" };
constexpr Range<milliseconds> kTimeoutRange{ milliseconds(10), milliseconds(600000) };
/// A withdrawn key, an availability zone taken out and a leaving endpoint get no new work
/// after 5 s; the evidence may be as old as this, the rest is left for the requests' way.
constexpr Range<milliseconds> kInTouchRange{ milliseconds(200), milliseconds(4000) };
constexpr Range<milliseconds> kTicketRange{ milliseconds(100), milliseconds(4000) };

SocketAddress ReadAddress(MapReader& aReader,
                          const std::string& aKey,
                          const std::optional<std::string>& aDefault = {})
{
  const std::string text = aReader.Text(aKey, aDefault);
  const std::optional<SocketAddress> address = ParseSocketAddress(text);
  if (!address && aReader.Has(aKey)) {
    aReader.Report(aKey,
                   "'" + aKey + "' must be an IP address and a port, as 10.0.0.1:7000");
  }
  return address.value_or(SocketAddress());
}

std::string ReadUrl(MapReader& aReader,
                    const std::string& aKey,
                    const std::optional<std::string>& aDefault = {})
{
  std::string text = aReader.Text(aKey, aDefault);
  const bool valid = text.starts_with("http://") || text.starts_with("https://");
  if (!valid && aReader.Has(aKey)) {
    aReader.Report(aKey, "'" + aKey + "' must begin with http:// or https://");
  }
  while (text.ends_with('/')) {
    text.pop_back();
  }
  return text;
}

CurveSettings ReadCurve(MapReader aReader)
{
  CurveSettings curve{ .mPublicKey = aReader.Text("public_key", std::string()),
                       .mSecretKey = aReader.Text("secret_key", std::string()) };
  const auto check = [&](const std::string& aName, const std::string& aKey) {
    if (aReader.Has(aName) && aKey.size() != kCurveKeyLength) {
      aReader.Report(aName, "'" + aName + "' must have 40 characters");
    }
  };
  check("public_key", curve.mPublicKey);
  check("secret_key", curve.mSecretKey);
  if (curve.mPublicKey.empty() != curve.mSecretKey.empty()) {
    aReader.Report("public_key", "needs both public_key and secret_key");
  }
  aReader.Finish();
  return curve;
}

TlsSettings ReadTls(MapReader aReader)
{
  TlsSettings tls{ .mCertificateFile = aReader.Text("certificate_file", std::string()),
                   .mKeyFile = aReader.Text("key_file", std::string()) };
  if (tls.mCertificateFile.empty() != tls.mKeyFile.empty()) {
    aReader.Report("certificate_file", "needs both certificate_file and key_file");
  }
  aReader.Finish();
  return tls;
}

std::string ReadLogLevel(MapReader& aReader, const std::string& aDefault)
{
  std::string level = aReader.Text("log_level", aDefault);
  if (std::ranges::find(kLogLevels, level) == kLogLevels.end()) {
    aReader.Report("log_level", "'log_level' must be trace, debug, info, warn or error");
  }
  return level;
}

CommonSettings ReadCommon(MapReader& aReader)
{
  CommonSettings common;
  common.mName = ids::ProcessId(aReader.Text("name"));
  common.mVm = ids::VmId(aReader.Text("vm"));
  common.mAvailabilityZone = ids::AvailabilityZoneId(aReader.Text("availability_zone"));
  common.mPeer = ReadAddress(aReader, "peer");
  common.mAnnounce = ReadAddress(aReader, "announce", "127.0.0.1:0");
  common.mMetrics = ReadAddress(aReader, "metrics", "127.0.0.1:0");
  common.mStoreUrl = ReadUrl(aReader, "store_url");
  common.mLogLevel = ReadLogLevel(aReader, common.mLogLevel);
  common.mCurve = ReadCurve(aReader.Map("curve", false));
  common.mStoreTimeout =
    aReader.Milliseconds("store_timeout_ms", kTimeoutRange, common.mStoreTimeout);
  common.mStopTimeout =
    aReader.Milliseconds("stop_timeout_ms", kTimeoutRange, common.mStopTimeout);
  common.mTimelineEvents = static_cast<std::uint32_t>(
    aReader.Integer("timeline_events", { 100, 1000000 }, common.mTimelineEvents));
  return common;
}

/// Reads one of two names; the first is the default.
template<typename Policy>
Policy ReadPolicy(MapReader aReader,
                  const std::string& aKey,
                  const std::array<std::string_view, 2>& aNames)
{
  const std::string name = aReader.Text(aKey, std::string(aNames.at(0)));
  const auto it = std::ranges::find(aNames, name);
  if (it == aNames.end()) {
    aReader.Report(aKey,
                   "'" + aKey + "' must be " + std::string(aNames.at(0)) + " or " +
                     std::string(aNames.at(1)));
  }
  aReader.Finish();
  return it == std::next(aNames.begin()) ? static_cast<Policy>(1)
                                         : static_cast<Policy>(0);
}

EntrySettings ReadEntry(MapReader& aReader)
{
  EntrySettings entry;
  entry.mCommon = ReadCommon(aReader);
  entry.mHttp = ReadAddress(aReader, "http");
  entry.mTls = ReadTls(aReader.Map("tls", false));
  entry.mVmListUrl = ReadUrl(aReader, "vm_list_url", std::string());
  entry.mHttpThreads = static_cast<std::uint32_t>(
    aReader.Integer("http_threads", { 1, 4096 }, entry.mHttpThreads));
  entry.mMaxBodyBytes = static_cast<std::uint32_t>(
    aReader.Integer("max_body_bytes", { 1024, 64 << 20 }, entry.mMaxBodyBytes));
  entry.mInTouch = aReader.Milliseconds("in_touch_ms", kInTouchRange, entry.mInTouch);
  entry.mPollInterval = aReader.Milliseconds(
    "poll_interval_ms", { milliseconds(20), milliseconds(2000) }, entry.mPollInterval);
  entry.mCreditWait = aReader.Milliseconds(
    "credit_wait_ms", { milliseconds(0), milliseconds(10000) }, entry.mCreditWait);
  entry.mGrantLife = aReader.Milliseconds(
    "grant_life_ms", { milliseconds(100), milliseconds(10000) }, entry.mGrantLife);
  entry.mSilence = aReader.Milliseconds(
    "silence_ms", { milliseconds(100), milliseconds(30000) }, entry.mSilence);
  entry.mRouter = ReadPolicy<RouterPolicy>(
    aReader.Map("policy", false), "router", { "power-of-two", "round-robin" });
  if (entry.mPollInterval * 2 > entry.mInTouch) {
    aReader.Report("poll_interval_ms",
                   "'poll_interval_ms' must be at most half of in_touch_ms");
  }
  return entry;
}

AgentSettings ReadAgent(MapReader& aReader)
{
  AgentSettings agent;
  agent.mCommon = ReadCommon(aReader);
  agent.mEndpoint = ids::EndpointId(aReader.Text("endpoint"));
  agent.mPool = ids::PoolId(aReader.Text("pool"));
  agent.mBackendUrl = ReadUrl(aReader, "backend_url");
  agent.mTicketLife =
    aReader.Milliseconds("ticket_life_ms", kTicketRange, agent.mTicketLife);
  agent.mProgressInterval =
    aReader.Milliseconds("progress_interval_ms",
                         { milliseconds(50), milliseconds(10000) },
                         agent.mProgressInterval);
  agent.mQueue =
    ReadPolicy<QueuePolicy>(aReader.Map("policy", false), "queue", { "fair", "fifo" });
  return agent;
}

template<typename Read>
auto Parse(const std::string& aText, const std::string& aFile, Read aRead)
{
  findings::Findings findings(aFile);
  const YAML::Node document = yaml::ParseDocument(aText, findings);
  findings.ThrowIfAny();
  MapReader reader(document, "settings", findings);
  auto settings = aRead(reader);
  reader.Finish();
  findings.ThrowIfAny();
  return settings;
}

}

EntrySettings ParseEntrySettings(const std::string& aText, const std::string& aFile)
{
  return Parse(aText, aFile, ReadEntry);
}

AgentSettings ParseAgentSettings(const std::string& aText, const std::string& aFile)
{
  return Parse(aText, aFile, ReadAgent);
}

EntrySettings LoadEntrySettings(const std::string& aPath)
{
  return ParseEntrySettings(yaml::ReadFile(aPath), aPath);
}

AgentSettings LoadAgentSettings(const std::string& aPath)
{
  return ParseAgentSettings(yaml::ReadFile(aPath), aPath);
}

}
