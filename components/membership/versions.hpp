#ifndef SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_VERSIONS_HPP
#define SAMPHIRESAIL_COMPONENTS_MEMBERSHIP_VERSIONS_HPP

#include <algorithm>

#include "components/units/quantity.hpp"

namespace samphiresail::membership {

/// Versions of the store records that an entry has adopted. Each only increases.
struct Versions
{
  units::Version mConfiguration;
  units::Version mRoster;
  units::Version mRights;

  bool operator==(const Versions&) const = default;

  /// Returns true if every version is at least the one in aOther.
  bool Covers(const Versions& aOther) const
  {
    return mConfiguration >= aOther.mConfiguration && mRoster >= aOther.mRoster &&
           mRights >= aOther.mRights;
  }
};

/// Returns the higher of the two for each record.
inline Versions Highest(const Versions& aLeft, const Versions& aRight)
{
  return { std::max(aLeft.mConfiguration, aRight.mConfiguration),
           std::max(aLeft.mRoster, aRight.mRoster),
           std::max(aLeft.mRights, aRight.mRights) };
}

}

#endif
