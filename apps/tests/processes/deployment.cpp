#include "apps/tests/processes/deployment.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <stdlib.h>

#include "apps/tests/processes/caller.hpp"
#include "apps/tests/processes/freeport.hpp"
#include "components/store/etcdstore.hpp"
#include "components/store/storekeys.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::tests {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kStartLimit{ 15 };
constexpr std::chrono::milliseconds kPollStep{ 50 };
constexpr int kOk = 200;

std::string MakeFolder()
{
  std::string pattern = std::filesystem::temp_directory_path() / "samphiresail-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot make a folder for the settings");
  }
  return pattern;
}

std::string Url(std::uint16_t aPort)
{
  return "http://127.0.0.1:" + std::to_string(aPort);
}

std::string Address(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

std::string ZoneOf(std::size_t aNumber)
{
  constexpr std::size_t kZones = 3;
  return std::string("zone-") + static_cast<char>('a' + (aNumber - 1) % kZones);
}

std::string CommonSettings(const std::string& aName,
                           std::size_t aNumber,
                           const std::string& aStoreUrl)
{
  return "name: " + aName + "\nvm: vm-" + aName +
         "\navailability_zone: " + ZoneOf(aNumber) + "\nstore_url: " + aStoreUrl + "\n";
}

/// Second and fourth word of a ready line.
std::vector<std::uint16_t> ReadPorts(const std::string& aLine)
{
  std::istringstream words(aLine);
  std::vector<std::uint16_t> ports;
  std::string name;
  std::uint16_t port = 0;
  while (words >> name >> port) {
    ports.push_back(port);
  }
  return ports;
}

json ReadJson(const httplib::Result& aResult, const std::string& aName)
{
  if (!aResult || aResult->status != kOk) {
    throw std::runtime_error(aName + " does not answer");
  }
  return json::parse(aResult->body);
}

}

Deployment::Deployment(const DeploymentOptions& aOptions)
  : mFolder(MakeFolder())
  , mEngines(aOptions.mEngines)
{
  const auto store = StartStandIn("store", "store", {});
  mStoreUrl = Url(store);
  mEntryStoreUrl =
    aOptions.mForwardStore ? Url(StartForwarder("store-forwarder", store)) : mStoreUrl;
  std::string vms;
  for (std::size_t it = 1; it <= aOptions.mEngines; ++it) {
    vms += "vm-engine-" + std::to_string(it) + "=" + ZoneOf(it) + ",";
  }
  for (std::size_t it = 1; it <= aOptions.mEntries; ++it) {
    vms += "vm-entry-" + std::to_string(it) + "=" + ZoneOf(it) + ",";
  }
  StartStandIn("vms", "vms", { "--vm", vms + "vm-service-1=zone-a" });
  const auto applied = Operate({ "apply", WriteCatalogue() });
  REQUIRE(applied.mStatus == 0);
  StartEngines(aOptions);
  StartAgent("service-1",
             1,
             "booking",
             StartStandIn("service", "service", {}),
             aOptions.mForwardAgents);
  StartEntries(aOptions);
  AwaitReady();
}

Deployment::~Deployment()
{
  mProcesses.clear();
  if (std::getenv("SAMPHIRESAIL_KEEP_LOGS") == nullptr) {
    std::error_code ec;
    std::filesystem::remove_all(mFolder, ec);
  }
}

std::string Deployment::LogFile(const std::string& aName) const
{
  return mFolder + "/" + aName + ".log";
}

void Deployment::Start(const std::string& aName, std::vector<std::string> aCommand)
{
  mCommands[aName] = aCommand;
  mProcesses[aName] = std::make_unique<ChildProcess>(std::move(aCommand), LogFile(aName));
}

void Deployment::Restart(const std::string& aName)
{
  mProcesses.erase(aName);
  Start(aName, mCommands.at(aName));
}

std::uint16_t Deployment::StartStandIn(const std::string& aName,
                                       const std::string& aProgram,
                                       std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.begin(),
                    std::string(SAMPHIRESAIL_STANDINS) + "/samphiresail-standin-" +
                      aProgram);
  Start(aName, std::move(aArguments));
  const auto ports = ReadPorts(Process(aName).ReadLine(kStartLimit));
  mPorts[aName] = ports.at(0);
  return ports.back();
}

std::uint16_t Deployment::StartForwarder(const std::string& aName, std::uint16_t aTo)
{
  return StartStandIn(aName, "forwarder", { "--to", Address(aTo) });
}

std::string Deployment::WriteSettings(const std::string& aName, const std::string& aText)
{
  auto path = mFolder + "/" + aName + ".yml";
  std::ofstream(path) << aText;
  return path;
}

std::string Deployment::WriteCatalogue() const
{
  std::ifstream example(SAMPHIRESAIL_SOURCE "/examples/demo.yml");
  std::string text{ std::istreambuf_iterator<char>(example), {} };
  // The engines are warm at the start of a test.
  const std::string cold = "cold_ms: 3000";
  text.replace(text.find(cold), cold.size(), "cold_ms: 200");
  auto path = mFolder + "/catalogue.yml";
  std::ofstream(path) << text;
  return path;
}

bool Deployment::RosterIsComplete() const
{
  store::EtcdStore store(mStoreUrl);
  const auto reply = store.Execute(store::RangeRequest{ .mKey = store::kRosterKey },
                                   std::chrono::seconds(1));
  wire::RosterRecord roster;
  return reply.mRecords.size() == 1 &&
         roster.ParseFromString(reply.mRecords.front().mValue) && roster.accepted() &&
         static_cast<std::size_t>(roster.members_size()) == mEntryPorts.size();
}

void Deployment::StartEngines(const DeploymentOptions& aOptions)
{
  for (std::size_t it = 1; it <= aOptions.mEngines; ++it) {
    const auto number = std::to_string(it);
    std::vector<std::string> flags{
      "--memory",        "17179869184", "--check-fencing",           "--resident",
      "depot-assistant", "--memory-of", "depot-assistant=8589934592"
    };
    flags.insert(flags.end(), aOptions.mEngineFlags.begin(), aOptions.mEngineFlags.end());
    const auto backend = StartStandIn("backend-" + number, "engine", flags);
    StartAgent("engine-" + number, it, "assistant", backend, aOptions.mForwardAgents);
  }
}

void Deployment::StartAgent(const std::string& aName,
                            std::size_t aNumber,
                            const std::string& aPool,
                            std::uint16_t aBackend,
                            bool aForward)
{
  const auto peer = FindFreePort();
  auto text = CommonSettings(aName, aNumber, mStoreUrl) + "peer: " + Address(peer) +
              "\nendpoint: " + aName + "\npool: " + aPool +
              "\nbackend_url: " + Url(aBackend) + "\n";
  if (aForward) {
    text += "announce: " + Address(StartForwarder(aName + "-forwarder", peer)) + "\n";
  }
  Start(aName,
        { SAMPHIRESAIL_PROGRAM, "agent", "--settings", WriteSettings(aName, text) });
}

void Deployment::StartEntries(const DeploymentOptions& aOptions)
{
  for (std::size_t it = 1; it <= aOptions.mEntries; ++it) {
    const auto name = "entry-" + std::to_string(it);
    mEntryPorts.push_back(FindFreePort());
    const auto text =
      CommonSettings(name, it, mEntryStoreUrl) + "peer: " + Address(FindFreePort()) +
      "\nhttp: " + Address(mEntryPorts.back()) +
      "\nvm_list_url: " + Url(mPorts.at("vms")) + "\n" + aOptions.mEntrySettings;
    Start(name,
          { SAMPHIRESAIL_PROGRAM, "entry", "--settings", WriteSettings(name, text) });
  }
}

void Deployment::AwaitReady()
{
  INFO("settings and logs in " << mFolder);
  REQUIRE(Eventually([this] { return RosterIsComplete(); }));
  const auto key = IssueKey("head-office", "start-up");
  for (const auto port : mEntryPorts) {
    INFO("entry on port " << port << ", settings and logs in " << mFolder);
    REQUIRE(Eventually([&] {
      Caller caller(port, key);
      const ChatRequest request{ .mPrompt = "ready", .mTokens = 1 };
      return IsWhole(caller.Chat(request), request) &&
             caller.Get("/booking/stock/ready").mStatus == kOk;
    }));
  }
}

ProgramResult Deployment::Operate(std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.begin(), SAMPHIRESAIL_PROGRAM);
  aArguments.insert(aArguments.end(), { "--store", mStoreUrl });
  return RunProgram(std::move(aArguments), LogFile("operator"));
}

std::string Deployment::IssueKey(const std::string& aAccount, const std::string& aName)
{
  const auto result =
    Operate({ "keys", "issue", "--account", aAccount, "--name", aName });
  REQUIRE(result.mStatus == 0);
  constexpr std::string_view kPrefix = "key: ";
  const auto begin = result.mOutput.find(kPrefix) + kPrefix.size();
  auto key = result.mOutput.substr(begin, result.mOutput.find('\n', begin) - begin);
  for (const auto port : mEntryPorts) {
    INFO("entry on port " << port << ", settings and logs in " << mFolder);
    REQUIRE(
      Eventually([&] { return Caller(port, key).Get("/v1/models").mStatus == kOk; }));
  }
  return key;
}

json Deployment::Tell(const std::string& aName,
                      const std::string& aPath,
                      const json& aBody)
{
  httplib::Client client("127.0.0.1", mPorts.at(aName));
  return ReadJson(client.Post(aPath, aBody.dump(), "application/json"), aName);
}

json Deployment::Ask(const std::string& aName, const std::string& aPath)
{
  httplib::Client client("127.0.0.1", mPorts.at(aName));
  return ReadJson(client.Get(aPath), aName);
}

std::uint64_t Deployment::EngineExecutions(std::size_t aNumber)
{
  return Ask("backend-" + std::to_string(aNumber), "/journal").at("executions");
}

std::uint64_t Deployment::EngineExecutions()
{
  std::uint64_t sum = 0;
  for (std::size_t it = 1; it <= mEngines; ++it) {
    sum += EngineExecutions(it);
  }
  return sum;
}

std::set<std::uint64_t> Deployment::ExecutedPrompts()
{
  std::set<std::uint64_t> prompts;
  for (std::size_t it = 1; it <= mEngines; ++it) {
    const auto journal = Ask("backend-" + std::to_string(it), "/journal");
    for (const auto& request : journal.at("requests")) {
      prompts.insert(request.at("prompt").get<std::uint64_t>());
    }
  }
  return prompts;
}

std::size_t Deployment::ServiceExecutions(const json& aBody)
{
  const auto journal = Ask("service", "/journal");
  return static_cast<std::size_t>(
    std::ranges::count_if(journal.at("executions"), [&](const json& aExecution) {
      return aExecution.at("body") == aBody.dump();
    }));
}

void Deployment::CheckStandIns()
{
  for (std::size_t it = 1; it <= mEngines; ++it) {
    const auto name = "backend-" + std::to_string(it);
    if (!Process(name).IsRunning()) {
      continue;
    }
    const auto journal = Ask(name, "/journal");
    CHECK(journal.at("overcommits") == 0);
    CHECK(journal.at("authorization_seen") == 0);
  }
  const auto journal = Ask("service", "/journal");
  CHECK(journal.at("authorization_seen") == 0);
  std::set<std::string> bodies;
  for (const auto& execution : journal.at("executions")) {
    CHECK(bodies.insert(execution.at("body")).second);
  }
}

bool Eventually(const std::function<bool()>& aCheck, std::chrono::milliseconds aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (!aCheck()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollStep);
  }
  return true;
}

}
