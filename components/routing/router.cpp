#include "components/routing/router.hpp"

#include <algorithm>

namespace samphiresail::routing {

NoRouteCause ExplainNoRoute(const EndpointTable::View& aView,
                            const EndpointRequirement& aRequirement,
                            timing::Instant aNow)
{
  const auto& rows = aView.Rows(aRequirement);
  if (rows.empty()) {
    return NoRouteCause::NotResident;
  }
  const bool cold = std::ranges::any_of(
    rows, [&](std::uint32_t aRow) { return aView.IsInColdStart(aRow, aNow); });
  return cold ? NoRouteCause::Cold : NoRouteCause::Unavailable;
}

}
