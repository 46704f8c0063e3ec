#include "apps/samphiresail/operator/zonecommands.hpp"

#include <memory>
#include <string>

#include <CLI/CLI.hpp>

#include "apps/samphiresail/operator/configurationsession.hpp"
#include "components/catalogue/configurationchanges.hpp"

namespace samphiresail::operators {

namespace {

ExitStatus SetOut(const std::string& aName, bool aOut, const OperatorOptions& aOptions)
{
  return ConfigurationSession(aOptions).Run(
    catalogue::SetAvailabilityZoneOut(ids::AvailabilityZoneId(aName), aOut),
    [](const catalogue::Configuration&) {});
}

void AddZoneCommand(CLI::App& aZone,
                    int& aStatus,
                    const std::string& aCommand,
                    const std::string& aText,
                    bool aOut)
{
  const auto name = std::make_shared<std::string>();
  CLI::App* command = aZone.add_subcommand(aCommand, aText);
  command->add_option("name", *name, "Availability zone")->required();
  command->callback([=, &aStatus, options = AddOperatorOptions(*command)] {
    aStatus = SetOut(*name, aOut, *options);
  });
}

}

void AddZoneCommands(CLI::App& aApp, int& aStatus)
{
  CLI::App* zone = aApp.add_subcommand("zone", "Take availability zones out and in");
  zone->require_subcommand(1);
  AddZoneCommand(*zone, aStatus, "out", "Give an availability zone no new work", true);
  AddZoneCommand(*zone, aStatus, "in", "Bring an availability zone back", false);
}

}
