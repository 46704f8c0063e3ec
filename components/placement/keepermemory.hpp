#ifndef SAMPHIRESAIL_COMPONENTS_PLACEMENT_KEEPERMEMORY_HPP
#define SAMPHIRESAIL_COMPONENTS_PLACEMENT_KEEPERMEMORY_HPP

#include <map>
#include <set>

#include "components/placement/placementview.hpp"

namespace samphiresail::placement {

/// Sums the memory that each endpoint needs for the models of which it is a keeper,
/// including the base models of adapters.
class KeeperMemory
{
public:
  KeeperMemory(const PlacementView& aView, const KeeperTable& aKeepers);

  void Add(const EndpointRow& aEndpoint, const catalogue::Model& aModel);
  void Remove(const EndpointRow& aEndpoint, const catalogue::Model& aModel);

  /// Memory needed for the models that the endpoint keeps.
  units::Bytes Used(const EndpointRow& aEndpoint) const;

  /// Returns true if the endpoint has enough memory to keep the model in addition to
  /// those that it keeps already.
  bool Fits(const EndpointRow& aEndpoint, const catalogue::Model& aModel) const;

private:
  struct EndpointUsage
  {
    std::set<ids::ModelId> mKeptModels;
    /// For each model, the number of kept models that need it resident: the model itself
    /// if kept, and every kept adapter of which it is the base.
    std::map<ids::ModelId, int> mReferenceCounts;
    units::Bytes mUsed;
  };

  void AddReference(EndpointUsage& aUsage, const ids::ModelId& aModel);
  void RemoveReference(EndpointUsage& aUsage, const ids::ModelId& aModel);
  void Keep(EndpointUsage& aUsage, const ids::ModelId& aModel);
  units::Bytes MemoryOf(const ids::ModelId& aModel) const;
  units::Bytes AdditionalMemory(const EndpointUsage& aUsage,
                                const ids::ModelId& aModel) const;

  const PlacementView& mView;
  std::map<ids::EndpointId, EndpointUsage> mUsages;
};

}

#endif
