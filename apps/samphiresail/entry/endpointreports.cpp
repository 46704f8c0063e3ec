#include "apps/samphiresail/entry/endpointreports.hpp"

#include <algorithm>

namespace samphiresail::entry {

routing::EndpointLoad ReadLoad(const wire::Load& aLoad)
{
  return { .mInFlight = aLoad.in_flight(),
           .mInFlightLimit = std::max<std::uint32_t>(aLoad.in_flight_limit(), 1),
           .mQueued = aLoad.queued(),
           .mCold = aLoad.cold(),
           .mLeaving = aLoad.leaving(),
           .mDown = aLoad.down(),
           .mServiceTime = std::chrono::microseconds(aLoad.service_time_us()) };
}

std::vector<routing::ModelPresence> ReadModels(const wire::LoadReport& aReport)
{
  std::vector<routing::ModelPresence> models(
    static_cast<std::size_t>(aReport.models_size()));
  std::ranges::transform(
    aReport.models(), models.begin(), [](const wire::ModelState& aState) {
      return routing::ModelPresence{ .mModel = ids::ModelId(aState.name()),
                                     .mResident = aState.resident(),
                                     .mInFlight = aState.in_flight() };
    });
  return models;
}

}
