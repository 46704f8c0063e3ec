#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_CONFIGURATIONCHECKER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_CONFIGURATIONCHECKER_HPP

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "apps/samphiresail/operator/exitstatus.hpp"
#include "components/catalogue/catalogue.hpp"
#include "components/configurationcheck/finding.hpp"
#include "components/gateway/windowedretrybudget.hpp"

namespace samphiresail::operators {

enum class ConfigurationFormat
{
  Catalogue,
  Platform,
  /// Settings file of an entry on the platform.
  Settings,
};

/// Returns the format of a text: that of the platform is a JSON object, and a catalogue
/// is a YAML map.
ConfigurationFormat DetectFormat(const std::string& aText);

/// What a file is checked against.
struct CheckTerms
{
  /// Text of the same format to compare with; nothing for no comparison.
  std::optional<std::string> mAgainst;
  /// Catalogue to compare with in place of a text.
  std::optional<catalogue::Catalogue> mAgainstCatalogue;
  /// Names of the findings to leave out.
  std::set<std::string> mIgnored;
  /// Retry budget of the platform's entries, if it is known.
  std::optional<gateway::WindowedRetryBudgetLimits> mBudget;
};

struct CheckResult
{
  ConfigurationFormat mFormat{ ConfigurationFormat::Catalogue };
  /// Why the file, or the one that it is compared with, cannot be read; empty if both
  /// can.
  std::string mUnreadable;
  std::vector<configurationcheck::Finding> mFindings;
  /// All differences; those that take something from callers count as findings unless
  /// their kind is ignored.
  std::vector<configurationcheck::Difference> mDifferences;
  /// True if the file was not compared since it has errors.
  bool mNotCompared{ false };
  /// Number of findings that were left out.
  std::size_t mIgnored{ 0 };

  /// Returns the number of findings, with the differences that count as such.
  std::size_t Count() const;
};

CheckResult CheckText(const std::string& aText,
                      ConfigurationFormat aFormat,
                      const CheckTerms& aTerms);

/// Checks the settings file of an entry on the platform.
CheckResult CheckSettings(const std::string& aFile,
                          const std::set<std::string>& aIgnored);

/// Returns the result as lines `file:place: text [name]`.
std::string FormatCheckText(const std::string& aFile, const CheckResult& aResult);

/// Returns the result as one JSON document.
std::string FormatCheckJson(const std::string& aFile, const CheckResult& aResult);

}

#endif
