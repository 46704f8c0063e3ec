#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_CONTROLSNAPSHOT_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_CONTROLSNAPSHOT_HPP

#include <memory>
#include <string>
#include <vector>

#include "components/catalogue/catalogue.hpp"
#include "components/membership/roster.hpp"
#include "components/membership/versions.hpp"

namespace samphiresail::entry {

/// Agent as it announces itself.
struct AgentInfo
{
  ids::EndpointId mEndpoint;
  ids::PoolId mPool;
  std::string mAddress;
  units::Incarnation mIncarnation;
  ids::AvailabilityZoneId mAvailabilityZone;
  ids::VmId mVm;
  /// True if its availability zone is taken out or its VM leaves.
  bool mLeaving{ false };

  bool operator==(const AgentInfo&) const = default;
};

/// Immutable view of the fleet for the traffic threads.
struct ControlSnapshot
{
  membership::Versions mVersions;
  /// Null until the first configuration is adopted.
  std::shared_ptr<const catalogue::Configuration> mConfiguration;
  std::vector<membership::Member> mEntries;
  std::vector<AgentInfo> mAgents;
  /// Value of the keeper record; empty if there is none.
  std::string mKeepers;
  /// True once each client account's rate had holders that could grant.
  bool mHasCredit{ false };
};

}

#endif
