#include "apps/samphiresail/entry/placement/fleetreports.hpp"

#include <algorithm>
#include <cmath>

namespace samphiresail::entry {

namespace {

/// Longer than the interval of the probes in a large fleet; an agent that ended loses its
/// registration sooner.
constexpr std::chrono::seconds kSilence{ 20 };
/// Time over which demand is smoothed.
constexpr std::chrono::duration<double> kSmoothing{ 10 };

placement::EndpointRow ReadRow(const wire::LoadReport& aReport)
{
  placement::EndpointRow row{
    .mName = ids::EndpointId(aReport.endpoint()),
    .mPool = ids::PoolId(aReport.pool()),
    .mAvailabilityZone = ids::AvailabilityZoneId(aReport.availability_zone()),
    .mMemory = units::Bytes(static_cast<std::int64_t>(aReport.memory_bytes())),
    .mInFlightLimit = aReport.load().in_flight_limit(),
    .mServing = !aReport.load().down() && !aReport.load().leaving()
  };
  for (const wire::ModelState& model : aReport.models()) {
    if (model.resident()) {
      row.mResident.emplace(model.name());
    } else if (model.loading()) {
      row.mLoading.emplace(model.name());
    }
  }
  return row;
}

}

void FleetReports::OnReport(const wire::LoadReport& aReport,
                            timing::Instant aAskedAt,
                            timing::Instant aNow)
{
  Report& report = mReports[ids::EndpointId(aReport.endpoint())];
  const units::Incarnation incarnation(aReport.incarnation());
  if (report.mIncarnation != incarnation) {
    report = { .mIncarnation = incarnation, .mArrivedAt = aNow };
  }
  Smooth(report, aReport, aNow - report.mArrivedAt);
  report.mRow = ReadRow(aReport);
  report.mRow.mReportRequestedAt = aAskedAt;
  report.mReserved =
    units::Bytes(static_cast<std::int64_t>(aReport.memory_reserved_bytes()));
  report.mArrivedAt = aNow;
}

void FleetReports::Smooth(Report& aReport,
                          const wire::LoadReport& aNew,
                          timing::Duration aStep)
{
  const double weight =
    1.0 - std::exp(-std::chrono::duration<double>(aStep) / kSmoothing);
  const double inFlight = std::max<double>(aNew.load().in_flight(), 1.0);
  // What waits at the endpoint is split like what runs there.
  const double withQueue = 1.0 + aNew.load().queued() / inFlight;
  for (auto& [model, value] : aReport.mInFlight) {
    value *= 1.0 - weight;
  }
  for (const wire::ModelState& model : aNew.models()) {
    aReport.mInFlight[ids::ModelId(model.name())] +=
      weight * model.in_flight() * withQueue;
  }
}

void FleetReports::KeepOnly(const std::vector<AgentInfo>& aAgents)
{
  std::set<ids::EndpointId> known;
  for (const AgentInfo& agent : aAgents) {
    known.insert(agent.mEndpoint);
  }
  std::erase_if(mReports,
                [&](const auto& aItem) { return !known.contains(aItem.first); });
}

void FleetReports::Fill(const std::vector<AgentInfo>& aAgents,
                        placement::PlacementView& aView,
                        timing::Instant aNow) const
{
  for (const AgentInfo& agent : aAgents) {
    const auto it = mReports.find(agent.mEndpoint);
    if (it == mReports.end()) {
      continue;
    }
    const Report& report = it->second;
    placement::EndpointRow row = report.mRow;
    row.mServing = row.mServing && !agent.mLeaving &&
                   report.mIncarnation == agent.mIncarnation &&
                   aNow - report.mArrivedAt < kSilence;
    for (const auto& [model, inFlight] : report.mInFlight) {
      aView.mDemand[model] += inFlight;
    }
    aView.mEndpoints.insert_or_assign(agent.mEndpoint, std::move(row));
  }
}

units::Bytes FleetReports::Free(const ids::EndpointId& aEndpoint) const
{
  const auto it = mReports.find(aEndpoint);
  return it == mReports.end() ? units::Bytes()
                              : it->second.mRow.mMemory - it->second.mReserved;
}

}
