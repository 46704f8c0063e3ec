#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_FLEETDIRECTORY_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_FLEETDIRECTORY_HPP

#include <chrono>
#include <optional>
#include <vector>

#include "components/membership/roster.hpp"
#include "components/store/etcdstore.hpp"
#include "components/transport/peerclient.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::operators {

/// Processes that are registered in the store.
struct FleetDirectory
{
  membership::Roster mRoster;
  std::vector<wire::EntryRecord> mEntries;
  std::vector<wire::AgentRecord> mAgents;

  std::vector<transport::PeerAddress> EntryAddresses() const;
  std::vector<transport::PeerAddress> AgentAddresses() const;
  /// Addresses of the entries that a quorum may need.
  std::vector<transport::PeerAddress> ElectorAddresses() const;
};

/// Reads the registered processes; nothing if the store does not answer. A record that
/// cannot be read is left out.
std::optional<FleetDirectory> ReadFleetDirectory(store::EtcdStore& aStore,
                                                 std::chrono::milliseconds aTimeout);

}

#endif
