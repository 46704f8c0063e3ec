#include "apps/samphiresail/agent/loadreport.hpp"

#include <chrono>

namespace samphiresail::agent {

namespace {

/// Weight of the newest measurement in the mean service time.
constexpr double kServiceTimeGain = 0.1;

void FillModels(wire::LoadReport& aReport, const AgentState& aState)
{
  std::set<ids::ModelId> models = aState.mLoading;
  models.insert(aState.mKeeps.begin(), aState.mKeeps.end());
  const auto residents = aState.mLedger.ResidentModels();
  models.insert(residents.begin(), residents.end());
  for (const ids::ModelId& model : models) {
    wire::ModelState& state = *aReport.add_models();
    state.set_name(model.Str());
    state.set_resident(aState.mLedger.IsResident(model));
    state.set_loading(aState.mLoading.contains(model));
    state.set_keeper(aState.mKeeps.contains(model));
    state.set_in_flight(aState.mSlots.InFlight(model));
    if (const catalogue::Model* declared = aState.FindModel(model)) {
      state.set_memory_bytes(static_cast<std::uint64_t>(declared->mMemory.Count()));
    }
  }
}

}

void FillLoad(wire::Load& aLoad, const AgentState& aState, timing::Instant aNow)
{
  aLoad.set_in_flight(aState.mSlots.InFlight());
  aLoad.set_in_flight_limit(aState.mGate.InFlightLimit(aNow));
  aLoad.set_queued(static_cast<std::uint32_t>(aState.mQueued));
  aLoad.set_cold(aState.mGate.IsCold(aNow));
  aLoad.set_leaving(aState.mLeavingSince.has_value());
  aLoad.set_down(!aState.mGate.IsConfigured() || aState.mGate.IsDown());
  aLoad.set_service_time_us(static_cast<std::uint64_t>(aState.mServiceTimeUs));
}

wire::LoadReport MakeLoadReport(const wire::Probe& aProbe,
                                AgentState& aState,
                                timing::Instant aNow)
{
  wire::LoadReport report;
  report.set_nonce(aProbe.nonce());
  report.set_ticket(aState.mTickets.Issue(aNow));
  report.set_endpoint(aState.mConfig.mEndpoint.Str());
  report.set_pool(aState.mConfig.mPool.Str());
  report.set_availability_zone(aState.mConfig.mAvailabilityZone.Str());
  report.set_incarnation(aState.mConfig.mIncarnation.Count());
  if (const catalogue::EndpointPool* pool = aState.FindPool()) {
    report.set_memory_bytes(static_cast<std::uint64_t>(pool->mMemory.Count()));
  }
  report.set_memory_reserved_bytes(
    static_cast<std::uint64_t>(aState.mLedger.Occupied().Count()));
  FillLoad(*report.mutable_load(), aState, aNow);
  if (aProbe.want_models()) {
    FillModels(report, aState);
  }
  return report;
}

void NoteServiceTime(AgentState& aState, timing::Duration aTime)
{
  const auto us = std::chrono::duration<double, std::micro>(aTime).count();
  const double gain = aState.mServiceTimeUs == 0 ? 1.0 : kServiceTimeGain;
  aState.mServiceTimeUs += gain * (us - aState.mServiceTimeUs);
}

}
