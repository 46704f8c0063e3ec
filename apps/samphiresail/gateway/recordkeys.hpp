#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_RECORDKEYS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_RECORDKEYS_HPP

#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "components/duties/usagerow.hpp"
#include "components/gateway/promptpart.hpp"
#include "components/gateway/quarantineverdict.hpp"

namespace samphiresail::gatewayapp {

// Keys of this system's own records in the platform's store.

/// Key prefix of the entries' records, followed by the entry's name. The record holds the
/// entry's address and is bound to its lease.
inline constexpr std::string_view kMemberPrefix = "samphiresail/entries/";
/// Key of the record that holds the name of the leader, the entry that orders loads; it
/// is bound to the leader's lease.
inline constexpr std::string_view kLeaderKey = "samphiresail/leader";
/// Key of the record that holds the maximum number of entries that ever ran at the same
/// time. Entries that restart divide limits by it.
inline constexpr std::string_view kEntryCountKey = "samphiresail/entry-count";

/// Key of the record that some version of the configuration held client accounts. It
/// holds the name of the entry that wrote it, and is never deleted.
inline constexpr std::string_view kAccountsKey = "samphiresail/accounts";
/// Key of the record that no version of the configuration held client accounts up to the
/// revision of the store that it holds.
inline constexpr std::string_view kNoAccountsKey = "samphiresail/no-accounts-through";

/// Key prefix of the records of verdicts, on parts of prompts that are in quarantine,
/// followed by the verdict's identifier in hexadecimal: that of a single part itself. The
/// record holds the name of the entry that wrote it, and several parts on a second line.
inline constexpr std::string_view kQuarantinePrefix = "samphiresail/quarantine/";

/// Returns the key of a verdict's record.
inline std::string QuarantineKey(std::uint64_t aVerdict)
{
  return std::string(kQuarantinePrefix) + gateway::PartName(aVerdict);
}

/// Returns the verdict whose record has the key; none if it is another record.
inline std::optional<std::uint64_t> QuarantineVerdictOf(std::string_view aKey)
{
  return aKey.starts_with(kQuarantinePrefix)
           ? gateway::ParsePartName(aKey.substr(kQuarantinePrefix.size()))
           : std::nullopt;
}

/// Key prefix of the reports of usage, followed by the window. The record holds the exact
/// body of the report, with which it is sent and repeated.
inline constexpr std::string_view kUsagePrefix = "samphiresail/usage/";

/// Key of the record that holds the first window of usage whose report was not yet
/// accepted when the last one was recorded.
inline constexpr std::string_view kUsageDoneKey = "samphiresail/usage-done";

/// Returns the key of a window's report.
inline std::string UsageKey(duties::Window aWindow)
{
  return std::string(kUsagePrefix) + std::to_string(aWindow);
}

/// Parses a number that is not negative; none if the text is anything else.
template<typename Number>
std::optional<Number> ParseWholeNumber(std::string_view aText)
{
  Number number = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, ec] = std::from_chars(aText.data(), last, number);
  return ec == std::errc{} && end == last && number >= 0 ? std::optional(number)
                                                         : std::nullopt;
}

/// Parses a window of usage; none if the text is not a number.
inline std::optional<duties::Window> ParseWindow(std::string_view aText)
{
  return ParseWholeNumber<duties::Window>(aText);
}

/// Returns the window whose report has the key; none if it is another record.
inline std::optional<duties::Window> UsageWindowOf(std::string_view aKey)
{
  return aKey.starts_with(kUsagePrefix) ? ParseWindow(aKey.substr(kUsagePrefix.size()))
                                        : std::nullopt;
}

/// What the record of a verdict holds.
struct QuarantineRecord
{
  std::string mWriter;
  /// Empty for a verdict on a single part.
  std::vector<std::uint64_t> mCauses;
  /// The list of causes cannot be read; to leave some out would widen the verdict.
  bool mMalformed{ false };
};

inline std::string FormatQuarantineRecord(const QuarantineRecord& aRecord)
{
  return aRecord.mCauses.size() < 2
           ? aRecord.mWriter
           : aRecord.mWriter + "\n" + gateway::PartNames(aRecord.mCauses);
}

/// Parses what FormatQuarantineRecord() returns.
inline QuarantineRecord ParseQuarantineRecord(std::string_view aValue)
{
  const std::size_t line = aValue.find('\n');
  QuarantineRecord record{ std::string(aValue.substr(0, line)), {} };
  std::string_view rest =
    line == std::string_view::npos ? std::string_view() : aValue.substr(line + 1);
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    const auto part = gateway::ParsePartName(rest.substr(0, comma));
    record.mMalformed = record.mMalformed || !part;
    record.mCauses.push_back(part.value_or(0));
    rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
  }
  record.mMalformed = record.mMalformed ||
                      record.mCauses.size() > gateway::CrashEvidence::kMaxCausesOfVerdict;
  return record;
}

/// True if the record can be that of the verdict.
inline bool IsRecordOf(const QuarantineRecord& aRecord, std::uint64_t aVerdict)
{
  return !aRecord.mMalformed &&
         (aRecord.mCauses.empty() ||
          gateway::VerdictId(gateway::SortedCauses(aRecord.mCauses)) == aVerdict);
}

/// Returns the number of entries that the record of kEntryCountKey states; none if it is
/// not one from 1 to 10,000.
inline std::optional<std::size_t> ParseEntryCount(std::string_view aValue)
{
  constexpr std::size_t kMaxEntries = 10'000;
  std::size_t entries = 0;
  const char* const last = aValue.data() + aValue.size();
  const auto [end, ec] = std::from_chars(aValue.data(), last, entries);
  const bool isNumber = ec == std::errc{} && end == last;
  return isNumber && entries >= 1 && entries <= kMaxEntries ? std::optional(entries)
                                                            : std::nullopt;
}

/// Timeout of a call to the store that writes a record or renews the lease.
inline constexpr std::chrono::milliseconds kStoreTimeout{ 900 };

}

#endif
