#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTDIRECTORY_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTDIRECTORY_HPP

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "components/gateway/endpoint.hpp"
#include "components/gateway/peertable.hpp"

namespace samphiresail::gateway {

/// Table of the endpoints that the platform lists. An endpoint that drains, that is gone
/// or whose availability zone is out gets no new work.
class EndpointDirectory
{
public:
  /// How long an endpoint stays usable whose record lapsed while the store was away. The
  /// platform promises its return within about two seconds.
  static constexpr timing::Duration kLapsedRecordGracePeriod =
    std::chrono::milliseconds(1700);
  /// How long an announced adapter counts as held; by then the endpoint's report tells.
  static constexpr timing::Duration kLoadedAdapterLifetime =
    std::chrono::milliseconds(3000);
  /// How long an endpoint that was cold, or whose zone comes back, is loaded with care:
  /// its next report may tell of a cold start.
  static constexpr timing::Duration kRampTime = std::chrono::seconds(3);

  /// Records what an endpoint says of itself; reports of earlier incarnations are
  /// ignored.
  void Update(EndpointReport aReport, timing::Instant aNow);

  /// Records that an endpoint is no longer listed. With aMayHaveLapsed its record may
  /// have lapsed while the store was away, and it stays usable for
  /// kLapsedRecordGracePeriod.
  void Remove(const ids::EndpointId& aId, bool aMayHaveLapsed, timing::Instant aNow);

  /// Keeps only the listed endpoints, see Remove.
  void RetainOnly(const std::set<ids::EndpointId>& aListed,
                  bool aMayHaveLapsed,
                  timing::Instant aNow);

  void SetZoneOut(const ids::AvailabilityZoneId& aZone, bool aOut, timing::Instant aNow);
  std::set<ids::AvailabilityZoneId> ZonesOut() const { return mZonesOut; }

  /// Drops the endpoints whose grace has ended.
  void Tick(timing::Instant aNow);

  /// Records that the leader had an adapter loaded, ahead of the endpoint's own report.
  void RecordLoadedAdapter(const LoadedAdapter& aLoaded, timing::Instant aNow);

  /// What an endpoint's answer says of its load is newer than the other entries' digests
  /// for so long.
  static constexpr timing::Duration kObservedLoadLifetime =
    std::chrono::milliseconds(150);

  /// How long an endpoint is not asked again for a model that it refused to run; by then
  /// its report tells more.
  static constexpr timing::Duration kModelUnavailableTime =
    std::chrono::milliseconds(1000);
  /// The same for an adapter, which can be loaded within milliseconds.
  static constexpr timing::Duration kAdapterUnavailableTime =
    std::chrono::milliseconds(300);

  /// Records that an endpoint with free slots refused to run the model, or its adapter if
  /// one is named.
  void MarkUnavailable(const ids::EndpointId& aId,
                       const ids::ModelId& aModel,
                       const std::string& aAdapter,
                       timing::Instant aNow);

  /// Replaces the counts of requests that the other entries have at the endpoints, but
  /// for endpoints that have just told their load themselves.
  void SetPeersInFlight(const std::unordered_map<ids::EndpointId, unsigned>& aCounts,
                        timing::Instant aNow);

  Endpoint* Find(const ids::EndpointId& aId);
  std::map<ids::EndpointId, Endpoint>& All() { return mEndpoints; }
  const std::map<ids::EndpointId, Endpoint>& All() const { return mEndpoints; }

  /// True if the endpoint may get new work at all.
  bool IsUsable(const Endpoint& aEndpoint, timing::Instant aNow) const;

private:
  std::map<ids::EndpointId, Endpoint> mEndpoints;
  std::set<ids::AvailabilityZoneId> mZonesOut;
};

}

#endif
