#include "components/routing/baselinerouters.hpp"

#include <algorithm>
#include <vector>

namespace samphiresail::routing {

namespace {

/// Chooses the first endpoint that accepts new requests, starting at aStartIndex and
/// wrapping around.
RouteResult ChooseFirstFrom(const EndpointTable& aTable,
                            const RouteRequest& aRequest,
                            timing::Instant aNow,
                            std::uint64_t aStartIndex)
{
  return aTable.Read([&](const EndpointTable::View& aView) -> RouteResult {
    const auto& rows = aView.Rows(aRequest.mRequirement);
    for (std::size_t it = 0; it < rows.size(); ++it) {
      const std::uint32_t row = rows[(aStartIndex + it) % rows.size()];
      if (aView.Evaluate(row, aRequest.mRequirement, aNow)) {
        return aView.Description(row);
      }
    }
    return ExplainNoRoute(aView, aRequest.mRequirement, aNow);
  });
}

}

RouteResult RoundRobinRouter::Choose(const EndpointTable& aTable,
                                     const RouteRequest& aRequest,
                                     timing::Instant aNow,
                                     std::mt19937_64& /*aGenerator*/)
{
  return ChooseFirstFrom(aTable, aRequest, aNow, mNext.fetch_add(1));
}

RouteResult RandomRouter::Choose(const EndpointTable& aTable,
                                 const RouteRequest& aRequest,
                                 timing::Instant aNow,
                                 std::mt19937_64& aGenerator)
{
  return ChooseFirstFrom(aTable, aRequest, aNow, aGenerator());
}

static_assert(Router<RoundRobinRouter>);
static_assert(Router<RandomRouter>);

}
