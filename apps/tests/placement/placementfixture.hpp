#ifndef SAMPHIRESAIL_APPS_TESTS_PLACEMENT_PLACEMENTFIXTURE_HPP
#define SAMPHIRESAIL_APPS_TESTS_PLACEMENT_PLACEMENTFIXTURE_HPP

#include <string>

#include "components/placement/placementview.hpp"

namespace samphiresail::tests {

/// Adds an engine endpoint of pool `p` to a view.
inline placement::EndpointRow& AddEndpoint(placement::PlacementView& aView,
                                           const std::string& aName,
                                           const std::string& aZone,
                                           std::int64_t aMemory)
{
  placement::EndpointRow& row = aView.mEndpoints[ids::EndpointId(aName)];
  row = { .mName = ids::EndpointId(aName),
          .mPool = ids::PoolId("p"),
          .mAvailabilityZone = ids::AvailabilityZoneId(aZone),
          .mMemory = units::Bytes(aMemory),
          .mInFlightLimit = 10 };
  return row;
}

/// Adds a model of pool `p`; an adapter if it has a base.
inline void AddModel(catalogue::Catalogue& aCatalogue,
                     const std::string& aName,
                     std::int64_t aMemory,
                     std::uint32_t aKeepers,
                     const std::string& aBase = {})
{
  aCatalogue.mModels.push_back({ .mName = ids::ModelId(aName),
                                 .mBase = ids::ModelId(aBase),
                                 .mPool = ids::PoolId("p"),
                                 .mMemory = units::Bytes(aMemory),
                                 .mKeepers = aKeepers });
}

/// Adds the availability zones `z1` to `z3` with the same limit of concurrent loads.
inline void AddZones(catalogue::Catalogue& aCatalogue, std::uint32_t aLoadsAtOnce)
{
  for (const char* name : { "z1", "z2", "z3" }) {
    aCatalogue.mAvailabilityZones.push_back(
      { .mName = ids::AvailabilityZoneId(name), .mLoadsAtOnce = aLoadsAtOnce });
  }
}

}

#endif
