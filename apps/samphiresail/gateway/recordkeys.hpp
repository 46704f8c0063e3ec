#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_RECORDKEYS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_RECORDKEYS_HPP

#include <chrono>
#include <string_view>

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

/// Timeout of a call to the store that writes a record or renews the lease.
inline constexpr std::chrono::milliseconds kStoreTimeout{ 900 };

}

#endif
