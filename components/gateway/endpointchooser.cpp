#include "components/gateway/endpointchooser.hpp"

#include <algorithm>

#include "components/gateway/demandmeter.hpp"
#include "components/gateway/loadspread.hpp"

namespace samphiresail::gateway {

namespace {

/// Penalties, in requests per slot, of outliers and of unreachable endpoints, so that
/// they are chosen last.
constexpr double kOutlierPenalty = 4.0;
constexpr double kUnreachablePenalty = 8.0;

}

EndpointChooser::EndpointChooser(EndpointDirectory& aDirectory,
                                 ColdLimiter& aCold,
                                 ids::AvailabilityZoneId aOwnZone,
                                 std::uint64_t aSeed)
  : mDirectory(aDirectory)
  , mCold(aCold)
  , mOwnZone(std::move(aOwnZone))
  , mRandom(aSeed)
{
}

double EndpointChooser::Score(const Endpoint& aEndpoint, timing::Instant aNow) const
{
  const double slots = std::max(1U, aEndpoint.mReport.mSlots);
  double score = (aEndpoint.mInFlight + aEndpoint.mPeersInFlight) / slots;
  if (aEndpoint.mReport.mZone != mOwnZone) {
    score += kZonePenalty;
  }
  if (aEndpoint.mFailureFraction > kOutlierFailureFraction) {
    score += kOutlierPenalty * aEndpoint.mFailureFraction;
  }
  if (aNow < aEndpoint.mAvoidUntil) {
    score += kUnreachablePenalty;
  }
  return score;
}

Choice EndpointChooser::Choose(const Service& aService,
                               const RequestMetadata& aMetadata,
                               const std::vector<ids::EndpointId>& aTried,
                               bool aLatencyTolerant,
                               double aUnreported,
                               timing::Instant aNow)
{
  const double engineWaiting =
    aLatencyTolerant ? kLatencyTolerantQueueFraction : kUrgentQueueFraction;
  const double waiting = aService.mEngine ? engineWaiting : kPlainQueueFraction;
  Choice choice;
  std::vector<Endpoint*> endpoints;
  std::vector<SpreadCandidate> candidates;
  const std::uint64_t model =
    aService.mEngine ? HashName(DemandMeter::Name(aMetadata.mModel, {})) : 0;
  const std::uint64_t adapter =
    aMetadata.mAdapter.empty()
      ? 0
      : HashName(DemandMeter::Name(aMetadata.mModel, aMetadata.mAdapter));
  for (auto& [id, endpoint] : mDirectory.All()) {
    if (endpoint.mReport.mService != aService.mName ||
        !mDirectory.IsUsable(endpoint, aNow) || std::ranges::count(aTried, id) > 0) {
      continue;
    }
    if (choice.mReason == NoEndpoint::NoneUsable) {
      choice.mReason = NoEndpoint::ModelAbsent;
    }
    if (aService.mEngine && (!endpoint.HoldsModel(aMetadata.mModel) ||
                             endpoint.mUnavailableUntil.contains(model))) {
      continue;
    }
    if (aService.mEngine && !aMetadata.mAdapter.empty() &&
        (!endpoint.HoldsAdapter(aMetadata.mModel, aMetadata.mAdapter, adapter) ||
         endpoint.mUnavailableUntil.contains(adapter))) {
      if (choice.mReason == NoEndpoint::ModelAbsent) {
        choice.mReason = NoEndpoint::AdapterAbsent;
      }
      continue;
    }
    choice.mReason = NoEndpoint::Full;
    const double slots = std::max(1U, endpoint.mReport.mSlots);
    const bool full =
      endpoint.mInFlight + endpoint.mPeersInFlight >= slots * (1.0 + waiting);
    const bool limited = aNow < endpoint.mColdUntil || aNow < endpoint.mRampUntil;
    if (full ||
        (limited && !mCold.HasCapacity(id, aService.mColdPerSecond, mEntries, aNow))) {
      continue;
    }
    endpoints.push_back(&endpoint);
    candidates.push_back({ Score(endpoint, aNow), slots });
  }
  if (!endpoints.empty()) {
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    choice.mEndpoint = endpoints[SpreadOver(candidates, aUnreported, draw(mRandom))];
  }
  return choice;
}

}
