#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINT_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "components/gateway/enginemodel.hpp"
#include "components/ids/ids.hpp"
#include "components/settings/socketaddress.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Adapters of each model that an endpoint holds.
using ResidentModels = std::unordered_map<ids::ModelId, std::set<std::string>>;

/// Latest record of an endpoint.
struct EndpointReport
{
  ids::EndpointId mId;
  /// Distinguishes two starts under one id; increases with each start.
  std::int64_t mIncarnation{ 0 };
  ids::ServiceId mService;
  settings::SocketAddress mAddress;
  ids::AvailabilityZoneId mZone;
  unsigned mSlots{ 0 };
  bool mDraining{ false };
  /// Remaining time of the endpoint's cold start.
  std::chrono::milliseconds mColdRemaining{ 0 };
  ResidentModels mModels;
  /// Models whose weights the endpoint can load from its own memory or disk.
  std::set<ids::ModelId> mStoredModels;
  /// Orders that the endpoint accepted since its start.
  std::uint64_t mOrdersAccepted{ 0 };
};

/// Row of the endpoint directory: an endpoint's record and what this process has observed
/// of it.
struct Endpoint
{
  EndpointReport mReport;
  /// HashName of the endpoint's identifier.
  std::uint64_t mHash{ 0 };
  timing::Instant mReportedAt{};
  timing::Instant mColdUntil{};
  /// Until this instant the request rate to the endpoint is limited as in a cold start.
  timing::Instant mRampUntil{};
  /// No new work after this. Set when the record is removed, with a grace period if it
  /// may have expired during an outage of the store.
  timing::Instant mUsableUntil{ timing::Instant::max() };
  /// When the endpoint itself said that it is leaving, whatever its record says.
  std::optional<timing::Instant> mLeavingSince;
  /// No requests before this instant, as the endpoint asked for a pause.
  timing::Instant mPausedUntil{};
  /// Penalised until this instant, since it was unreachable.
  timing::Instant mAvoidUntil{};
  unsigned mConsecutiveFailures{ 0 };
  /// Fraction of recent requests that failed, exponentially weighted.
  double mFailureFraction{ 0.0 };
  /// Requests that this process has in flight there.
  EngineLoad mOwnLoad;
  /// Requests that the other entries have in flight there, from their reports or from the
  /// endpoint's responses.
  EngineLoad mPeersLoad;
  /// Requests of this process that were sent and have no response yet.
  unsigned mUnanswered{ 0 };
  /// When the endpoint last sent anything, or when the first of the unanswered requests
  /// was sent if that is later.
  timing::Instant mSilentSince{};
  /// How long the endpoint may be silent by the forecasts of the unanswered requests.
  Milliseconds mSilenceLimit{ 0 };
  /// The endpoint's responses say how long work takes on its machine.
  bool mReportsMachine{ false };
  /// When a response of the endpoint last reported its load.
  timing::Instant mObservedAt{};

  /// Adapters recently loaded on the leader's order, which the endpoint's record may not
  /// show yet, by HashName of model and adapter, with the instant at which this was
  /// reported.
  std::unordered_map<std::uint64_t, timing::Instant> mLoadedSinceReport;

  /// Models and adapters, by HashName, for which the endpoint is not chosen until the
  /// given instant: it rejected a request for them, since its record does not show the
  /// latest order for them yet.
  std::unordered_map<std::uint64_t, timing::Instant> mUnavailableUntil;

  EngineLoad Load() const
  {
    EngineLoad load = mOwnLoad;
    load += mPeersLoad;
    return load;
  }
  /// True if requests are unanswered for much longer than forecast and nothing at all was
  /// received meanwhile: the endpoint may have stopped without closing its connections.
  bool IsSilent(timing::Instant aNow) const
  {
    return mUnanswered > 0 && aNow - mSilentSince > mSilenceLimit;
  }
  bool IsLeaving() const { return mReport.mDraining || mLeavingSince; }
  bool HoldsModel(const ids::ModelId& aModel) const
  {
    return mReport.mModels.contains(aModel);
  }
  /// aModelAdapterHash is HashName of model and adapter.
  bool HoldsAdapter(const ids::ModelId& aModel,
                    const std::string& aAdapter,
                    std::uint64_t aModelAdapterHash) const
  {
    const auto it = mReport.mModels.find(aModel);
    return it != mReport.mModels.end() &&
           (it->second.contains(aAdapter) ||
            mLoadedSinceReport.contains(aModelAdapterHash));
  }
};

}

#endif
