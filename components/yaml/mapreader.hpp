#ifndef SAMPHIRESAIL_COMPONENTS_YAML_MAPREADER_HPP
#define SAMPHIRESAIL_COMPONENTS_YAML_MAPREADER_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "components/findings/findings.hpp"

namespace samphiresail::yaml {

/// Closed range of numbers that a key allows.
template<typename Number>
struct Range
{
  Number mMin;
  Number mMax;
};

/// Reads the typed values of one YAML map. Each fault becomes a finding at its place, and
/// the default takes the place of the value, so that reading goes on and finds the rest.
class MapReader
{
public:
  /// aWhat names the map in findings, as in `model 'depot'`.
  MapReader(const YAML::Node& aNode, std::string aWhat, findings::Findings& aFindings);

  /// A value without a default is required.
  std::string Text(const std::string& aKey,
                   const std::optional<std::string>& aDefault = {});
  std::int64_t Integer(const std::string& aKey,
                       Range<std::int64_t> aRange,
                       std::optional<std::int64_t> aDefault = {});
  double Number(const std::string& aKey,
                Range<double> aRange,
                std::optional<double> aDefault = {});
  bool Flag(const std::string& aKey, std::optional<bool> aDefault = {});
  std::chrono::milliseconds Milliseconds(
    const std::string& aKey,
    Range<std::chrono::milliseconds> aRange,
    std::optional<std::chrono::milliseconds> aDefault = {});

  /// Returns a reader of a nested map; an absent optional map reads as empty.
  MapReader Map(const std::string& aKey, bool aRequired);
  /// Returns the items of a list; an absent list is empty.
  std::vector<YAML::Node> List(const std::string& aKey);

  /// True if the key is present with any value.
  bool Has(const std::string& aKey) const;
  /// True if the key is present with a number, also one out of range.
  bool HasNumber(const std::string& aKey) const;
  /// Adds a finding at the value of the key, or at the map if it is absent. aKind is the
  /// name of the kind of error.
  void Report(const std::string& aKey,
              const std::string& aText,
              const std::string& aKind = {});
  /// Changes the name of the map in findings.
  void Rename(std::string aWhat) { mWhat = std::move(aWhat); }
  /// Adds a finding for each key that was never asked for.
  void Finish();

private:
  YAML::Node Find(const std::string& aKey, bool aRequired);
  std::optional<std::string> Scalar(const std::string& aKey, bool aRequired, bool aPlain);
  void AddFinding(const YAML::Node& aNode,
                  const std::string& aText,
                  const std::string& aKind = {});

  YAML::Node mNode;
  std::string mWhat;
  findings::Findings* mFindings;
  std::set<std::string> mKnown;
  bool mReadable;
};

}

#endif
