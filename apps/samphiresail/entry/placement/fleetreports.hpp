#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_PLACEMENT_FLEETREPORTS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_PLACEMENT_FLEETREPORTS_HPP

#include <map>
#include <set>
#include <string>
#include <vector>

#include "apps/samphiresail/entry/control/controlsnapshot.hpp"
#include "components/placement/placementview.hpp"
#include "components/timing/clock.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

/// Latest report of each agent and the demand for each model, smoothed over time. The
/// reports come from the probes that every entry sends, so that demand needs no messages
/// of its own.
class FleetReports
{
public:
  /// aAskedAt is when the question was sent that the report answers.
  void OnReport(const wire::LoadReport& aReport,
                timing::Instant aAskedAt,
                timing::Instant aNow);

  /// Forgets agents that are not registered any more.
  void KeepOnly(const std::vector<AgentInfo>& aAgents);

  /// Fills the endpoints and the demand of a view. An agent that leaves, is down or has
  /// been silent does not serve.
  void Fill(const std::vector<AgentInfo>& aAgents,
            placement::PlacementView& aView,
            timing::Instant aNow) const;

  /// Memory that nothing has reserved at the endpoint.
  units::Bytes Free(const ids::EndpointId& aEndpoint) const;

private:
  struct Report
  {
    units::Incarnation mIncarnation;
    placement::EndpointRow mRow;
    units::Bytes mReserved;
    timing::Instant mArrivedAt;
    /// Smoothed requests in flight and queued, by model.
    std::map<ids::ModelId, double> mInFlight;
  };

  static void Smooth(Report& aReport,
                     const wire::LoadReport& aNew,
                     timing::Duration aStep);

  std::map<ids::EndpointId, Report> mReports;
};

}

#endif
