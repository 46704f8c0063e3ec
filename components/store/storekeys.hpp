#ifndef SAMPHIRESAIL_COMPONENTS_STORE_STOREKEYS_HPP
#define SAMPHIRESAIL_COMPONENTS_STORE_STOREKEYS_HPP

namespace samphiresail::store {

/// Keys of the records that the system keeps in the platform's service.
/// Configuration: JSON of catalogue::EncodeConfiguration.
inline constexpr char kConfigurationKey[] = "/samphiresail/configuration";
/// wire::RosterRecord.
inline constexpr char kRosterKey[] = "/samphiresail/roster";
/// wire::RightsRecord.
inline constexpr char kRightsKey[] = "/samphiresail/rights";
/// wire::KeeperRecord.
inline constexpr char kKeepersKey[] = "/samphiresail/keepers";
/// wire::AgentRecord, one for each endpoint, by endpoint name.
inline constexpr char kAgentPrefix[] = "/samphiresail/agents/";
/// wire::EntryRecord, one for each entry, by process name.
inline constexpr char kEntryPrefix[] = "/samphiresail/entries/";
/// wire::IntentRecord, one for each endpoint, by endpoint name.
inline constexpr char kIntentPrefix[] = "/samphiresail/intents/";
/// wire::OperationRecord, by client account, service and digest of the idempotency key.
inline constexpr char kOperationPrefix[] = "/samphiresail/operations/";

}

#endif
