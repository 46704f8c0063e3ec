#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "components/gateway/machinespeeds.hpp"

using namespace samphiresail;
using gateway::MachineSpeeds;

namespace {

const ids::EndpointId kEndpoint("engine-1");

void Report(MachineSpeeds& aSpeeds, const std::vector<double>& aReports)
{
  std::ranges::for_each(aReports,
                        [&](double aSlowness) { aSpeeds.Observe(kEndpoint, aSlowness); });
}

}

TEST_CASE("machine speeds: a disturbance moves nothing, a lasting change is followed",
          "[gateway]")
{
  MachineSpeeds speeds;
  CHECK(speeds.Slowness(kEndpoint) == 1.0);
  Report(speeds, { 0.7, 0.7, 1.75, 0.7, 0.7, 0.7, 1.75, 1.75, 0.7 });
  CHECK(speeds.Slowness(kEndpoint) == 0.7);
  Report(speeds, { 1.7, 1.7, 1.7, 4.25, 1.7 });
  CHECK(speeds.Slowness(kEndpoint) == 1.7);
}

TEST_CASE("machine speeds: the first reports count, extreme ones within bounds",
          "[gateway]")
{
  MachineSpeeds speeds;
  Report(speeds, { 1e9 });
  CHECK(speeds.Slowness(kEndpoint) == MachineSpeeds::kMaxSlowness);
  Report(speeds, { 0.5 });
  CHECK(speeds.Slowness(kEndpoint) == 0.5);
  speeds.Forget(kEndpoint);
  CHECK(speeds.Slowness(kEndpoint) == 1.0);
}
