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

/// Where an endpoint is and who answers for it; comes from the agent's record.
struct EndpointDescription
{
  ids::EndpointId mName;
  ids::PoolId mPool;
  ids::AvailabilityZoneId mAvailabilityZone;
  /// Address of the agent, as announced.
  std::string mAddress;
  units::Incarnation mIncarnation;
};

/// Load as the agent reported it.
struct EndpointLoad
{
  std::uint32_t mInFlight{ 0 };
  /// Limit that holds now; the cold limit while the endpoint is cold.
  std::uint32_t mInFlightLimit{ 1 };
  std::uint32_t mQueued{ 0 };
  bool mCold{ false };
  bool mLeaving{ false };
  bool mDown{ false };
  std::chrono::microseconds mServiceTime{ 0 };
};

/// Presence of a model at an endpoint as the agent reported it.
struct ModelPresence
{
  ids::ModelId mModel;
  bool mResident{ false };
  std::uint32_t mInFlight{ 0 };
};

/// Endpoint that may be chosen, with the figures that the choice weighs.
struct Candidate
{
  std::uint32_t mRow{ 0 };
  /// Estimated requests in flight and queued, over the limit.
  double mOccupancy{ 0.0 };
  /// Estimated requests in flight for the model.
  double mModelInFlight{ 0.0 };
  bool mNear{ false };
};

/// What a request needs of an endpoint.
struct EndpointRequirement
{
  /// Model that must be resident; empty for any endpoint of the pool.
  ids::ModelId mModel;
  ids::PoolId mPool;
  ids::AvailabilityZoneId mNearZone;
  /// Endpoints that were tried already.
  std::vector<ids::EndpointId> mExcluded;
};

/// Endpoints as one entry sees them. Loads arrive with answers and are aged by their lag;
/// what the entry itself has in flight is counted at once. Safe for several threads.
class EndpointTable
{
public:
  /// Adds an endpoint or replaces its description. A new incarnation forgets the load.
  void Put(const EndpointDescription& aDescription);
  void Remove(const ids::EndpointId& aName);

  void ReportLoad(const ids::EndpointId& aName,
                  const EndpointLoad& aLoad,
                  timing::Instant aNow);

  /// Replaces the models of the endpoint.
  void ReportModels(const ids::EndpointId& aName,
                    const std::vector<ModelPresence>& aModels,
                    timing::Instant aNow);

  /// Takes the endpoint out of the choice until the instant, or until it reports a load.
  void MarkUnreachable(const ids::EndpointId& aName, timing::Instant aUntil);

  /// Sets the availability zones that get no new work.
  void SetZonesOut(const std::vector<ids::AvailabilityZoneId>& aZones);

  /// Counts an attempt of this entry in flight until the matching End.
  void Begin(const ids::EndpointId& aName, const ids::ModelId& aModel);
  void End(const ids::EndpointId& aName, const ids::ModelId& aModel);

  std::optional<EndpointDescription> Find(const ids::EndpointId& aName) const;
  std::vector<EndpointDescription> All() const;

  /// Returns the endpoints that hold the model, whatever their state.
  std::size_t HolderCount(const ids::ModelId& aModel) const;

  /// Calls aVisit with the view under a lock that admits other readers.
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

    /// Rows that hold the model, or all rows of the pool if the model is empty.
    const std::vector<std::uint32_t>& Rows(const EndpointRequirement& aRequirement) const;

    /// Returns the candidate, or nothing if the endpoint takes no new work now.
    std::optional<Candidate> Evaluate(std::uint32_t aRow,
                                      const EndpointRequirement& aRequirement,
                                      timing::Instant aNow) const;

    /// Returns true if only a cold start or its limit keeps the endpoint from new work.
    bool IsColdAndFull(std::uint32_t aRow, timing::Instant aNow) const;

    const EndpointDescription& Description(std::uint32_t aRow) const;

    /// Hash of the endpoint's name, the same in every entry.
    std::uint64_t NameHash(std::uint32_t aRow) const { return mTable.mNameHashes[aRow]; }

  private:
    const EndpointTable& mTable;
  };

private:
  struct ModelRow
  {
    std::uint32_t mReported{ 0 };
    std::uint32_t mOwn{ 0 };
    /// Own attempts that the report already counts.
    std::uint32_t mOwnAtReport{ 0 };
    bool mResident{ false };
    timing::Instant mReportedAt{};
  };

  struct Row
  {
    EndpointDescription mDescription;
    EndpointLoad mLoad;
    timing::Instant mReportedAt{};
    timing::Instant mUnreachableUntil{};
    std::uint32_t mOwn{ 0 };
    std::uint32_t mOwnAtReport{ 0 };
    bool mUsed{ false };
    bool mZoneOut{ false };
    std::unordered_map<ids::ModelId, ModelRow> mModels;
  };

  Row* FindRow(const ids::EndpointId& aName);
  const Row* FindRow(const ids::EndpointId& aName) const;
  void Unlist(std::uint32_t aIndex);
  double EstimateInFlight(const Row& aRow, timing::Instant aNow) const;

  mutable std::shared_mutex mMutex;
  std::vector<Row> mRows;
  /// Hash of each row's name, apart from the rows because a choice may read all of them.
  std::vector<std::uint64_t> mNameHashes;
  std::unordered_map<ids::EndpointId, std::uint32_t> mIndex;
  std::unordered_map<ids::ModelId, std::vector<std::uint32_t>> mHolders;
  std::unordered_map<ids::PoolId, std::vector<std::uint32_t>> mPools;
  std::unordered_set<ids::AvailabilityZoneId> mZonesOut;
  /// Mean share of its limit that other entries use of an endpoint, over recent reports.
  double mMeanOthers{ 0.0 };
};

}

#endif
