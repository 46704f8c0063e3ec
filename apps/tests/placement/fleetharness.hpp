#ifndef SAMPHIRESAIL_APPS_TESTS_PLACEMENT_FLEETHARNESS_HPP
#define SAMPHIRESAIL_APPS_TESTS_PLACEMENT_FLEETHARNESS_HPP

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "components/placement/demandplanner.hpp"
#include "components/placement/keeperrecord.hpp"

namespace samphiresail::tests {

/// Endpoint with its agent, reduced to the state that placement uses.
struct FakeEndpoint
{
  placement::EndpointRow mRow;
  bool mAlive{ true };
  std::map<ids::ModelId, int> mLoadDoneAt;
  std::map<ids::ModelId, int> mLastUsed;
};

/// Simulates a fleet of agents and two concurrent planners that share a store with
/// compare-and-swap. Each step is one second. Memory limits and evictions are checked at
/// every step.
class FleetHarness
{
public:
  explicit FleetHarness(std::uint32_t aSeed);

  /// Runs the steps with random faults: agents fail and restart, availability zones are
  /// taken out and put back, the store is down, orders are lost, planners use stale
  /// views.
  void RunWithFaults(int aSteps);

  /// Ends all faults and runs the steps without new ones.
  void Recover(int aSteps);

  /// Simulates a request for a model: serves it where the model is resident, otherwise
  /// starts a load on demand. Returns false if neither is possible.
  bool Request(const ids::ModelId& aModel);

  /// Models that are resident at no serving endpoint.
  std::vector<ids::ModelId> Unreachable() const;

  /// Number of loads started so far.
  int Loads() const { return mLoads; }

  const catalogue::Catalogue& Catalogue() const { return mCatalogue; }

  /// Descriptions of the violated invariants.
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  struct StoredKeepers
  {
    placement::KeeperTable mKeepers;
    int mRevision{ 0 };
  };

  void Step();
  void InjectFaults();
  /// Starts loads and evicts replicas without an order of a planner.
  void ChangeUnplannedReplicas();
  void FinishLoads();
  void RunPlanner(placement::DemandPlanner& aPlanner, bool aOldView);
  /// Returns true if the model is resident at a live keeper other than aExcept.
  bool HasLiveKeeper(const ids::ModelId& aModel, const FakeEndpoint* aExcept) const;
  void ObserveFailure(const FakeEndpoint& aEndpoint);
  /// Removes from mProtected each model that loses a keeper by a plan whose view is older
  /// than the last failure of an endpoint where the model was resident: these are two
  /// faults at once. The model is protected again once it is resident at a live keeper.
  void ObserveKeeperWrite(const placement::KeeperTable& aKeepers, int aViewStep);
  void StartLoad(const placement::LoadOrder& aOrder);
  bool StartLoadAt(FakeEndpoint& aEndpoint, const catalogue::Model& aModel);
  bool FreeMemoryFor(FakeEndpoint& aEndpoint, const catalogue::Model& aModel);
  bool MayEvict(const FakeEndpoint& aEndpoint, const ids::ModelId& aModel) const;
  void Evict(FakeEndpoint& aEndpoint, const ids::ModelId& aModel);
  units::Bytes Occupied(const FakeEndpoint& aEndpoint) const;
  placement::PlacementView MakeView() const;
  const catalogue::Model& ModelOf(const ids::ModelId& aName) const;
  void CheckInvariants();
  bool Chance(int aPercent);

  std::mt19937 mRandom;
  catalogue::Catalogue mCatalogue;
  std::map<ids::EndpointId, FakeEndpoint> mEndpoints;
  std::set<ids::AvailabilityZoneId> mZonesOut;
  bool mStoreDown{ false };
  StoredKeepers mStore;
  /// Stale view that the second planner uses, with the store revision and the step at
  /// which it was made.
  placement::PlacementView mOldView;
  int mOldRevision{ 0 };
  int mOldStep{ 0 };
  placement::DemandPlanner mFirst;
  placement::DemandPlanner mSecond;
  int mStep{ 0 };
  int mLoads{ 0 };
  bool mFaults{ true };
  /// Models that were resident at a live keeper; their last replica must not be evicted.
  std::set<ids::ModelId> mProtected;
  /// Step after the last failure of an endpoint where the model was resident.
  std::map<ids::ModelId, int> mLastFailureStep;
  std::vector<std::string> mViolations;
};

}

#endif
