#include "components/gateway/machinespeeds.hpp"

#include <algorithm>

namespace samphiresail::gateway {

void MachineSpeeds::Observe(const ids::EndpointId& aEndpoint, double aSlowness)
{
  Reports& reports = mEndpoints[aEndpoint];
  reports.mSlowness[reports.mCount % kReports] =
    std::clamp(aSlowness, kMinSlowness, kMaxSlowness);
  ++reports.mCount;
  auto sorted = reports.mSlowness;
  const auto n = static_cast<std::ptrdiff_t>(std::min(reports.mCount, kReports));
  // With two reports the smaller one counts: disturbances only slow work down.
  const auto middle = sorted.begin() + (n - 1) / 2;
  std::nth_element(sorted.begin(), middle, sorted.begin() + n);
  reports.mMedian = *middle;
}

double MachineSpeeds::Slowness(const ids::EndpointId& aEndpoint) const
{
  const auto it = mEndpoints.find(aEndpoint);
  return it == mEndpoints.end() ? 1.0 : it->second.mMedian;
}

}
