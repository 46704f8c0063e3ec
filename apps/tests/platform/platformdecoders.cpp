#include "apps/tests/platform/platformdecoders.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "apps/fuzz/check.hpp"
#include "components/gateway/peercodec.hpp"
#include "platform/configurationreport.hpp"
#include "platform/decode.hpp"
#include "platform/dialect.hpp"
#include "platform/foreignjson.hpp"

namespace samphiresail::fuzz {

namespace {

using namespace std::chrono_literals;
namespace http = frontend::http;

constexpr char kEndpointSeed[] =
  R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":64,)"
  R"("state":"ready","coldRemainingMs":1500,"models":[{"name":"m","version":1,)"
  R"("adapters":["a1",{"name":"a2"}]}],"atHand":{"inMemory":["m"],"onDisk":["n"]},)"
  R"("sequence":4,"born":1765000000000})";

constexpr char kReportSeed[] =
  R"({"models":[{"name":"m","version":1,"adapters":["a1"]}],"sequence":4,"busy":false,)"
  R"("coming":["m/a2@3"],"atHand":{"inMemory":["m"],"onDisk":["n"]}})";

constexpr char kConfigurationSeed[] =
  R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"stream",)"
  R"("timeoutMs":12000,"targetLatencyMs":300,"gapAimMs":300,"priority":2,)"
  R"("maxAttempts":2,"trafficSplit":[{"service":"s","weight":90}]}],"services":)"
  R"([{"name":"s","coldPerS":15.0,"engine":{"slots":64,"weightsMb":230000.0,)"
  R"("adapterSlots":8,"loadsPerS":1.6,"models":[{"name":"m","weightsMb":65099.9,)"
  R"("loadTimeS":3.8,"adapters":22,"adapterMb":12.0}]}}],"limits":{"maxHeaderBytes":)"
  R"(1024,"maxBodyBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":)"
  R"([{"name":"t","apiKeys":["k"],"priority":1,"ratePerS":66064,"burst":1000}]})";

/// Values of all headers that are read, one a line.
constexpr char kHeadersSeed[] =
  "1460,80\n5c1e:800,91bd:410\n12000\n3,1,8\ntimeout=10\n0.25";

void RunEndpoint(std::string_view aBytes)
{
  const auto report = platform::DecodeEndpoint("e1", std::string(aBytes));
  if (!report) {
    return;
  }
  Check(report->mAddress.mPort != 0, "an endpoint has a port");
  Check(report->mColdRemaining >= 0ms && report->mColdRemaining <= 1h,
        "a cold start has an end");
  Check(report->mIncarnation >= 0 && report->mIncarnation < 253'402'300'800'000,
        "a start has a year of four digits");
  Check(report->mSlots <= 100'000, "an endpoint's places are bounded");
}

void RunReport(std::string_view aBytes)
{
  const auto report = platform::DecodeEngineReport(std::string(aBytes));
  Check(!report || report->mOrdersAccepted < (1ULL << 53U), "a count is exact");
}

/// An entry accepts a configuration exactly if the check of it finds no error.
void RunConfiguration(std::string_view aBytes)
{
  const std::string text(aBytes);
  const platform::ConfigurationReport report =
    platform::CheckConfiguration(text, gateway::WindowedRetryBudgetLimits{});
  const bool isTooLarge = std::ranges::any_of(
    report.mFindings, [](const auto& aFinding) { return aFinding.mKind == "too-large"; });
  const bool isSound =
    report.mUnreadable.empty() && !report.mHasFaultyFields && !isTooLarge;
  bool isAccepted = false;
  try {
    const auto configuration = platform::DecodeConfiguration(text);
    isAccepted = true;
    for (const gateway::Route& route : configuration->mRoutes) {
      Check(route.mTimeout >= 0ms && route.mTimeout <= 24h * 365, "a timeout is bounded");
    }
  } catch (const nlohmann::json::exception&) {
    isAccepted = false;
  } catch (const platform::UnreadableText&) {
    isAccepted = false;
  }
  Check(isAccepted == isSound, "the check judges as an entry does");
}

void RunHeaders(std::string_view aBytes)
{
  std::vector<std::string> lines(6);
  for (std::string& line : lines) {
    line = std::string(aBytes.substr(0, aBytes.find('\n')));
    aBytes.remove_prefix(std::min(line.size() + 1, aBytes.size()));
  }
  const platform::PlatformDialect dialect;
  http::request<http::empty_body> request(http::verb::post, "/a", 11);
  request.set("Attempt-Id", "r1");
  request.set("Token-Count", lines[0]);
  request.set("Prompt-Prefix", lines[1]);
  request.set("Deadline-Ms", lines[2]);
  const auto facts = dialect.ReadRequest(request.base());
  Check(facts.has_value(), "a request with an identifier is read");
  Check(facts->mPromptTokens >= 0 && facts->mOutputTokens >= 0, "no negative tokens");
  Check(facts->mCallerTimeout.value_or(0ms) >= 0ms &&
          facts->mCallerTimeout.value_or(0ms) <= 24h,
        "a caller's time is bounded");
  http::response<http::empty_body> response(http::status::service_unavailable, 11);
  response.set("Server-Load", lines[3]);
  response.set("Keep-Alive", lines[4]);
  response.set("Retry-After", lines[5]);
  const auto read = dialect.ReadResponse(response.base());
  Check(read.mKeepAlive.value_or(0s) >= 0s && read.mKeepAlive.value_or(0s) <= 1h,
        "an idle time is bounded");
  Check(read.mPause.value_or(0ms) >= 0ms && read.mPause.value_or(0ms) <= 1h,
        "a pause is bounded");
}

void RunPeerReport(std::string_view aBytes)
{
  const auto report = gateway::DecodePeerReport(aBytes);
  if (!report) {
    return;
  }
  Check(std::ranges::all_of(report->mInFlight,
                            [](const auto& aRow) {
                              return std::isfinite(aRow.second.mUnread.count()) &&
                                     aRow.second.mUnread.count() >= 0.0;
                            }),
        "a load is a time");
  Check(gateway::DecodePeerReport(gateway::EncodePeerReport(*report)).has_value(),
        "a report that is read can be passed on");
}

std::string PeerReportSeed()
{
  gateway::PeerReport report;
  report.mProcess = ids::ProcessId("entry-1");
  report.mSequence = 9;
  report.mInFlight[1] = { 3, gateway::Milliseconds(120.0), 900.0 };
  report.mAdmitted[2] = 1250.5;
  report.mModelDemand[3] = 2.0;
  return gateway::EncodePeerReport(report);
}

}

std::vector<Decoder> PlatformDecoders()
{
  return { { "platform-endpoint", RunEndpoint, { kEndpointSeed } },
           { "platform-report", RunReport, { kReportSeed } },
           { "platform-configuration", RunConfiguration, { kConfigurationSeed } },
           { "platform-headers", RunHeaders, { kHeadersSeed } },
           { "peer-report", RunPeerReport, { PeerReportSeed() } } };
}

}
