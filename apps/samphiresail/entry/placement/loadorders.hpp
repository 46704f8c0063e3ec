#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_PLACEMENT_LOADORDERS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_PLACEMENT_LOADORDERS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "apps/samphiresail/entry/placement/placementactions.hpp"
#include "components/limits/permitholder.hpp"
#include "components/placement/placementview.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::entry {

/// Loads that this entry is about to order or has ordered. A load gets a permit of the
/// weight store, then the order is sent, then the agent answers. A pair of endpoint and
/// model that failed is not tried again at once.
class LoadOrders
{
public:
  /// aName makes the identifiers of orders unique in the fleet.
  explicit LoadOrders(std::string aName);

  /// Starts a load unless it runs already or failed recently. Returns true if it started.
  bool Start(const placement::LoadOrder& aOrder,
             const std::string& aAddress,
             timing::Instant aNow);

  /// Asks again for permits that were denied and gives up loads that took too long.
  void Tick(timing::Instant aNow);

  /// aModel is null if the model was withdrawn from the catalogue meanwhile.
  void OnPermit(std::uint64_t aId,
                const limits::PermitReply& aAnswer,
                const catalogue::Model* aModel,
                timing::Instant aNow);
  void OnReply(const wire::PlacementReply& aReply, timing::Instant aNow);

  /// Returns the load that waits for a permit under the identifier.
  std::optional<placement::LoadOrder> Find(std::uint64_t aId) const;

  bool Runs(const ids::ModelId& aModel) const;
  bool FailedRecently(const placement::LoadOrder& aOrder) const;
  std::vector<placement::LoadOrder> Running() const;
  std::size_t Count() const { return mLoads.size(); }

  PlacementActions Take() { return std::exchange(mActions, {}); }

private:
  struct Load
  {
    placement::LoadOrder mOrder;
    std::string mAddress;
    timing::Instant mStartedAt;
    /// When a permit is asked for again; absent while an answer is awaited.
    std::optional<timing::Instant> mAskAt;
    /// Empty until the order was sent.
    std::string mOrderId;
    std::string mPermit;
  };

  using Loads = std::map<std::uint64_t, Load>;

  Loads::iterator Fail(Loads::iterator aLoad, timing::Instant aNow);

  std::string mName;
  std::uint64_t mLastId{ 0 };
  Loads mLoads;
  /// When each failed pair may be tried again.
  std::map<placement::LoadOrder, timing::Instant> mFailed;
  PlacementActions mActions;
};

}

#endif
