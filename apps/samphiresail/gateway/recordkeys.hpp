#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_RECORDKEYS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_RECORDKEYS_HPP

#include <chrono>
#include <string_view>

namespace samphiresail::gatewayapp {

// Keys of this system's own records in the platform's store.

/// Followed by the name of an entry; its address, bound to its lease.
inline constexpr std::string_view kMemberPrefix = "samphiresail/entries/";
/// The entry that orders loads, bound to its lease.
inline constexpr std::string_view kLeaderKey = "samphiresail/leader";
/// Most entries that were ever seen at work together; restarted ones share limits by it.
inline constexpr std::string_view kEntryCountKey = "samphiresail/entry-count";

/// Limit of a call to the store that writes or renews.
inline constexpr std::chrono::milliseconds kStoreTimeout{ 900 };

}

#endif
