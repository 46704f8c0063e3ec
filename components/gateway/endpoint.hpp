#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINT_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINT_HPP

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "components/ids/ids.hpp"
#include "components/settings/socketaddress.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Adapters of each model that an endpoint holds.
using ResidentModels = std::unordered_map<ids::ModelId, std::set<std::string>>;

/// What an endpoint last said of itself.
struct EndpointReport
{
  ids::EndpointId mId;
  /// Distinguishes two starts under one id; only rises.
  std::int64_t mIncarnation{ 0 };
  ids::ServiceId mService;
  settings::SocketAddress mAddress;
  ids::AvailabilityZoneId mZone;
  unsigned mSlots{ 0 };
  bool mDraining{ false };
  /// How much longer the endpoint stays in cold start.
  std::chrono::milliseconds mColdRemaining{ 0 };
  ResidentModels mModels;
  /// Orders that the endpoint accepted since its start.
  std::uint64_t mOrdersAccepted{ 0 };
};

/// Row of the endpoint directory.
struct Endpoint
{
  EndpointReport mReport;
  timing::Instant mReportedAt{};
  timing::Instant mColdUntil{};
  /// Until then the endpoint is loaded like a cold one.
  timing::Instant mRampUntil{};
  /// Set when its record lapsed during an outage of the store; not used after this.
  timing::Instant mUsableUntil{ timing::Instant::max() };
  /// Not chosen before this instant after failures.
  timing::Instant mAvoidUntil{};
  unsigned mConsecutiveFailures{ 0 };
  /// Share of recent requests that failed, exponentially weighted.
  double mFailureFraction{ 0.0 };
  /// Requests of this process that run there.
  unsigned mInFlight{ 0 };
  /// Requests of the other entries that run there, as they or the endpoint last said.
  unsigned mPeersInFlight{ 0 };
  /// When the endpoint itself last told its load.
  timing::Instant mObservedAt{};

  /// Adapters that the leader had loaded since the last report, by the digest key of
  /// model and adapter, with the instant at which that was heard.
  std::unordered_map<std::uint64_t, timing::Instant> mLoadedSinceReport;

  /// Models and adapters, by their digest key, that the endpoint refuses to run until
  /// then: an order concerns them that its own report does not show yet.
  std::unordered_map<std::uint64_t, timing::Instant> mUnavailableUntil;

  bool HoldsModel(const ids::ModelId& aModel) const
  {
    return mReport.mModels.contains(aModel);
  }
  /// aModelAdapterHash is the digest key of model and adapter.
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
