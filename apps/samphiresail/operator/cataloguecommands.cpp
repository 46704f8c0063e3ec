#include "apps/samphiresail/operator/cataloguecommands.hpp"

#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include <CLI/CLI.hpp>

#include "apps/samphiresail/operator/configurationsession.hpp"
#include "components/catalogue/cataloguediff.hpp"
#include "components/catalogue/catalogueparser.hpp"
#include "components/catalogue/configurationchanges.hpp"
#include "components/findings/findingserror.hpp"

namespace samphiresail::operators {

namespace {

std::optional<catalogue::Catalogue> LoadAndReport(const std::string& aFile)
{
  try {
    return catalogue::LoadCatalogue(aFile);
  } catch (const findings::FindingsError& error) {
    std::cerr << error.what() << '\n';
    std::cerr << error.All().size() << " findings; nothing was applied\n";
    return std::nullopt;
  }
}

ExitStatus Check(const std::string& aFile)
{
  const std::optional<catalogue::Catalogue> catalogue = LoadAndReport(aFile);
  if (!catalogue) {
    return FileHasFindings;
  }
  std::cout << aFile << ": no findings; " << catalogue->mModels.size()
            << " models and adapters, " << catalogue->mServices.size() << " services, "
            << catalogue->mPools.size() << " pools, " << catalogue->mClientAccounts.size()
            << " client accounts, " << catalogue->mAvailabilityZones.size()
            << " availability zones\n";
  return Success;
}

void PrintLines(const std::vector<std::string>& aLines)
{
  for (const std::string& line : aLines) {
    std::cout << line << '\n';
  }
}

ExitStatus Diff(const std::string& aFile, const OperatorOptions& aOptions)
{
  const std::optional<catalogue::Catalogue> catalogue = LoadAndReport(aFile);
  if (!catalogue) {
    return FileHasFindings;
  }
  const auto current = ConfigurationSession(aOptions).Read();
  if (!current) {
    std::cerr << "the store does not answer\n";
    return StoreUnreachable;
  }
  const std::vector<std::string> lines =
    catalogue::DiffCatalogues(current->mCatalogue, *catalogue);
  PrintLines(lines);
  std::cout << lines.size() << " differences to version " << current->mVersion.Count()
            << '\n';
  return lines.empty() ? Success : Differs;
}

ExitStatus Apply(const std::string& aFile,
                 std::optional<std::uint64_t> aExpected,
                 const OperatorOptions& aOptions)
{
  std::optional<catalogue::Catalogue> catalogue = LoadAndReport(aFile);
  if (!catalogue) {
    return FileHasFindings;
  }
  std::optional<units::Version> expected;
  if (aExpected) {
    expected = units::Version(*aExpected);
  }
  return ConfigurationSession(aOptions).Run(
    catalogue::ApplyCatalogue(std::move(*catalogue), expected),
    [](const catalogue::Configuration&) {});
}

}

void AddCatalogueCommands(CLI::App& aApp, int& aStatus)
{
  const auto file = std::make_shared<std::string>();
  const auto expected = std::make_shared<std::optional<std::uint64_t>>();

  CLI::App* check = aApp.add_subcommand("check", "Check a catalogue file");
  check->add_option("file", *file, "Catalogue file")->required();
  check->callback([=, &aStatus] { aStatus = Check(*file); });

  CLI::App* diff =
    aApp.add_subcommand("diff", "Compare a catalogue file with what is in force");
  diff->add_option("file", *file, "Catalogue file")->required();
  diff->callback([=, &aStatus, options = AddOperatorOptions(*diff)] {
    aStatus = Diff(*file, *options);
  });

  CLI::App* apply = aApp.add_subcommand("apply", "Put a catalogue file in force");
  apply->add_option("file", *file, "Catalogue file")->required();
  apply->add_option(
    "--expect-version", *expected, "Apply only if this version is in force");
  apply->callback([=, &aStatus, options = AddOperatorOptions(*apply)] {
    aStatus = Apply(*file, *expected, *options);
  });
}

}
