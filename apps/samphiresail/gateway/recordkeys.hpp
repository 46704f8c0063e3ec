#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_RECORDKEYS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_RECORDKEYS_HPP

#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "components/gateway/promptpart.hpp"

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

/// Key prefix of the records of parts of prompts that are in quarantine, followed by the
/// part's identifier in hexadecimal. The record holds the name of the entry that wrote
/// it.
inline constexpr std::string_view kQuarantinePrefix = "samphiresail/quarantine/";

/// Returns the key of a part's record.
inline std::string QuarantineKey(std::uint64_t aPart)
{
  return std::string(kQuarantinePrefix) + gateway::PartName(aPart);
}

/// Returns the part whose record has the key; none if it is another record.
inline std::optional<std::uint64_t> QuarantinedPart(std::string_view aKey)
{
  return aKey.starts_with(kQuarantinePrefix)
           ? gateway::ParsePartName(aKey.substr(kQuarantinePrefix.size()))
           : std::nullopt;
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
