#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTCONFIG_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTCONFIG_HPP

#include <chrono>
#include <cstdint>
#include <string>

#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::agent {

/// Who an agent is and how it measures time limits; fixed for the life of the process.
struct AgentConfig
{
  ids::ProcessId mName;
  ids::EndpointId mEndpoint;
  ids::PoolId mPool;
  ids::AvailabilityZoneId mAvailabilityZone;
  ids::VmId mVm;
  /// Address that other processes connect to.
  std::string mAddress;
  units::Incarnation mIncarnation;
  /// Seed of the tickets.
  std::uint64_t mSeed{ 0 };
  timing::Duration mTicketLife{ std::chrono::seconds(2) };
  timing::Duration mProgressInterval{ std::chrono::milliseconds(400) };
  timing::Duration mStopTimeout{ std::chrono::minutes(1) };
};

}

#endif
