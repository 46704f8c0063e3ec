#include "apps/samphiresail/operator/fleetdirectory.hpp"

#include <algorithm>
#include <iterator>

#include "components/store/storekeys.hpp"

namespace samphiresail::operators {

namespace {

template<typename Record>
std::vector<Record> ParseRecords(const std::vector<store::KeyValue>& aRecords)
{
  std::vector<Record> parsed;
  for (const store::KeyValue& record : aRecords) {
    Record item;
    if (item.ParseFromString(record.mValue)) {
      parsed.push_back(std::move(item));
    }
  }
  return parsed;
}

template<typename Record>
std::optional<std::vector<Record>> ReadPrefix(store::EtcdStore& aStore,
                                              const char* aPrefix,
                                              std::chrono::milliseconds aTimeout)
{
  const store::StoreReply reply = aStore.Execute(
    store::RangeRequest{ .mKey = aPrefix, .mRangeEnd = store::PrefixEnd(aPrefix) },
    aTimeout);
  if (reply.mOutcome != store::StoreOutcome::Answered) {
    return std::nullopt;
  }
  return ParseRecords<Record>(reply.mRecords);
}

template<typename Records>
std::vector<transport::PeerAddress> Addresses(const Records& aRecords)
{
  std::vector<transport::PeerAddress> addresses;
  std::ranges::transform(aRecords,
                         std::back_inserter(addresses),
                         [](const auto& aRecord) { return aRecord.address(); });
  return addresses;
}

}

std::vector<transport::PeerAddress> FleetDirectory::EntryAddresses() const
{
  return Addresses(mEntries);
}

std::vector<transport::PeerAddress> FleetDirectory::AgentAddresses() const
{
  return Addresses(mAgents);
}

std::vector<transport::PeerAddress> FleetDirectory::ElectorAddresses() const
{
  std::vector<transport::PeerAddress> addresses;
  std::ranges::transform(membership::Electors(mRoster),
                         std::back_inserter(addresses),
                         &membership::Member::mAddress);
  return addresses;
}

std::optional<FleetDirectory> ReadFleetDirectory(store::EtcdStore& aStore,
                                                 std::chrono::milliseconds aTimeout)
{
  const store::StoreReply roster =
    aStore.Execute(store::RangeRequest{ .mKey = store::kRosterKey }, aTimeout);
  auto entries = ReadPrefix<wire::EntryRecord>(aStore, store::kEntryPrefix, aTimeout);
  auto agents = ReadPrefix<wire::AgentRecord>(aStore, store::kAgentPrefix, aTimeout);
  if (roster.mOutcome != store::StoreOutcome::Answered || !entries || !agents) {
    return std::nullopt;
  }
  FleetDirectory directory{ .mEntries = std::move(*entries),
                            .mAgents = std::move(*agents) };
  if (!roster.mRecords.empty()) {
    directory.mRoster = membership::DecodeRoster(roster.mRecords.front().mValue)
                          .value_or(membership::Roster());
  }
  return directory;
}

}
