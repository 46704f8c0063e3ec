#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_KEEPERMEMORY_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_KEEPERMEMORY_HPP

#include <map>
#include <set>

#include "components/placement/placementview.hpp"

namespace samphiresail::placement {

/// Memory of each endpoint that the models it keeps take up, the base models of kept
/// adapters included.
class KeeperMemory
{
public:
  KeeperMemory(const PlacementView& aView, const KeeperTable& aKeepers);

  void Add(const EndpointRow& aEndpoint, const catalogue::Model& aModel);
  void Remove(const EndpointRow& aEndpoint, const catalogue::Model& aModel);

  /// Memory that the endpoint's kept models take up.
  units::Bytes Used(const EndpointRow& aEndpoint) const;

  /// True if the endpoint can keep the model besides what it keeps now.
  bool Fits(const EndpointRow& aEndpoint, const catalogue::Model& aModel) const;

private:
  struct Holding
  {
    std::set<ids::ModelId> mKept;
    /// Models that are kept or are the base of a kept adapter, with the number of
    /// reasons.
    std::map<ids::ModelId, int> mReasons;
    units::Bytes mUsed;
  };

  void AddReason(Holding& aHolding, const ids::ModelId& aModel);
  void RemoveReason(Holding& aHolding, const ids::ModelId& aModel);
  void Keep(Holding& aHolding, const ids::ModelId& aModel);
  units::Bytes MemoryOf(const ids::ModelId& aModel) const;
  units::Bytes Further(const Holding& aHolding, const ids::ModelId& aModel) const;

  const PlacementView& mView;
  std::map<ids::EndpointId, Holding> mHoldings;
};

}

#endif
