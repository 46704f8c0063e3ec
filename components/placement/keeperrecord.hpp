#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_KEEPERRECORD_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_KEEPERRECORD_HPP

#include <optional>
#include <string>
#include <string_view>

#include "components/placement/placementview.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::placement {

/// Versioned keeper table as stored under the keepers key.
struct KeeperRecord
{
  units::Version mVersion;
  KeeperTable mKeepers;
};

std::string EncodeKeepers(const KeeperRecord& aRecord);

/// Returns nothing for a value that cannot be parsed as a keeper record. An empty value
/// decodes to version 0 without keepers.
std::optional<KeeperRecord> DecodeKeepers(std::string_view aValue);

}

#endif
