#include "apps/samphiresail/operator/checkconfigurationcommand.hpp"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "apps/samphiresail/operator/configurationchecker.hpp"
#include "apps/samphiresail/operator/configurationsession.hpp"
#include "components/configurationcheck/findingkinds.hpp"
#include "components/yaml/document.hpp"
#include "platform/configurationinforce.hpp"
#include "platform/settings.hpp"

namespace samphiresail::operators {

namespace {

/// Exit statuses of this command. They differ from ExitStatus, so that scripts can tell a
/// file with findings from one that cannot be read by fixed numbers.
enum CheckStatus : int
{
  Clean = 0,
  HasFindings = 1,
  Unreadable = 2,
};

struct CheckOptions
{
  std::string mFile;
  std::string mAgainst;
  std::string mSettings;
  std::string mFormat;
  std::vector<std::string> mIgnored;
  bool mInForce{ false };
  bool mJson{ false };
  bool mListFindings{ false };
};

std::string ReadText(const std::string& aFile)
{
  if (aFile == "-") {
    return { std::istreambuf_iterator<char>(std::cin), {} };
  }
  return yaml::ReadFile(aFile);
}

gateway::WindowedRetryBudgetLimits ReadBudget(const std::string& aSettings)
{
  const platform::Settings settings = platform::LoadSettings(aSettings);
  return { .mWindow = settings.mRetryBudgetWindow,
           .mRatio = settings.mRetryBudgetRatio,
           .mSlack = settings.mRetryBudgetSlack };
}

void ReadInForce(ConfigurationFormat aFormat,
                 const OperatorOptions& aOptions,
                 CheckTerms& aTerms)
{
  if (aFormat == ConfigurationFormat::Platform) {
    aTerms.mAgainst =
      platform::ReadConfigurationInForce(aOptions.mStoreUrl, aOptions.StoreTimeout());
    return;
  }
  const auto current = ConfigurationSession(aOptions).Read();
  if (!current) {
    throw std::runtime_error("the store does not answer");
  }
  aTerms.mAgainstCatalogue = current->mCatalogue;
}

CheckResult Check(const CheckOptions& aOptions, const OperatorOptions& aOperator)
{
  CheckResult unreadable;
  try {
    if (aOptions.mFormat == "settings" ||
        (aOptions.mFormat.empty() && aOptions.mFile.ends_with(".toml"))) {
      return CheckSettings(aOptions.mFile,
                           { aOptions.mIgnored.begin(), aOptions.mIgnored.end() });
    }
    const std::string text = ReadText(aOptions.mFile);
    ConfigurationFormat format = DetectFormat(text);
    if (!aOptions.mFormat.empty()) {
      format = aOptions.mFormat == "platform" ? ConfigurationFormat::Platform
                                              : ConfigurationFormat::Catalogue;
    }
    unreadable.mFormat = format;
    CheckTerms terms{ .mIgnored = { aOptions.mIgnored.begin(),
                                    aOptions.mIgnored.end() } };
    if (!aOptions.mAgainst.empty()) {
      terms.mAgainst = ReadText(aOptions.mAgainst);
    }
    if (aOptions.mInForce) {
      ReadInForce(format, aOperator, terms);
    }
    if (!aOptions.mSettings.empty()) {
      terms.mBudget = ReadBudget(aOptions.mSettings);
    }
    return CheckText(text, format, terms);
  } catch (const std::exception& error) {
    unreadable.mUnreadable = error.what();
    return unreadable;
  }
}

CheckStatus Run(const CheckOptions& aOptions, const OperatorOptions& aOperator)
{
  const CheckResult result = Check(aOptions, aOperator);
  const bool isUnreadable = !result.mUnreadable.empty();
  if (aOptions.mJson) {
    std::cout << FormatCheckJson(aOptions.mFile, result);
  } else {
    (isUnreadable ? std::cerr : std::cout) << FormatCheckText(aOptions.mFile, result);
  }
  if (isUnreadable) {
    return Unreadable;
  }
  return result.Count() == 0 ? Clean : HasFindings;
}

std::vector<std::string> FindingNames()
{
  std::vector<std::string> names;
  std::ranges::transform(configurationcheck::AllFindingKinds(),
                         std::back_inserter(names),
                         [](const auto& aKind) { return std::string(aKind.mName); });
  return names;
}

void ListFindings()
{
  for (const configurationcheck::FindingKind& kind :
       configurationcheck::AllFindingKinds()) {
    std::cout << kind.mName << ": " << kind.mSummary << '\n';
  }
}

}

void AddCheckConfigurationCommand(CLI::App& aApp, int& aStatus)
{
  const auto check = std::make_shared<CheckOptions>();
  CLI::App* command = aApp.add_subcommand(
    "check-configuration",
    "Check a catalogue, or a configuration or settings file of the platform");
  CLI::Option* file =
    command->add_option("file", check->mFile, "File to check; - for standard input");
  CLI::Option* against = command->add_option(
    "--against", check->mAgainst, "Show the differences to this file");
  command
    ->add_flag("--in-force",
               check->mInForce,
               "Show the differences to the version in the store, see --store")
    ->excludes(against);
  command
    ->add_option(
      "--format", check->mFormat, "Format of the file; default: by its content")
    ->check(CLI::IsMember({ "catalogue", "platform", "settings" }));
  command->add_option("--settings",
                      check->mSettings,
                      "Settings file of the platform's entries, for the retry budget");
  command->add_option("--ignore", check->mIgnored, "Leave out findings of this name")
    ->check(CLI::IsMember(FindingNames()).description("NAME, see --list-findings"))
    ->allow_extra_args(false);
  command->add_flag("--json", check->mJson, "Print one JSON document");
  command->add_flag("--list-findings", check->mListFindings, "List the names of findings")
    ->excludes(file);
  const auto options = AddOperatorOptions(*command);
  command->get_option("--store")->required(false);
  command->callback([=, &aStatus] {
    if (check->mListFindings) {
      ListFindings();
      aStatus = Clean;
      return;
    }
    if (check->mFile.empty()) {
      throw CLI::RequiredError("file");
    }
    if (check->mInForce && options->mStoreUrl.empty()) {
      throw CLI::RequiredError("--store");
    }
    aStatus = Run(*check, *options);
  });
}

}
