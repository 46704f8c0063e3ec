#include "components/placement/keeperplanner.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace samphiresail::placement {

namespace {

/// An agent that restarts reports again within this time, and its engine still holds the
/// models.
constexpr std::chrono::seconds kAbsenceGracePeriod{ 15 };

using KeeperTimes = std::map<ids::ModelId, std::map<ids::EndpointId, timing::Instant>>;

/// Sort key of an endpoint that may become a keeper of a model. The fields are compared
/// in order; the lowest key is the best.
struct EndpointRank
{
  /// Serving keepers of the model in the availability zone.
  std::int64_t mKeepersInZone{ 0 };
  bool mNeedsBase{ false };
  bool mNeedsLoad{ false };
  /// Fraction of the endpoint's memory that is needed for the models that it keeps.
  double mMemoryFraction{ 0.0 };
  ids::EndpointId mName;

  auto operator<=>(const EndpointRank&) const = default;
};

/// Working copy of the keeper table that one planning round changes.
class KeeperAllocation
{
public:
  KeeperAllocation(const PlacementView& aView, const KeeperTimes& aKeeperTimes)
    : mView(aView)
    , mKeeperTimes(aKeeperTimes)
    , mKeepers(ValidKeepers(aView))
    , mMemory(aView, mKeepers)
  {
  }

  const KeeperTable& Keepers() const { return mKeepers; }

  /// Adds keepers until each model has aMaxCount of them, or its declared number if that
  /// is lower, as far as memory allows. Only keepers that satisfy aIsCounted are counted.
  template<typename Predicate>
  void AssignKeepers(std::uint32_t aMaxCount, const Predicate& aIsCounted)
  {
    for (const catalogue::Model* model : ModelsByPriority()) {
      const std::uint32_t target = std::min(aMaxCount, model->mKeepers);
      while (CountKeepersIf(*model, aIsCounted) < target) {
        const EndpointRow* endpoint = FindBestEndpoint(*model);
        if (endpoint == nullptr && aMaxCount == 1) {
          endpoint = FreeMemoryFor(*model, aIsCounted);
        }
        if (endpoint == nullptr) {
          break;
        }
        mKeepers[model->mName].insert(endpoint->mName);
        mMemory.Add(*endpoint, *model);
      }
    }
  }

  /// Removes keepers beyond the declared number once enough others hold the model: first
  /// those that do not serve, then those that are not known to hold the model, then those
  /// in the availability zone with the most keepers.
  void RemoveSurplusKeepers()
  {
    for (const catalogue::Model& model : mView.Catalogue().mModels) {
      while (const auto surplus = FindSurplusKeeper(model)) {
        mKeepers[model.mName].erase(*surplus);
        if (const EndpointRow* endpoint = mView.FindEndpoint(*surplus)) {
          mMemory.Remove(*endpoint, model);
        }
      }
    }
  }

  template<typename Predicate>
  std::uint32_t CountKeepersIf(const catalogue::Model& aModel,
                               const Predicate& aIsCounted) const
  {
    const auto it = mKeepers.find(aModel.mName);
    return it == mKeepers.end()
             ? 0
             : static_cast<std::uint32_t>(std::ranges::count_if(it->second, aIsCounted));
  }

  bool IsServing(const ids::EndpointId& aName) const
  {
    const EndpointRow* endpoint = mView.FindEndpoint(aName);
    return endpoint != nullptr && endpoint->mServing;
  }

private:
  /// Keepers of declared models, without endpoints reported in another pool. Endpoints
  /// without a report are included.
  static KeeperTable ValidKeepers(const PlacementView& aView)
  {
    KeeperTable keepers;
    for (const auto& [name, endpoints] : aView.mKeepers) {
      const catalogue::Model* model = aView.FindModel(name);
      if (model == nullptr) {
        continue;
      }
      std::ranges::copy_if(endpoints,
                           std::inserter(keepers[name], keepers[name].end()),
                           [&](const ids::EndpointId& aName) {
                             const EndpointRow* row = aView.FindEndpoint(aName);
                             return row == nullptr || row->mPool == model->mPool;
                           });
    }
    return keepers;
  }

  /// Base models before adapters, each in descending order of memory.
  std::vector<const catalogue::Model*> ModelsByPriority() const
  {
    std::vector<const catalogue::Model*> models;
    for (const catalogue::Model& model : mView.Catalogue().mModels) {
      models.push_back(&model);
    }
    std::ranges::sort(models, {}, [](const catalogue::Model* aModel) {
      return std::tuple(!aModel->mBase.Empty(), -aModel->mMemory.Count(), aModel->mName);
    });
    return models;
  }

  bool IsKeeper(const ids::EndpointId& aEndpoint, const ids::ModelId& aModel) const
  {
    const auto it = mKeepers.find(aModel);
    return it != mKeepers.end() && it->second.contains(aEndpoint);
  }

  bool CanBecomeKeeper(const EndpointRow& aEndpoint, const catalogue::Model& aModel) const
  {
    return aEndpoint.mServing && aEndpoint.mPool == aModel.mPool &&
           !IsKeeper(aEndpoint.mName, aModel.mName);
  }

  using ZoneCounts = std::map<ids::AvailabilityZoneId, std::int64_t>;

  /// Serving keepers of the model in each availability zone.
  ZoneCounts CountByZone(const catalogue::Model& aModel) const
  {
    ZoneCounts counts;
    const auto it = mKeepers.find(aModel.mName);
    if (it != mKeepers.end()) {
      for (const ids::EndpointId& name : it->second) {
        const EndpointRow* endpoint = mView.FindEndpoint(name);
        if (endpoint != nullptr && endpoint->mServing) {
          ++counts[endpoint->mAvailabilityZone];
        }
      }
    }
    return counts;
  }

  static std::int64_t CountInZone(const ZoneCounts& aCounts,
                                  const ids::AvailabilityZoneId& aZone)
  {
    const auto it = aCounts.find(aZone);
    return it == aCounts.end() ? 0 : it->second;
  }

  EndpointRank Rank(const EndpointRow& aEndpoint,
                    const catalogue::Model& aModel,
                    std::int64_t aKeepersInZone) const
  {
    const bool needsBase =
      !aModel.mBase.Empty() && !IsKeeper(aEndpoint.mName, aModel.mBase);
    const bool needsLoad = !aEndpoint.mResident.contains(aModel.mName);
    const double memoryFraction =
      static_cast<double>(mMemory.Used(aEndpoint).Count()) /
      static_cast<double>(std::max<std::int64_t>(aEndpoint.mMemory.Count(), 1));
    return { .mKeepersInZone = aKeepersInZone,
             .mNeedsBase = needsBase,
             .mNeedsLoad = needsLoad,
             .mMemoryFraction = memoryFraction,
             .mName = aEndpoint.mName };
  }

  const EndpointRow* FindBestEndpoint(const catalogue::Model& aModel) const
  {
    const ZoneCounts inZone = CountByZone(aModel);
    const auto kept = mKeepers.find(aModel.mName);
    const EndpointRow* best = nullptr;
    std::optional<EndpointRank> bestRank;
    for (const auto& [name, endpoint] : mView.mEndpoints) {
      const bool isKeeper = kept != mKeepers.end() && kept->second.contains(name);
      if (isKeeper || !endpoint.mServing || endpoint.mPool != aModel.mPool) {
        continue;
      }
      const std::int64_t others = CountInZone(inZone, endpoint.mAvailabilityZone);
      const bool worse = bestRank && others > bestRank->mKeepersInZone;
      if (worse || !mMemory.Fits(endpoint, aModel)) {
        continue;
      }
      EndpointRank rank = Rank(endpoint, aModel, others);
      if (!bestRank || rank < *bestRank) {
        best = &endpoint;
        bestRank = std::move(rank);
      }
    }
    return best;
  }

  /// Frees memory for the first keeper of a model by removing keepers of models that have
  /// other keepers. Returns the endpoint, or null if no endpoint can free enough memory.
  template<typename Predicate>
  const EndpointRow* FreeMemoryFor(const catalogue::Model& aModel,
                                   const Predicate& aIsCounted)
  {
    for (const auto& [name, endpoint] : mView.mEndpoints) {
      if (!CanBecomeKeeper(endpoint, aModel)) {
        continue;
      }
      std::vector<const catalogue::Model*> removed;
      for (const catalogue::Model& other : mView.Catalogue().mModels) {
        if (mMemory.Fits(endpoint, aModel)) {
          break;
        }
        if (IsKeeper(endpoint.mName, other.mName) &&
            CountKeepersIf(other, aIsCounted) > 1 && IsDispensable(endpoint, other)) {
          removed.push_back(&other);
          mMemory.Remove(endpoint, other);
        }
      }
      if (mMemory.Fits(endpoint, aModel)) {
        RemoveKeepers(endpoint, removed);
        return &endpoint;
      }
      RestoreMemory(endpoint, removed);
    }
    return nullptr;
  }

  /// Returns true if the model is not resident at the endpoint, or if another serving
  /// keeper is known to hold it.
  bool IsDispensable(const EndpointRow& aEndpoint, const catalogue::Model& aModel) const
  {
#ifndef SAMPHIRESAIL_MUTANT_KEEPER_SPARE
    const auto otherHolds = [&](const ids::EndpointId& aName) {
      return aName != aEndpoint.mName && HoldsReliably(aName, aModel);
    };
    return !aEndpoint.mResident.contains(aModel.mName) ||
           CountKeepersIf(aModel, otherHolds) > 0;
#else
    static_cast<void>(aEndpoint);
    static_cast<void>(aModel);
    return true;
#endif
  }

  void RemoveKeepers(const EndpointRow& aEndpoint,
                     const std::vector<const catalogue::Model*>& aModels)
  {
    for (const catalogue::Model* model : aModels) {
      mKeepers[model->mName].erase(aEndpoint.mName);
    }
  }

  void RestoreMemory(const EndpointRow& aEndpoint,
                     const std::vector<const catalogue::Model*>& aModels)
  {
    for (const catalogue::Model* model : aModels) {
      mMemory.Add(aEndpoint, *model);
    }
  }

  /// Returns true if the keeper serves and is known to hold the model: its report was
  /// requested after it became a keeper, so its agent no longer evicts the model.
  bool HoldsReliably(const ids::EndpointId& aName, const catalogue::Model& aModel) const
  {
    const EndpointRow* endpoint = mView.FindEndpoint(aName);
    return endpoint != nullptr && endpoint->mServing &&
           endpoint->mResident.contains(aModel.mName) &&
           WasKeeperBefore(aName, aModel.mName, endpoint->mReportRequestedAt);
  }

  bool WasKeeperBefore(const ids::EndpointId& aName,
                       const ids::ModelId& aModel,
                       timing::Instant aInstant) const
  {
#ifdef SAMPHIRESAIL_MUTANT_KEEPER_EVIDENCE
    return true;
#endif
    const auto model = mKeeperTimes.find(aModel);
    if (model == mKeeperTimes.end()) {
      return false;
    }
    const auto since = model->second.find(aName);
    return since != model->second.end() && since->second < aInstant;
  }

  /// Returns a keeper that can be removed while at least the declared number of others
  /// hold the model.
  std::optional<ids::EndpointId> FindSurplusKeeper(const catalogue::Model& aModel) const
  {
    const auto it = mKeepers.find(aModel.mName);
    if (it == mKeepers.end() || it->second.size() <= aModel.mKeepers) {
      return std::nullopt;
    }
    const ZoneCounts inZone = CountByZone(aModel);
    const auto worst =
      std::ranges::max_element(it->second, {}, [&](const ids::EndpointId& aName) {
        const EndpointRow* endpoint = mView.FindEndpoint(aName);
        return std::tuple(
          !IsServing(aName),
          !HoldsReliably(aName, aModel),
          endpoint == nullptr ? 0 : CountInZone(inZone, endpoint->mAvailabilityZone),
          aName);
      });
    [[maybe_unused]] const std::uint32_t others =
      CountKeepersIf(aModel, [&](const ids::EndpointId& aName) {
        return aName != *worst && HoldsReliably(aName, aModel);
      });
#ifndef SAMPHIRESAIL_MUTANT_KEEPER_TRIM
    if (others < aModel.mKeepers) {
      return std::nullopt;
    }
#endif
    return *worst;
  }

  const PlacementView& mView;
  const KeeperTimes& mKeeperTimes;
  KeeperTable mKeepers;
  KeeperMemory mMemory;
};

}

KeeperAssignment KeeperPlanner::Choose(const PlacementView& aView, timing::Instant aNow)
{
  UpdateAbsences(aView, aNow);
  UpdateKeeperTimes(aView, aNow);
  KeeperAllocation allocation(aView, mKeeperTimes);
  const auto isServing = [&](const ids::EndpointId& aName) {
    return allocation.IsServing(aName);
  };
  const auto isServingOrBrieflyAbsent = [&](const ids::EndpointId& aName) {
    return allocation.IsServing(aName) || IsBrieflyAbsent(aName, aNow);
  };
  std::uint32_t maxKeepers = 1;
  for (const catalogue::Model& model : aView.Catalogue().mModels) {
    maxKeepers = std::max(maxKeepers, model.mKeepers);
  }
  allocation.AssignKeepers(1, isServing);
  for (std::uint32_t count = 2; count <= maxKeepers; ++count) {
    allocation.AssignKeepers(count, isServingOrBrieflyAbsent);
  }
  allocation.RemoveSurplusKeepers();

  KeeperAssignment result{ .mKeepers = allocation.Keepers() };
  std::erase_if(result.mKeepers, [](const auto& aItem) { return aItem.second.empty(); });
  for (const catalogue::Model& model : aView.Catalogue().mModels) {
    if (allocation.CountKeepersIf(model, isServing) == 0) {
      result.mUnplaced.push_back(model.mName);
    }
  }
  return result;
}

void KeeperPlanner::UpdateAbsences(const PlacementView& aView, timing::Instant aNow)
{
  std::map<ids::EndpointId, timing::Instant> absent;
  for (const auto& [model, endpoints] : aView.mKeepers) {
    for (const ids::EndpointId& endpoint : endpoints) {
      if (aView.FindEndpoint(endpoint) == nullptr) {
        const auto it = mAbsentSince.find(endpoint);
        absent.emplace(endpoint, it == mAbsentSince.end() ? aNow : it->second);
      }
    }
  }
  mAbsentSince = std::move(absent);
}

void KeeperPlanner::UpdateKeeperTimes(const PlacementView& aView, timing::Instant aNow)
{
  KeeperTimes kept;
  for (const auto& [model, endpoints] : aView.mKeepers) {
    const auto before = mKeeperTimes.find(model);
    for (const ids::EndpointId& endpoint : endpoints) {
      timing::Instant& since = kept[model][endpoint];
      since = aNow;
      if (before != mKeeperTimes.end()) {
        const auto it = before->second.find(endpoint);
        since = it == before->second.end() ? aNow : it->second;
      }
    }
  }
  mKeeperTimes = std::move(kept);
}

bool KeeperPlanner::IsBrieflyAbsent(const ids::EndpointId& aEndpoint,
                                    timing::Instant aNow) const
{
  const auto it = mAbsentSince.find(aEndpoint);
  return it != mAbsentSince.end() && aNow - it->second < kAbsenceGracePeriod;
}

}
