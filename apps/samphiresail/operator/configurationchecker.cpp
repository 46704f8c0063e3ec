#include "apps/samphiresail/operator/configurationchecker.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "components/catalogue/catalogueparser.hpp"
#include "components/configurationcheck/cataloguecheck.hpp"
#include "components/configurationcheck/findingkinds.hpp"
#include "components/configurationcheck/servingdiff.hpp"
#include "platform/configurationreport.hpp"
#include "platform/settings.hpp"

namespace samphiresail::operators {

using Json = nlohmann::json;
using configurationcheck::Difference;
using configurationcheck::Finding;

namespace {

std::string FormatName(ConfigurationFormat aFormat)
{
  switch (aFormat) {
    case ConfigurationFormat::Platform:
      return "platform";
    case ConfigurationFormat::Settings:
      return "settings";
    case ConfigurationFormat::Catalogue:
      break;
  }
  return "catalogue";
}

void CheckPlatform(const std::string& aText,
                   const CheckTerms& aTerms,
                   CheckResult& aResult)
{
  platform::ConfigurationReport report =
    platform::CheckConfiguration(aText, aTerms.mBudget);
  aResult.mUnreadable = std::move(report.mUnreadable);
  aResult.mFindings = std::move(report.mFindings);
  if (!aResult.mUnreadable.empty() || !aTerms.mAgainst) {
    return;
  }
  const platform::ConfigurationReport against =
    platform::ReadConfiguration(*aTerms.mAgainst);
  if (!against.mUnreadable.empty() || against.mHasFaultyFields) {
    aResult.mUnreadable =
      "the version to compare with: " +
      (against.mUnreadable.empty() ? "it has errors" : against.mUnreadable);
    return;
  }
  aResult.mNotCompared = report.mHasFaultyFields;
  if (aResult.mNotCompared) {
    return;
  }
  aResult.mDifferences = configurationcheck::DiffServingConfigurations(
    against.mConfiguration, report.mConfiguration);
  const std::uint64_t before = against.mConfiguration.mVersion;
  const std::uint64_t after = report.mConfiguration.mVersion;
  if (!aResult.mDifferences.empty() && after <= before) {
    aResult.mFindings.push_back(
      { std::string(configurationcheck::kinds::kVersionNotNewer),
        "version",
        "entries ignore version " + std::to_string(after) + " once they have version " +
          std::to_string(before) });
  }
}

void CheckCatalogue(const std::string& aText,
                    const CheckTerms& aTerms,
                    CheckResult& aResult)
{
  configurationcheck::CatalogueReport report = configurationcheck::CheckCatalogue(aText);
  aResult.mUnreadable = std::move(report.mUnreadable);
  aResult.mFindings = std::move(report.mFindings);
  std::optional<catalogue::Catalogue> against = aTerms.mAgainstCatalogue;
  if (aTerms.mAgainst && aResult.mUnreadable.empty()) {
    configurationcheck::CatalogueReport other =
      configurationcheck::CheckCatalogue(*aTerms.mAgainst);
    if (!other.mCatalogue) {
      aResult.mUnreadable =
        "the version to compare with: " +
        (other.mUnreadable.empty() ? "it has errors" : other.mUnreadable);
    }
    against = std::move(other.mCatalogue);
  }
  aResult.mNotCompared = against && !report.mCatalogue;
  if (against && report.mCatalogue) {
    aResult.mDifferences =
      configurationcheck::DiffCatalogues(*against, *report.mCatalogue);
  }
}

void LeaveOut(const std::set<std::string>& aIgnored, CheckResult& aResult)
{
  aResult.mIgnored += std::erase_if(aResult.mFindings, [&](const Finding& aFinding) {
    return aIgnored.contains(aFinding.mKind);
  });
  for (Difference& difference : aResult.mDifferences) {
    if (aIgnored.contains(difference.mKind)) {
      difference.mKind.clear();
      ++aResult.mIgnored;
    }
  }
}

std::string DescribeDifference(const Difference& aDifference)
{
  std::string text = aDifference.mSubject + ": " + aDifference.mText;
  if (!aDifference.mEffect.empty()) {
    text += "; " + aDifference.mEffect;
  }
  return text;
}

std::string Suffix(const std::string& aKind)
{
  return aKind.empty() ? "" : " [" + aKind + "]";
}

}

ConfigurationFormat DetectFormat(const std::string& aText)
{
  const std::size_t first = aText.find_first_not_of(" \t\r\n");
  const bool isObject = first != std::string::npos && aText[first] == '{';
  // A catalogue may be written as a YAML flow map, which begins with a brace too.
  return isObject && aText.find("weight_store") == std::string::npos
           ? ConfigurationFormat::Platform
           : ConfigurationFormat::Catalogue;
}

std::size_t CheckResult::Count() const
{
  const auto harmful = std::ranges::count_if(
    mDifferences, [](const Difference& aItem) { return !aItem.mKind.empty(); });
  return mFindings.size() + static_cast<std::size_t>(harmful);
}

CheckResult CheckText(const std::string& aText,
                      ConfigurationFormat aFormat,
                      const CheckTerms& aTerms)
{
  CheckResult result{ .mFormat = aFormat };
  if (aFormat == ConfigurationFormat::Platform) {
    CheckPlatform(aText, aTerms, result);
  } else {
    CheckCatalogue(aText, aTerms, result);
  }
  LeaveOut(aTerms.mIgnored, result);
  return result;
}

CheckResult CheckSettings(const std::string& aFile, const std::set<std::string>& aIgnored)
{
  CheckResult result{ .mFormat = ConfigurationFormat::Settings };
  try {
    static_cast<void>(platform::LoadSettings(aFile));
  } catch (const platform::SettingsError& error) {
    for (const std::string& fault : error.All()) {
      result.mFindings.push_back(
        { std::string(configurationcheck::kinds::kInvalidSetting), "", fault });
    }
  } catch (const std::exception& error) {
    result.mUnreadable = error.what();
  }
  LeaveOut(aIgnored, result);
  return result;
}

std::string FormatCheckText(const std::string& aFile, const CheckResult& aResult)
{
  std::string text;
  for (const Finding& finding : aResult.mFindings) {
    text += aFile + ":";
    if (!finding.mPlace.empty()) {
      text += finding.mPlace + ":";
    }
    text += " " + finding.mText + Suffix(finding.mKind) + "\n";
  }
  for (const Difference& difference : aResult.mDifferences) {
    text +=
      "difference: " + DescribeDifference(difference) + Suffix(difference.mKind) + "\n";
  }
  if (!aResult.mUnreadable.empty()) {
    return text + aFile + ": unreadable: " + aResult.mUnreadable + "\n";
  }
  const std::size_t count = aResult.Count();
  text += aFile + " (" + FormatName(aResult.mFormat) +
          "): " + (count == 0 ? "no" : std::to_string(count)) +
          (count == 1 ? " finding" : " findings");
  if (aResult.mIgnored > 0) {
    text += ", " + std::to_string(aResult.mIgnored) + " ignored";
  }
  if (!aResult.mDifferences.empty()) {
    text += ", " + std::to_string(aResult.mDifferences.size()) + " differences";
  }
  if (aResult.mNotCompared) {
    text += "; not compared, since an entry would reject it";
  }
  return text + "\n";
}

std::string FormatCheckJson(const std::string& aFile, const CheckResult& aResult)
{
  Json findings = Json::array();
  std::ranges::transform(
    aResult.mFindings, std::back_inserter(findings), [](const Finding& aFinding) {
      return Json{ { "name", aFinding.mKind },
                   { "place", aFinding.mPlace },
                   { "text", aFinding.mText } };
    });
  Json differences = Json::array();
  std::ranges::transform(
    aResult.mDifferences, std::back_inserter(differences), [](const Difference& aItem) {
      return Json{ { "name", aItem.mKind.empty() ? Json() : Json(aItem.mKind) },
                   { "subject", aItem.mSubject },
                   { "text", aItem.mText },
                   { "effect", aItem.mEffect } };
    });
  const Json document{
    { "file", aFile },
    { "format", FormatName(aResult.mFormat) },
    { "unreadable", aResult.mUnreadable.empty() ? Json() : Json(aResult.mUnreadable) },
    { "findings", std::move(findings) },
    { "differences", std::move(differences) },
    { "not_compared", aResult.mNotCompared },
    { "ignored", aResult.mIgnored }
  };
  return document.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

}
