#include "components/yaml/mapreader.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace samphiresail::yaml {

namespace {

template<typename Value>
std::optional<Value> ParseNumber(const std::string& aText)
{
  Value value{};
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, value);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

template<typename Value>
std::string DescribeRange(Range<Value> aRange)
{
  std::ostringstream text;
  text.precision(12);
  text << "from " << aRange.mMin << " to " << aRange.mMax;
  return text.str();
}

std::string Join(const std::set<std::string>& aNames)
{
  std::string text;
  for (const std::string& name : aNames) {
    text += text.empty() ? name : ", " + name;
  }
  return text;
}

}

MapReader::MapReader(const YAML::Node& aNode,
                     std::string aWhat,
                     findings::Findings& aFindings)
  : mNode(aNode)
  , mWhat(std::move(aWhat))
  , mFindings(&aFindings)
  , mReadable(mNode.IsDefined() && mNode.IsMap())
{
  if (mNode.IsDefined() && !mReadable) {
    AddFinding(mNode, "must be a map", "wrong-type");
  }
}

std::string MapReader::Text(const std::string& aKey,
                            const std::optional<std::string>& aDefault)
{
  std::optional<std::string> text = Scalar(aKey, !aDefault.has_value(), false);
  if (text && text->empty()) {
    Report(aKey, "'" + aKey + "' must not be empty");
  }
  return text.value_or(aDefault.value_or(std::string()));
}

std::int64_t MapReader::Integer(const std::string& aKey,
                                Range<std::int64_t> aRange,
                                std::optional<std::int64_t> aDefault)
{
  const std::int64_t fallback = aDefault.value_or(aRange.mMin);
  const std::optional<std::string> text = Scalar(aKey, !aDefault.has_value(), true);
  if (!text) {
    return fallback;
  }
  const std::optional<std::int64_t> value = ParseNumber<std::int64_t>(*text);
  if (value && *value >= aRange.mMin && *value <= aRange.mMax) {
    return *value;
  }
  Report(aKey,
         "'" + aKey + "' must be a whole number " + DescribeRange(aRange),
         "out-of-range");
  return fallback;
}

double MapReader::Number(const std::string& aKey,
                         Range<double> aRange,
                         std::optional<double> aDefault)
{
  const double fallback = aDefault.value_or(aRange.mMin);
  const std::optional<std::string> text = Scalar(aKey, !aDefault.has_value(), true);
  if (!text) {
    return fallback;
  }
  const std::optional<double> value = ParseNumber<double>(*text);
  if (value && *value >= aRange.mMin && *value <= aRange.mMax) {
    return *value;
  }
  Report(
    aKey, "'" + aKey + "' must be a number " + DescribeRange(aRange), "out-of-range");
  return fallback;
}

bool MapReader::Flag(const std::string& aKey, std::optional<bool> aDefault)
{
  const std::optional<std::string> text = Scalar(aKey, !aDefault.has_value(), true);
  if (!text) {
    return aDefault.value_or(false);
  }
  if (*text != "true" && *text != "false") {
    Report(aKey, "'" + aKey + "' must be true or false", "wrong-type");
  }
  return *text == "true";
}

std::chrono::milliseconds MapReader::Milliseconds(
  const std::string& aKey,
  Range<std::chrono::milliseconds> aRange,
  std::optional<std::chrono::milliseconds> aDefault)
{
  std::optional<std::int64_t> fallback;
  if (aDefault) {
    fallback = aDefault->count();
  }
  return std::chrono::milliseconds(
    Integer(aKey, { aRange.mMin.count(), aRange.mMax.count() }, fallback));
}

MapReader MapReader::Map(const std::string& aKey, bool aRequired)
{
  return { Find(aKey, aRequired), mWhat + " " + aKey, *mFindings };
}

std::vector<YAML::Node> MapReader::List(const std::string& aKey)
{
  const YAML::Node node = Find(aKey, false);
  if (!node.IsDefined()) {
    return {};
  }
  if (!node.IsSequence()) {
    AddFinding(node, "'" + aKey + "' must be a list", "wrong-type");
    return {};
  }
  return { node.begin(), node.end() };
}

bool MapReader::Has(const std::string& aKey) const
{
  return mReadable && std::any_of(mNode.begin(), mNode.end(), [&](const auto& aItem) {
           return aItem.first.IsScalar() && aItem.first.Scalar() == aKey;
         });
}

bool MapReader::HasNumber(const std::string& aKey) const
{
  return mReadable && std::any_of(mNode.begin(), mNode.end(), [&](const auto& aItem) {
           return aItem.first.IsScalar() && aItem.first.Scalar() == aKey &&
                  aItem.second.IsScalar() &&
                  ParseNumber<double>(aItem.second.Scalar()).has_value();
         });
}

void MapReader::Report(const std::string& aKey,
                       const std::string& aText,
                       const std::string& aKind)
{
  const YAML::Node value = Has(aKey) ? Find(aKey, false) : mNode;
  AddFinding(value, aText, aKind);
}

void MapReader::Finish()
{
  if (!mReadable) {
    return;
  }
  std::set<std::string> seen;
  for (const auto& item : mNode) {
    const YAML::Node& key = item.first;
    if (!key.IsScalar()) {
      AddFinding(key, "a key must be a word");
    } else if (!mKnown.contains(key.Scalar())) {
      AddFinding(key,
                 "unknown key '" + key.Scalar() + "'; known: " + Join(mKnown),
                 "unknown-field");
    } else if (!seen.insert(key.Scalar()).second) {
      AddFinding(key, "key '" + key.Scalar() + "' stands twice", "duplicate-field");
    }
  }
}

YAML::Node MapReader::Find(const std::string& aKey, bool aRequired)
{
  mKnown.insert(aKey);
  if (mReadable) {
    for (const auto& item : mNode) {
      if (item.first.IsScalar() && item.first.Scalar() == aKey) {
        return item.second;
      }
    }
    if (aRequired) {
      AddFinding(mNode, "'" + aKey + "' is missing", "missing-field");
    }
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

std::optional<std::string> MapReader::Scalar(const std::string& aKey,
                                             bool aRequired,
                                             bool aPlain)
{
  const YAML::Node node = Find(aKey, aRequired);
  if (!node.IsDefined()) {
    return std::nullopt;
  }
  if (!node.IsScalar()) {
    AddFinding(node, "'" + aKey + "' must be a single value", "wrong-type");
    return std::nullopt;
  }
  const bool quoted = node.Tag() == "!";
  if (aPlain && quoted) {
    AddFinding(node, "'" + aKey + "' must not be quoted", "wrong-type");
    return std::nullopt;
  }
  return node.Scalar();
}

void MapReader::AddFinding(const YAML::Node& aNode,
                           const std::string& aText,
                           const std::string& aKind)
{
  const YAML::Mark mark = aNode.IsDefined() ? aNode.Mark() : YAML::Mark();
  mFindings->Add(mark.line + 1, mark.column + 1, mWhat + ": " + aText, aKind);
}

}
