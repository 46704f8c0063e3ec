#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTDIRECTORY_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTDIRECTORY_HPP

#include <limits>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "components/gateway/endpoint.hpp"
#include "components/gateway/peertable.hpp"

namespace samphiresail::gateway {

/// Table of the endpoints that the platform lists. An endpoint that is draining, leaving
/// or removed, or whose availability zone is out, gets no new work.
class EndpointDirectory
{
public:
  /// How long an endpoint stays usable after its record expired during an outage of the
  /// store. The platform guarantees its return within about 2 s.
  static constexpr timing::Duration kLapsedRecordGracePeriod =
    std::chrono::milliseconds(1700);
  /// Most adapters of an endpoint that are known from reports of other entries only.
  static constexpr std::size_t kMaxLoadedAdapters = 1024;
  /// How long an adapter that was loaded on the leader's order counts as held; by the end
  /// of this time the endpoint's own record shows it.
  static constexpr timing::Duration kLoadedAdapterLifetime =
    std::chrono::milliseconds(3000);
  /// How long the request rate to an endpoint that was cold, or whose zone comes back, is
  /// limited: its next record may report a cold start.
  static constexpr timing::Duration kRampTime = std::chrono::seconds(3);

  /// Stores an endpoint's record; records of earlier incarnations are ignored. An
  /// incarnation after aLatestStart, a Unix time in milliseconds, cannot have started yet
  /// and is replaced by any other one.
  void Update(EndpointReport aReport,
              timing::Instant aNow,
              std::int64_t aLatestStart = std::numeric_limits<std::int64_t>::max());

  /// Records that an endpoint is no longer listed. If aMayHaveLapsed is true, its record
  /// may have expired during an outage of the store, and it stays usable for
  /// kLapsedRecordGracePeriod.
  void Remove(const ids::EndpointId& aId, bool aMayHaveLapsed, timing::Instant aNow);

  /// Removes all endpoints that are not listed, see Remove.
  void RetainOnly(const std::set<ids::EndpointId>& aListed,
                  bool aMayHaveLapsed,
                  timing::Instant aNow);

  /// How long an endpoint that said it is leaving is remembered after its record is gone,
  /// which may come back.
  static constexpr timing::Duration kLeavingMemory = std::chrono::hours(1);

  /// Records that the given incarnation of an endpoint said that it is leaving. Returns
  /// true if that was not known.
  bool MarkLeaving(const ids::EndpointId& aId,
                   std::int64_t aIncarnation,
                   timing::Instant aNow);

  /// Records that the given incarnation of an endpoint asked for a pause.
  void Pause(const ids::EndpointId& aId,
             std::int64_t aIncarnation,
             timing::Instant aUntil);

  void SetZoneOut(const ids::AvailabilityZoneId& aZone, bool aOut, timing::Instant aNow);
  std::set<ids::AvailabilityZoneId> ZonesOut() const { return mZonesOut; }
  /// Processes all zones that a complete read of the store lists as out. A zone that is
  /// not listed stays out until ConfirmZones() is called for aKeepUntil, since a restore
  /// of the store may have lost its record.
  void RetainZonesOut(const std::set<ids::AvailabilityZoneId>& aListed,
                      timing::Instant aKeepUntil,
                      timing::Instant aNow);

  /// Records that all changes up to aAsOf have been reported.
  void ConfirmZones(timing::Instant aAsOf, timing::Instant aNow);

  /// How long after its removal an endpoint is remembered, so that a backup of the store
  /// does not bring it back.
  static constexpr timing::Duration kRemovedMemory = std::chrono::minutes(5);
  /// Time in which the platform removes the record of an endpoint that has ended.
  static constexpr timing::Duration kEndedRecordLifetime = std::chrono::seconds(5);

  /// The store was restored from a backup, and its records are read next. Endpoints that
  /// are leaving go on leaving, and one that was removed gets no requests for
  /// kEndedRecordLifetime.
  void OnStoreRestored(timing::Instant aNow);
  /// The restored store was read completely.
  void OnRestoredRead() { mReadsBackup = false; }

  /// Erases the endpoints whose grace period has ended.
  void Tick(timing::Instant aNow);

  /// Records that an adapter was loaded on the leader's order, before the endpoint's own
  /// record shows it.
  void RecordLoadedAdapter(const LoadedAdapter& aLoaded, timing::Instant aNow);

  /// How long the load in an endpoint's response takes precedence over the other entries'
  /// peer reports.
  static constexpr timing::Duration kObservedLoadLifetime =
    std::chrono::milliseconds(150);

  /// How long an endpoint is not chosen for a model that it rejected; by the end of this
  /// time its record is up to date.
  static constexpr timing::Duration kModelUnavailableTime =
    std::chrono::milliseconds(1000);
  /// The same for an adapter, which can be loaded within milliseconds.
  static constexpr timing::Duration kAdapterUnavailableTime =
    std::chrono::milliseconds(300);

  /// Records that an endpoint with free slots rejected a request for the model, or for
  /// its adapter if one is given.
  void MarkUnavailable(const ids::EndpointId& aId,
                       const ids::ModelId& aModel,
                       const std::string& aAdapter,
                       timing::Instant aNow);

  /// Replaces the loads that the other entries have at the endpoints, by HashName of the
  /// endpoint, except for endpoints that have just reported their load.
  void SetPeersLoad(const std::unordered_map<std::uint64_t, EngineLoad>& aLoads,
                    timing::Instant aNow);

  Endpoint* Find(const ids::EndpointId& aId);
  std::map<ids::EndpointId, Endpoint>& All() { return mEndpoints; }
  const std::map<ids::EndpointId, Endpoint>& All() const { return mEndpoints; }

  /// True if the endpoint may get new work at all.
  bool IsUsable(const Endpoint& aEndpoint, timing::Instant aNow) const;
  /// True if the endpoint may get new work and did not ask for a pause.
  bool TakesRequests(const ids::EndpointId& aId, timing::Instant aNow) const;

private:
  /// An incarnation of an endpoint whose record was removed.
  struct Removed
  {
    std::int64_t mIncarnation{ 0 };
    timing::Instant mAt{};
  };

  std::map<ids::EndpointId, Endpoint> mEndpoints;
  std::map<ids::EndpointId, Removed> mRemoved;
  std::set<ids::AvailabilityZoneId> mZonesOut;
  /// Zones that are out without a record, until the changes up to the instant are known.
  std::map<ids::AvailabilityZoneId, timing::Instant> mZonesKeptOut;
  /// The records that are reported are those of a backup.
  bool mReadsBackup{ false };
};

}

#endif
