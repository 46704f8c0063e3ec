#include "apps/samphiresail/operator/timelinecommand.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <stdexcept>

#include <CLI/CLI.hpp>

#include "apps/samphiresail/operator/exitstatus.hpp"
#include "apps/samphiresail/operator/fleetclient.hpp"
#include "apps/samphiresail/operator/fleetdirectory.hpp"
#include "apps/samphiresail/operator/operatoroptions.hpp"
#include "components/timeline/mergedtimeline.hpp"
#include "components/timeline/timelinepicture.hpp"

namespace samphiresail::operators {

namespace {

constexpr std::chrono::milliseconds kAnswerTimeout{ 3000 };

struct TimelineOptions
{
  std::string mRequest;
  std::string mAccount;
  std::string mEndpoint;
  /// Seconds before now; 0 for no bound.
  double mFromSecondsAgo{ 0 };
  double mToSecondsAgo{ 0 };
  std::uint32_t mLimit{ 2000 };
  bool mJson{ false };
  std::string mSvgFile;
  std::string mHtmlFile;
  /// Addresses to ask instead of those in the store, which may be down.
  std::vector<std::string> mAsk;
};

std::int64_t WallBefore(double aSecondsAgo)
{
  if (aSecondsAgo <= 0) {
    return 0;
  }
  const auto wall = std::chrono::system_clock::now() -
                    std::chrono::duration_cast<std::chrono::system_clock::duration>(
                      std::chrono::duration<double>(aSecondsAgo));
  return std::chrono::duration_cast<std::chrono::microseconds>(wall.time_since_epoch())
    .count();
}

std::optional<std::vector<transport::PeerAddress>> FindProcesses(
  const OperatorOptions& aOptions)
{
  store::EtcdStore store(aOptions.mStoreUrl);
  const std::optional<FleetDirectory> fleet =
    ReadFleetDirectory(store, aOptions.StoreTimeout());
  if (!fleet) {
    return std::nullopt;
  }
  std::vector<transport::PeerAddress> addresses = fleet->EntryAddresses();
  std::ranges::copy(fleet->AgentAddresses(), std::back_inserter(addresses));
  return addresses;
}

void WriteFile(const std::string& aPath, const std::string& aText)
{
  std::ofstream file(aPath, std::ios::binary);
  file << aText;
  file.close();
  if (!file) {
    throw std::runtime_error("cannot write '" + aPath + "'");
  }
}

void Print(const std::vector<wire::TimelineEvent>& aEvents,
           const TimelineOptions& aTimeline)
{
  if (!aTimeline.mSvgFile.empty()) {
    WriteFile(aTimeline.mSvgFile, timeline::RenderSvg(aEvents));
  }
  if (!aTimeline.mHtmlFile.empty()) {
    WriteFile(aTimeline.mHtmlFile, timeline::RenderHtml(aEvents));
  }
  if (aTimeline.mJson) {
    std::cout << timeline::FormatJsonLines(aEvents);
  } else if (aTimeline.mSvgFile.empty() && aTimeline.mHtmlFile.empty()) {
    std::cout << timeline::FormatText(aEvents);
  }
}

ExitStatus ShowTimeline(const OperatorOptions& aOptions, const TimelineOptions& aTimeline)
{
  std::optional<std::vector<transport::PeerAddress>> addresses = aTimeline.mAsk;
  if (addresses->empty()) {
    addresses = FindProcesses(aOptions);
  }
  if (!addresses) {
    std::cerr << "the store does not answer; name processes with --ask\n";
    return StoreUnreachable;
  }
  const auto question = [&](wire::Envelope& aEnvelope, std::uint64_t aNonce) {
    wire::TimelineRequest& request = *aEnvelope.mutable_timeline_request();
    request.set_nonce(aNonce);
    request.set_request_id(aTimeline.mRequest);
    request.set_client_account(aTimeline.mAccount);
    request.set_endpoint(aTimeline.mEndpoint);
    request.set_from_wall_us(WallBefore(aTimeline.mFromSecondsAgo));
    request.set_limit(aTimeline.mLimit);
  };
  const FleetClient::Answers answers =
    FleetClient(aOptions.mCurve).Ask(*addresses, question, kAnswerTimeout);
  std::vector<wire::TimelineReply> replies;
  std::ranges::transform(answers, std::back_inserter(replies), [](const auto& aAnswer) {
    return aAnswer.second.timeline_reply();
  });
  Print(timeline::MergeEvents(replies, WallBefore(aTimeline.mToSecondsAgo)), aTimeline);
  if (answers.size() < addresses->size()) {
    std::cerr << answers.size() << " of " << addresses->size() << " processes answered\n";
    return Incomplete;
  }
  return Success;
}

void AddOptions(CLI::App& aCommand, TimelineOptions& aTimeline)
{
  aCommand.add_option("--request", aTimeline.mRequest, "Only events of this request");
  aCommand.add_option("--account", aTimeline.mAccount, "Only this client account");
  aCommand.add_option("--endpoint", aTimeline.mEndpoint, "Only this endpoint");
  aCommand.add_option(
    "--from", aTimeline.mFromSecondsAgo, "Only events of the last so many seconds");
  aCommand.add_option(
    "--to", aTimeline.mToSecondsAgo, "Only events older than so many seconds");
  aCommand.add_option(
    "--limit", aTimeline.mLimit, "Latest events taken from each process");
  aCommand.add_flag("--json", aTimeline.mJson, "Print JSON lines");
  aCommand.add_option("--svg", aTimeline.mSvgFile, "Write a picture to this file");
  aCommand.add_option("--html", aTimeline.mHtmlFile, "Write a page to this file");
  aCommand.add_option(
    "--ask", aTimeline.mAsk, "Ask these peer addresses instead of those in the store");
}

}

void AddTimelineCommand(CLI::App& aApp, int& aStatus)
{
  const auto timeline = std::make_shared<TimelineOptions>();
  CLI::App* command =
    aApp.add_subcommand("timeline", "Show recent events of all processes in one line");
  AddOptions(*command, *timeline);
  command->callback([=, &aStatus, options = AddOperatorOptions(*command)] {
    aStatus = ShowTimeline(*options, *timeline);
  });
}

}
