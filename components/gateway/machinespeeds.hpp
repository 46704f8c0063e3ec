#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_MACHINESPEEDS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_MACHINESPEEDS_HPP

#include <array>
#include <cstddef>
#include <unordered_map>

#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

/// Workload: endpoints on machines that differ in speed and are shared with other work.
/// An endpoint may report with its responses how long work takes on its machine at that
/// moment. A single report is some responses old and includes disturbances of some
/// hundred milliseconds, so the median of the latest reports counts: a disturbance moves
/// no load, a change that lasts is followed after half of them.
class MachineSpeeds
{
public:
  /// Bounds of a reported factor; a report beyond them is limited to them.
  static constexpr double kMinSlowness = 0.1;
  static constexpr double kMaxSlowness = 20.0;

  /// Records a report: the factor by which work takes longer than usual.
  void Observe(const ids::EndpointId& aEndpoint, double aSlowness);
  /// Returns the factor; 1 for an endpoint that has reported none.
  double Slowness(const ids::EndpointId& aEndpoint) const;
  /// Erases the reports of an endpoint that has ended or restarted.
  void Forget(const ids::EndpointId& aEndpoint) { mEndpoints.erase(aEndpoint); }

private:
  /// Number of reports of which the median is taken.
  static constexpr std::size_t kReports = 9;
  struct Reports
  {
    std::array<double, kReports> mSlowness{};
    std::size_t mCount{ 0 };
    double mMedian{ 1.0 };
  };

  std::unordered_map<ids::EndpointId, Reports> mEndpoints;
};

}

#endif
