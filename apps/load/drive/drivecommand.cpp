#include "apps/load/drive/drivecommand.hpp"

#include <fstream>
#include <map>
#include <memory>
#include <stdexcept>

#include <CLI/CLI.hpp>

#include "apps/load/drive/driver.hpp"
#include "apps/load/drive/report.hpp"
#include "apps/load/drive/workload.hpp"
#include "components/catalogue/catalogueparser.hpp"

namespace samphiresail::load {

namespace {

struct DriveLine
{
  std::string mCatalogue;
  std::string mKeys;
  std::vector<std::string> mTo;
  std::string mDemand{ "steady" };
  std::string mLabel{ "run" };
  std::string mCsv;
  std::string mSvg;
  int mSeconds{ 30 };
  WorkloadOptions mWorkload;
  DriverOptions mDriver;
  AttainmentLimits mLimits;
};

const std::map<std::string, Demand> kDemands{ { "steady", Demand::Steady },
                                              { "burst", Demand::Burst },
                                              { "overload", Demand::Overload },
                                              { "batch-night", Demand::BatchNight } };

/// Reads HOST:PORT or HOST:PORT=WEIGHT.
Target ParseTarget(const std::string& aText)
{
  const auto colon = aText.find(':');
  const auto equals = aText.find('=');
  if (colon == std::string::npos) {
    throw std::invalid_argument("'" + aText + "' is not HOST:PORT");
  }
  Target target;
  target.mHost = aText.substr(0, colon);
  target.mPort =
    static_cast<std::uint16_t>(std::stoul(aText.substr(colon + 1, equals - colon - 1)));
  if (equals != std::string::npos) {
    target.mWeight = static_cast<unsigned>(std::stoul(aText.substr(equals + 1)));
  }
  return target;
}

/// Reads lines of account and key.
std::map<std::string, std::string> ReadKeys(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("cannot read " + aPath);
  }
  std::map<std::string, std::string> keys;
  std::string account;
  std::string key;
  while (file >> account >> key) {
    keys[account] = key;
  }
  return keys;
}

void Run(DriveLine& aLine)
{
  const auto catalogue = catalogue::LoadCatalogue(aLine.mCatalogue);
  aLine.mWorkload.mDemand = kDemands.at(aLine.mDemand);
  aLine.mWorkload.mDuration = std::chrono::seconds(aLine.mSeconds);
  aLine.mDriver.mSeed = aLine.mWorkload.mSeed;
  aLine.mDriver.mKeys = ReadKeys(aLine.mKeys);
  for (const auto& text : aLine.mTo) {
    aLine.mDriver.mTargets.push_back(ParseTarget(text));
  }
  const auto plan = PlanWorkload(catalogue, aLine.mWorkload);
  const auto report = MakeReport(plan, Drive(plan, aLine.mDriver), aLine.mLimits);
  PrintReport(report, aLine.mLabel);
  if (!aLine.mCsv.empty()) {
    WriteCsv(report, aLine.mLabel, aLine.mCsv);
  }
  if (!aLine.mSvg.empty()) {
    WriteSvg(report, aLine.mLabel, aLine.mSvg);
  }
}

}

void AddDriveCommand(CLI::App& aApp)
{
  auto* drive = aApp.add_subcommand("drive", "Sends open-loop load to running entries");
  const auto line = std::make_shared<DriveLine>();
  drive->add_option("--catalogue", line->mCatalogue, "Catalogue file")->required();
  drive->add_option("--keys", line->mKeys, "File of accounts and keys")->required();
  drive->add_option("--to", line->mTo, "HOST:PORT or HOST:PORT=WEIGHT")
    ->delimiter(',')
    ->required();
  drive->add_option("--demand", line->mDemand, "steady, burst, overload or batch-night")
    ->check(CLI::IsMember(kDemands));
  drive->add_option("--seed", line->mWorkload.mSeed, "Seed of the plan");
  drive->add_option("--rate", line->mWorkload.mPerSecond, "Requests per second");
  drive->add_option("--seconds", line->mSeconds, "Length of the run");
  drive->add_option("--prompt-words", line->mWorkload.mPromptWords, "Words of a prompt");
  drive->add_option("--output-tokens", line->mWorkload.mOutputTokens, "Output limit");
  drive->add_option("--threads", line->mDriver.mThreads, "Requests in flight at once");
  drive->add_option("--first-token-ms", line->mLimits.mFirstTokenMs, "Limit");
  drive->add_option("--label", line->mLabel, "Name of the run in the report");
  drive->add_option("--csv", line->mCsv, "File to which rows are added");
  drive->add_option("--svg", line->mSvg, "Picture to write");
  drive->callback([line] { Run(*line); });
}

}
