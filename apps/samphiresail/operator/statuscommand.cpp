#include "apps/samphiresail/operator/statuscommand.hpp"

#include <algorithm>
#include <iostream>
#include <memory>
#include <optional>

#include <CLI/CLI.hpp>

#include "apps/samphiresail/operator/configurationsession.hpp"
#include "apps/samphiresail/operator/fleetclient.hpp"
#include "apps/samphiresail/operator/fleetdirectory.hpp"
#include "apps/samphiresail/operator/statustable.hpp"

namespace samphiresail::operators {

namespace {

constexpr std::chrono::milliseconds kAnswerTimeout{ 2000 };

std::string DocumentOf(const FleetClient::Answers& aAnswers, const std::string& aAddress)
{
  const auto it = aAnswers.find(aAddress);
  return it == aAnswers.end() ? std::string() : it->second.status_reply().document();
}

std::vector<ProcessStatus> Collect(const FleetDirectory& aFleet,
                                   const settings::CurveSettings& aCurve)
{
  std::vector<transport::PeerAddress> addresses = aFleet.EntryAddresses();
  std::ranges::copy(aFleet.AgentAddresses(), std::back_inserter(addresses));
  const FleetClient::Answers answers = FleetClient(aCurve).Ask(
    addresses,
    [](wire::Envelope& aEnvelope, std::uint64_t aNonce) {
      aEnvelope.mutable_status_request()->set_nonce(aNonce);
    },
    kAnswerTimeout);
  std::vector<ProcessStatus> processes;
  for (const wire::EntryRecord& entry : aFleet.mEntries) {
    processes.push_back({ "entry",
                          entry.name(),
                          entry.availability_zone(),
                          entry.address(),
                          DocumentOf(answers, entry.address()) });
  }
  for (const wire::AgentRecord& agent : aFleet.mAgents) {
    processes.push_back({ "agent",
                          agent.endpoint(),
                          agent.availability_zone(),
                          agent.address(),
                          DocumentOf(answers, agent.address()) });
  }
  return processes;
}

void PrintConfiguration(const catalogue::Configuration& aConfiguration,
                        const FleetDirectory& aFleet)
{
  std::cout << "configuration version " << aConfiguration.mVersion.Count() << ", "
            << aConfiguration.mKeys.size() << " keys; roster version "
            << aFleet.mRoster.mVersion.Count() << " with "
            << aFleet.mRoster.mMembers.size() << " members\n";
  for (const catalogue::AvailabilityZone& zone :
       aConfiguration.mCatalogue.mAvailabilityZones) {
    std::cout << "availability zone " << zone.mName.Str() << ": "
              << (zone.mOut ? "out" : "in") << '\n';
  }
}

ExitStatus Status(const OperatorOptions& aOptions, bool aJson)
{
  const auto configuration = ConfigurationSession(aOptions).Read();
  store::EtcdStore store(aOptions.mStoreUrl);
  const std::optional<FleetDirectory> fleet =
    ReadFleetDirectory(store, aOptions.StoreTimeout());
  if (!configuration || !fleet) {
    std::cerr << "the store does not answer\n";
    return StoreUnreachable;
  }
  const std::vector<ProcessStatus> processes = Collect(*fleet, aOptions.mCurve);
  if (aJson) {
    std::cout << FormatStatusJson(processes);
  } else {
    PrintConfiguration(*configuration, *fleet);
    std::cout << FormatStatusTable(processes);
  }
  const bool complete = std::ranges::none_of(
    processes, [](const ProcessStatus& aProcess) { return aProcess.mDocument.empty(); });
  return complete ? Success : Incomplete;
}

}

void AddStatusCommand(CLI::App& aApp, int& aStatus)
{
  const auto json = std::make_shared<bool>(false);
  CLI::App* command =
    aApp.add_subcommand("status", "Show entries, agents, versions and load");
  command->add_flag("--json", *json, "Print one JSON document");
  command->callback([=, &aStatus, options = AddOperatorOptions(*command)] {
    aStatus = Status(*options, *json);
  });
}

}
