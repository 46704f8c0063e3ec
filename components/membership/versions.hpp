#ifndef SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_VERSIONS_HPP
#define SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_VERSIONS_HPP

#include <algorithm>

#include "components/units/quantity.hpp"

namespace samphiresail::membership {

/// Versions of the records that an entry has adopted; each only rises.
struct Versions
{
  units::Version mConfiguration;
  units::Version mRoster;
  units::Version mRights;

  bool operator==(const Versions&) const = default;

  /// Returns true if no version is older than in aOther.
  bool Covers(const Versions& aOther) const
  {
    return mConfiguration >= aOther.mConfiguration && mRoster >= aOther.mRoster &&
           mRights >= aOther.mRights;
  }
};

/// Returns the higher of each version.
inline Versions Highest(const Versions& aLeft, const Versions& aRight)
{
  return { std::max(aLeft.mConfiguration, aRight.mConfiguration),
           std::max(aLeft.mRoster, aRight.mRoster),
           std::max(aLeft.mRights, aRight.mRights) };
}

}

#endif
