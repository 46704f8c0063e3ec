#include "apps/samphiresail/agent/observer.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include <nlohmann/json.hpp>

namespace samphiresail::agent {

namespace {

/// Kinds of events that are worth a log line at the usual level.
constexpr std::array<std::string_view, 10> kNotable{
  "leaving",          "exit",  "adopt-pool", "bad-pool-document", "malformed-answer",
  "truncated-answer", "order", "placed",     "not-placed",        "intents-adopted"
};

}

Observer::Observer(const AgentConfig& aConfig,
                   const settings::CommonSettings& aSettings,
                   const timing::Clock& aClock)
  : mEndpoint(aConfig.mEndpoint)
  , mTimeline(aConfig.mName, aConfig.mIncarnation, aClock, aSettings.mTimelineEvents)
  , mLog(aConfig.mName.Str(), logging::ParseLevel(aSettings.mLogLevel))
  , mInFlight(mMetrics.AddGauge("samphiresail_agent_in_flight",
                                "Attempts that the back end has in flight"))
  , mQueued(
      mMetrics.AddGauge("samphiresail_agent_queued", "Attempts that wait for a slot"))
  , mCold(mMetrics.AddGauge("samphiresail_agent_cold", "1 while the endpoint is cold"))
  , mDown(mMetrics.AddGauge("samphiresail_agent_down",
                            "1 while the endpoint accepts no connection"))
  , mMemory(mMetrics.AddGauge("samphiresail_agent_memory_reserved_bytes",
                              "Memory in use or set aside"))
{
  mMetrics.Serve(aSettings.mMetrics);
}

void Observer::Record(const RecordEvent& aEvent)
{
  mTimeline.Record(aEvent.mKind,
                   { .mRequest = aEvent.mRequest.Str(),
                     .mAccount = aEvent.mAccount.Str(),
                     .mEndpoint = mEndpoint.Str(),
                     .mDetail = aEvent.mDetail });
  mMetrics
    .AddCounter("samphiresail_agent_events_total",
                "Events of the time line by kind",
                { { "kind", aEvent.mKind } })
    .Increment();
  if (aEvent.mKind == "refuse") {
    mMetrics
      .AddCounter("samphiresail_agent_refusals_total",
                  "Refused submits by reason",
                  { { "reason", aEvent.mDetail } })
      .Increment();
  }
  if (std::ranges::find(kNotable, aEvent.mKind) != kNotable.end()) {
    mLog.Info(aEvent.mKind, { { "detail", aEvent.mDetail } });
  }
}

void Observer::Update(const AgentState& aState, timing::Instant aNow)
{
  mInFlight.Set(aState.mSlots.InFlight());
  mQueued.Set(static_cast<double>(aState.mQueued));
  mCold.Set(aState.mGate.IsCold(aNow) ? 1 : 0);
  mDown.Set(aState.mGate.IsDown() ? 1 : 0);
  mMemory.Set(static_cast<double>(aState.mLedger.Occupied().Count()));
}

std::string DescribeStatus(const AgentState& aState, timing::Instant aNow)
{
  nlohmann::json models = nlohmann::json::array();
  for (const ids::ModelId& model : aState.mLedger.ResidentModels()) {
    models.push_back(model.Str());
  }
  const nlohmann::json document{
    { "role", "agent" },
    { "name", aState.mConfig.mName.Str() },
    { "endpoint", aState.mConfig.mEndpoint.Str() },
    { "pool", aState.mConfig.mPool.Str() },
    { "availability_zone", aState.mConfig.mAvailabilityZone.Str() },
    { "configuration_version", aState.mPool.mVersion.Count() },
    { "in_flight", aState.mSlots.InFlight() },
    { "in_flight_limit", aState.mGate.InFlightLimit(aNow) },
    { "queued", aState.mQueued },
    { "cold", aState.mGate.IsCold(aNow) },
    { "down", aState.mGate.IsDown() },
    { "leaving", aState.mLeavingSince.has_value() },
    { "memory_reserved_bytes", aState.mLedger.Occupied().Count() },
    { "models", models },
  };
  return document.dump();
}

}
