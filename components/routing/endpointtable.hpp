#ifndef SAMPHIRESAIL_COMPONENTS_ROUTING_ENDPOINTTABLE_HPP
#define SAMPHIRESAIL_COMPONENTS_ROUTING_ENDPOINTTABLE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::routing {

/// Location of an endpoint and address of its agent, from the agent's record in the
/// store.
struct EndpointDescription
{
  ids::EndpointId mName;
  ids::PoolId mPool;
  ids::AvailabilityZoneId mAvailabilityZone;
  /// Address of the agent as in its record, host:port.
  std::string mAddress;
  units::Incarnation mIncarnation;
};

/// Load of an endpoint as its agent reported it.
struct EndpointLoad
{
  std::uint32_t mInFlight{ 0 };
  /// Limit in effect: the cold-start limit while the endpoint is in cold start.
  std::uint32_t mInFlightLimit{ 1 };
  std::uint32_t mQueued{ 0 };
  bool mCold{ false };
  bool mLeaving{ false };
  bool mDown{ false };
  std::chrono::microseconds mServiceTime{ 0 };
};

/// State of a model at an endpoint as the agent reported it.
struct ModelPresence
{
  ids::ModelId mModel;
  bool mResident{ false };
  std::uint32_t mInFlight{ 0 };
};

/// Endpoint that may be chosen, with the values that routers compare.
struct Candidate
{
  std::uint32_t mRow{ 0 };
  /// Estimated requests in flight and queued, including the one to be routed, as a
  /// fraction of the limit.
  double mOccupancy{ 0.0 };
  /// Estimated requests in flight for the model.
  double mModelInFlight{ 0.0 };
  bool mNear{ false };
};

/// Conditions and preferences of a request for the choice of its endpoint.
struct EndpointRequirement
{
  /// Model that must be resident; empty for any endpoint of the pool.
  ids::ModelId mModel;
  ids::PoolId mPool;
  ids::AvailabilityZoneId mNearZone;
  /// Endpoints that must not be chosen because they were tried already.
  std::vector<ids::EndpointId> mExcluded;
};

/// View of the endpoints at one entry. Reported loads decay with their age, whereas the
/// entry's own requests in flight are counted exactly. Thread-safe.
class EndpointTable
{
public:
  /// Adds an endpoint or replaces its description. A new incarnation or another pool
  /// discards the reported load and models.
  void Put(const EndpointDescription& aDescription);
  void Remove(const ids::EndpointId& aName);

  void ReportLoad(const ids::EndpointId& aName,
                  const EndpointLoad& aLoad,
                  timing::Instant aNow);

  /// Replaces the models of the endpoint.
  void ReportModels(const ids::EndpointId& aName,
                    const std::vector<ModelPresence>& aModels,
                    timing::Instant aNow);

  /// Excludes the endpoint from routing until the instant, or until it reports a load.
  void MarkUnreachable(const ids::EndpointId& aName, timing::Instant aUntil);

  /// Sets the availability zones that are out: their endpoints get no new requests.
  void SetZonesOut(const std::vector<ids::AvailabilityZoneId>& aZones);

  /// Counts an attempt of this entry in flight until the matching End.
  void Begin(const ids::EndpointId& aName, const ids::ModelId& aModel);
  void End(const ids::EndpointId& aName, const ids::ModelId& aModel);

  std::optional<EndpointDescription> Find(const ids::EndpointId& aName) const;
  std::vector<EndpointDescription> All() const;

  /// Returns the number of endpoints where the model is resident, whatever their state.
  std::size_t HolderCount(const ids::ModelId& aModel) const;

  /// Calls aVisit with a view of the table under a shared lock.
  template<typename Visit>
  auto Read(Visit&& aVisit) const
  {
    const std::shared_lock lock(mMutex);
    return aVisit(View(*this));
  }

  /// Consistent view of the table, valid during Read.
  class View
  {
  public:
    explicit View(const EndpointTable& aTable)
      : mTable(aTable)
    {
    }

    /// Rows of the endpoints where the model is resident, or of all endpoints of the pool
    /// if the model is empty.
    const std::vector<std::uint32_t>& Rows(const EndpointRequirement& aRequirement) const;

    /// Returns the candidate, or nothing if the endpoint is excluded, down, leaving,
    /// unreachable, in a zone that is out, or at its cold-start limit.
    std::optional<Candidate> Evaluate(std::uint32_t aRow,
                                      const EndpointRequirement& aRequirement,
                                      timing::Instant aNow) const;

    /// Returns true if the endpoint is in cold start and neither down, leaving,
    /// unreachable nor in a zone that is out.
    bool IsInColdStart(std::uint32_t aRow, timing::Instant aNow) const;

    const EndpointDescription& Description(std::uint32_t aRow) const;

    /// Hash of the endpoint's name; equal in all entries.
    std::uint64_t NameHash(std::uint32_t aRow) const { return mTable.mNameHashes[aRow]; }

  private:
    const EndpointTable& mTable;
  };

private:
  struct ModelRow
  {
    std::uint32_t mReportedInFlight{ 0 };
    std::uint32_t mOwnInFlight{ 0 };
    /// Own attempts in flight when the report was received; the report includes them.
    std::uint32_t mOwnInFlightAtReport{ 0 };
    bool mResident{ false };
    timing::Instant mReportedAt{};
  };

  struct Row
  {
    EndpointDescription mDescription;
    EndpointLoad mLoad;
    timing::Instant mReportedAt{};
    timing::Instant mUnreachableUntil{};
    std::uint32_t mOwnInFlight{ 0 };
    std::uint32_t mOwnInFlightAtReport{ 0 };
    bool mIsUsed{ false };
    bool mZoneOut{ false };
    std::unordered_map<ids::ModelId, ModelRow> mModels;
  };

  Row* FindRow(const ids::EndpointId& aName);
  const Row* FindRow(const ids::EndpointId& aName) const;
  void RemoveFromIndexes(std::uint32_t aIndex);
  double EstimateInFlight(const Row& aRow, timing::Instant aNow) const;

  mutable std::shared_mutex mMutex;
  std::vector<Row> mRows;
  /// Hash of each row's endpoint name. Stored apart from the rows because prefix affinity
  /// reads the hashes of all candidate rows.
  std::vector<std::uint64_t> mNameHashes;
  std::unordered_map<ids::EndpointId, std::uint32_t> mIndex;
  std::unordered_map<ids::ModelId, std::vector<std::uint32_t>> mHolders;
  std::unordered_map<ids::PoolId, std::vector<std::uint32_t>> mPools;
  std::unordered_set<ids::AvailabilityZoneId> mZonesOut;
  /// Moving average, over recent reports of all endpoints, of the load that other entries
  /// cause at an endpoint, as a fraction of its limit.
  double mMeanOthersOccupancy{ 0.0 };
};

}

#endif
