#include "apps/samphiresail/operator/statustable.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

namespace samphiresail::operators {

using Json = nlohmann::json;

namespace {

constexpr std::size_t kColumns = 5;
using Row = std::array<std::string, kColumns>;

std::string DescribeValue(const Json& aValue)
{
  if (aValue.is_structured()) {
    return std::to_string(aValue.size());
  }
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

std::string DescribeDocument(const std::string& aDocument)
{
  if (aDocument.empty()) {
    return "no answer";
  }
  const Json document = Json::parse(aDocument, nullptr, false);
  if (!document.is_object()) {
    return "unreadable answer";
  }
  std::string text;
  for (const auto& [key, value] : document.items()) {
    text += (text.empty() ? "" : " ") + key + "=" + DescribeValue(value);
  }
  return text;
}

}

std::string FormatStatusTable(const std::vector<ProcessStatus>& aProcesses)
{
  std::vector<Row> rows{ { "ROLE", "NAME", "ZONE", "ADDRESS", "STATE" } };
  for (const ProcessStatus& process : aProcesses) {
    rows.push_back({ process.mRole,
                     process.mName,
                     process.mAvailabilityZone,
                     process.mAddress,
                     DescribeDocument(process.mDocument) });
  }
  std::array<std::size_t, kColumns> widths{};
  for (const Row& row : rows) {
    for (std::size_t column = 0; column < kColumns; ++column) {
      widths.at(column) = std::max(widths.at(column), row.at(column).size());
    }
  }
  std::ostringstream text;
  for (const Row& row : rows) {
    for (std::size_t column = 0; column + 1 < kColumns; ++column) {
      text << std::left << std::setw(static_cast<int>(widths.at(column)) + 2)
           << row.at(column);
    }
    text << row.back() << '\n';
  }
  return text.str();
}

std::string FormatStatusJson(const std::vector<ProcessStatus>& aProcesses)
{
  Json list = Json::array();
  for (const ProcessStatus& process : aProcesses) {
    list.push_back({ { "role", process.mRole },
                     { "name", process.mName },
                     { "availability_zone", process.mAvailabilityZone },
                     { "address", process.mAddress },
                     { "answered", !process.mDocument.empty() },
                     { "state", Json::parse(process.mDocument, nullptr, false) } });
  }
  return list.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

}
