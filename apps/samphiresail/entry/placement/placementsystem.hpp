#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_PLACEMENT_PLACEMENTSYSTEM_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_PLACEMENT_PLACEMENTSYSTEM_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "apps/samphiresail/entry/control/controlsnapshot.hpp"
#include "apps/samphiresail/entry/placement/fleetreports.hpp"
#include "apps/samphiresail/entry/placement/loadorders.hpp"
#include "apps/samphiresail/entry/placement/placementactions.hpp"
#include "components/placement/demandplanner.hpp"
#include "components/placement/keeperrecord.hpp"

namespace samphiresail::entry {

/// Places models from an entry. The entry that plans reads the keeper record about once a
/// second, writes the planned keepers by compare-and-swap and orders loads. Every entry
/// loads models on demand that no endpoint holds. Without sockets, threads or clocks;
/// each function adds to the actions that Take returns.
class PlacementSystem
{
public:
  /// aName makes the identifiers of orders unique in the fleet; it contains the
  /// incarnation.
  explicit PlacementSystem(std::string aName);

  /// To be called every few tens of milliseconds. aIsPlanner is true for the entry that
  /// plans while it is in touch.
  void Tick(const std::shared_ptr<const ControlSnapshot>& aSnapshot,
            bool aIsPlanner,
            timing::Instant aNow);

  /// aAskedAt is when the question was sent that the report answers.
  void OnReport(const wire::LoadReport& aReport,
                timing::Instant aAskedAt,
                timing::Instant aNow);
  void OnStoreReply(std::uint64_t aId, const store::StoreReply& aReply);
  void OnPermit(std::uint64_t aId,
                const limits::PermitReply& aAnswer,
                timing::Instant aNow);
  void OnPlacementReply(const wire::PlacementReply& aReply, timing::Instant aNow);

  /// Loads models that requests wait for, unless an endpoint holds or loads them.
  void OnWanted(const std::vector<ids::ModelId>& aModels, timing::Instant aNow);

  /// Returns the actions since the last call.
  PlacementActions Take();

private:
  struct HeldRecord
  {
    placement::KeeperRecord mRecord;
    std::int64_t mModRevision{ 0 };
  };

  bool HasCatalogue() const { return mSnapshot && mSnapshot->mConfiguration; }
  const catalogue::Catalogue& Catalogue() const
  {
    return mSnapshot->mConfiguration->mCatalogue;
  }
  placement::PlacementView MakeView(timing::Instant aNow) const;
  void Plan(timing::Instant aNow);
  void WriteKeepers(const placement::KeeperTable& aKeepers);
  void StartLoad(const placement::LoadOrder& aOrder, timing::Instant aNow);
  std::optional<placement::LoadOrder> ChooseOnDemand(
    const placement::PlacementView& aView,
    const catalogue::Model& aModel) const;
  std::uint64_t Call(store::StoreRequest aRequest);

  std::shared_ptr<const ControlSnapshot> mSnapshot;
  FleetReports mReports;
  LoadOrders mOrders;
  placement::DemandPlanner mPlanner;
  std::optional<timing::Instant> mReadAt;
  std::uint64_t mLastCall{ 0 };
  /// Identifier of the read that runs; 0 for none.
  std::uint64_t mRead{ 0 };
  /// Keepers that a finished read brought and no plan has used yet.
  std::optional<HeldRecord> mHeld;
  PlacementActions mActions;
};

}

#endif
