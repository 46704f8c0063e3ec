#include "components/placement/keeperplanner.hpp"

#include <algorithm>
#include <optional>
#include <tuple>

namespace samphiresail::placement {

namespace {

/// An agent that restarts is back within this time, and its engine kept the models.
constexpr std::chrono::seconds kAbsenceGrace{ 15 };

using KeptSince = std::map<ids::ModelId, std::map<ids::EndpointId, timing::Instant>>;

/// Rank of an endpoint for a model; lower is better, the first difference decides.
struct EndpointRank
{
  /// Keepers that the model has in the availability zone.
  std::int64_t mInZone{ 0 };
  bool mNeedsBase{ false };
  bool mNeedsLoad{ false };
  /// Part of the memory that kept models take up.
  double mFill{ 0.0 };
  ids::EndpointId mName;

  auto operator<=>(const EndpointRank&) const = default;
};

/// One round of choices over a table of keepers.
class Choice
{
public:
  Choice(const PlacementView& aView, const KeptSince& aKeptSince)
    : mView(aView)
    , mKeptSince(aKeptSince)
    , mKeepers(Valid(aView))
    , mMemory(aView, mKeepers)
  {
  }

  const KeeperTable& Keepers() const { return mKeepers; }

  /// Gives each model up to aCount keepers that count, as far as there is room.
  template<typename Counts>
  void Fill(std::uint32_t aCount, const Counts& aCounts)
  {
    for (const catalogue::Model* model : BySize()) {
      const std::uint32_t wanted = std::min(aCount, model->mKeepers);
      while (CountIf(*model, aCounts) < wanted) {
        const EndpointRow* endpoint = Best(*model);
        if (endpoint == nullptr && aCount == 1) {
          endpoint = MakeRoom(*model, aCounts);
        }
        if (endpoint == nullptr) {
          break;
        }
        mKeepers[model->mName].insert(endpoint->mName);
        mMemory.Add(*endpoint, *model);
      }
    }
  }

  /// Drops keepers beyond the wanted number as soon as enough others hold the model:
  /// those that do not serve first, then those that share an availability zone.
  void Trim()
  {
    for (const catalogue::Model& model : mView.Catalogue().mModels) {
      while (const auto surplus = Surplus(model)) {
        mKeepers[model.mName].erase(*surplus);
        if (const EndpointRow* endpoint = mView.FindEndpoint(*surplus)) {
          mMemory.Remove(*endpoint, model);
        }
      }
    }
  }

  template<typename Counts>
  std::uint32_t CountIf(const catalogue::Model& aModel, const Counts& aCounts) const
  {
    const auto it = mKeepers.find(aModel.mName);
    return it == mKeepers.end()
             ? 0
             : static_cast<std::uint32_t>(std::ranges::count_if(it->second, aCounts));
  }

  bool Serves(const ids::EndpointId& aName) const
  {
    const EndpointRow* endpoint = mView.FindEndpoint(aName);
    return endpoint != nullptr && endpoint->mServing;
  }

private:
  /// Keepers of declared models at endpoints of their pool, known or missing.
  static KeeperTable Valid(const PlacementView& aView)
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

  /// Models before their adapters, larger ones first.
  std::vector<const catalogue::Model*> BySize() const
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

  bool Keeps(const ids::EndpointId& aEndpoint, const ids::ModelId& aModel) const
  {
    const auto it = mKeepers.find(aModel);
    return it != mKeepers.end() && it->second.contains(aEndpoint);
  }

  bool MayKeep(const EndpointRow& aEndpoint, const catalogue::Model& aModel) const
  {
    return aEndpoint.mServing && aEndpoint.mPool == aModel.mPool &&
           !Keeps(aEndpoint.mName, aModel.mName);
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

  static std::int64_t CountIn(const ZoneCounts& aCounts,
                              const ids::AvailabilityZoneId& aZone)
  {
    const auto it = aCounts.find(aZone);
    return it == aCounts.end() ? 0 : it->second;
  }

  EndpointRank Rank(const EndpointRow& aEndpoint,
                    const catalogue::Model& aModel,
                    std::int64_t aInZone) const
  {
    const bool needsBase = !aModel.mBase.Empty() && !Keeps(aEndpoint.mName, aModel.mBase);
    const bool needsLoad = !aEndpoint.mResident.contains(aModel.mName);
    const double fill =
      static_cast<double>(mMemory.Used(aEndpoint).Count()) /
      static_cast<double>(std::max<std::int64_t>(aEndpoint.mMemory.Count(), 1));
    return { .mInZone = aInZone,
             .mNeedsBase = needsBase,
             .mNeedsLoad = needsLoad,
             .mFill = fill,
             .mName = aEndpoint.mName };
  }

  const EndpointRow* Best(const catalogue::Model& aModel) const
  {
    const ZoneCounts inZone = CountByZone(aModel);
    const auto kept = mKeepers.find(aModel.mName);
    const EndpointRow* best = nullptr;
    std::optional<EndpointRank> bestRank;
    for (const auto& [name, endpoint] : mView.mEndpoints) {
      const bool keeps = kept != mKeepers.end() && kept->second.contains(name);
      if (keeps || !endpoint.mServing || endpoint.mPool != aModel.mPool) {
        continue;
      }
      const std::int64_t others = CountIn(inZone, endpoint.mAvailabilityZone);
      const bool worse = bestRank && others > bestRank->mInZone;
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

  /// Frees room for the first keeper of a model by giving up keepers of models that have
  /// others.
  template<typename Counts>
  const EndpointRow* MakeRoom(const catalogue::Model& aModel, const Counts& aCounts)
  {
    for (const auto& [name, endpoint] : mView.mEndpoints) {
      if (!MayKeep(endpoint, aModel)) {
        continue;
      }
      std::vector<const catalogue::Model*> given;
      for (const catalogue::Model& other : mView.Catalogue().mModels) {
        if (mMemory.Fits(endpoint, aModel)) {
          break;
        }
        if (Keeps(endpoint.mName, other.mName) && CountIf(other, aCounts) > 1 &&
            IsSpare(endpoint, other)) {
          given.push_back(&other);
          mMemory.Remove(endpoint, other);
        }
      }
      if (mMemory.Fits(endpoint, aModel)) {
        GiveUp(endpoint, given);
        return &endpoint;
      }
      Restore(endpoint, given);
    }
    return nullptr;
  }

  /// True if the endpoint does not hold the model or another serving keeper does.
  bool IsSpare(const EndpointRow& aEndpoint, const catalogue::Model& aModel) const
  {
#ifndef SAMPHIRESAIL_MUTANT_KEEPER_SPARE
    const auto holdsToo = [&](const ids::EndpointId& aName) {
      return aName != aEndpoint.mName && Holds(aName, aModel);
    };
    return !aEndpoint.mResident.contains(aModel.mName) || CountIf(aModel, holdsToo) > 0;
#else
    static_cast<void>(aEndpoint);
    static_cast<void>(aModel);
    return true;
#endif
  }

  void GiveUp(const EndpointRow& aEndpoint,
              const std::vector<const catalogue::Model*>& aModels)
  {
    for (const catalogue::Model* model : aModels) {
      mKeepers[model->mName].erase(aEndpoint.mName);
    }
  }

  void Restore(const EndpointRow& aEndpoint,
               const std::vector<const catalogue::Model*>& aModels)
  {
    for (const catalogue::Model* model : aModels) {
      mMemory.Add(aEndpoint, *model);
    }
  }

  /// True if the keeper serves and is certain to hold the model for good.
  bool Holds(const ids::EndpointId& aName, const catalogue::Model& aModel) const
  {
    const EndpointRow* endpoint = mView.FindEndpoint(aName);
    return endpoint != nullptr && endpoint->mServing &&
           endpoint->mResident.contains(aModel.mName) &&
           WasKeptBefore(aName, aModel.mName, endpoint->mReportRequestedAt);
  }

  bool WasKeptBefore(const ids::EndpointId& aName,
                     const ids::ModelId& aModel,
                     timing::Instant aInstant) const
  {
#ifdef SAMPHIRESAIL_MUTANT_KEEPER_EVIDENCE
    return true;
#endif
    const auto model = mKeptSince.find(aModel);
    if (model == mKeptSince.end()) {
      return false;
    }
    const auto since = model->second.find(aName);
    return since != model->second.end() && since->second < aInstant;
  }

  /// Returns a keeper that can go without leaving fewer holders than wanted.
  std::optional<ids::EndpointId> Surplus(const catalogue::Model& aModel) const
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
          !Serves(aName),
          !Holds(aName, aModel),
          endpoint == nullptr ? 0 : CountIn(inZone, endpoint->mAvailabilityZone),
          aName);
      });
    [[maybe_unused]] const std::uint32_t others =
      CountIf(aModel, [&](const ids::EndpointId& aName) {
        return aName != *worst && Holds(aName, aModel);
      });
#ifndef SAMPHIRESAIL_MUTANT_KEEPER_TRIM
    if (others < aModel.mKeepers) {
      return std::nullopt;
    }
#endif
    return *worst;
  }

  const PlacementView& mView;
  const KeptSince& mKeptSince;
  KeeperTable mKeepers;
  KeeperMemory mMemory;
};

}

KeeperAssignment KeeperPlanner::Choose(const PlacementView& aView, timing::Instant aNow)
{
  NoteAbsence(aView, aNow);
  NoteKept(aView, aNow);
  Choice choice(aView, mKeptSince);
  const auto serves = [&](const ids::EndpointId& aName) { return choice.Serves(aName); };
  const auto servesSoon = [&](const ids::EndpointId& aName) {
    return choice.Serves(aName) || IsAbsentBriefly(aName, aNow);
  };
  std::uint32_t most = 1;
  for (const catalogue::Model& model : aView.Catalogue().mModels) {
    most = std::max(most, model.mKeepers);
  }
  choice.Fill(1, serves);
  for (std::uint32_t count = 2; count <= most; ++count) {
    choice.Fill(count, servesSoon);
  }
  choice.Trim();

  KeeperAssignment result{ .mKeepers = choice.Keepers() };
  std::erase_if(result.mKeepers, [](const auto& aItem) { return aItem.second.empty(); });
  for (const catalogue::Model& model : aView.Catalogue().mModels) {
    if (choice.CountIf(model, serves) == 0) {
      result.mUnplaced.push_back(model.mName);
    }
  }
  return result;
}

void KeeperPlanner::NoteAbsence(const PlacementView& aView, timing::Instant aNow)
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

void KeeperPlanner::NoteKept(const PlacementView& aView, timing::Instant aNow)
{
  KeptSince kept;
  for (const auto& [model, endpoints] : aView.mKeepers) {
    const auto before = mKeptSince.find(model);
    for (const ids::EndpointId& endpoint : endpoints) {
      timing::Instant& since = kept[model][endpoint];
      since = aNow;
      if (before != mKeptSince.end()) {
        const auto it = before->second.find(endpoint);
        since = it == before->second.end() ? aNow : it->second;
      }
    }
  }
  mKeptSince = std::move(kept);
}

bool KeeperPlanner::IsAbsentBriefly(const ids::EndpointId& aEndpoint,
                                    timing::Instant aNow) const
{
  const auto it = mAbsentSince.find(aEndpoint);
  return it != mAbsentSince.end() && aNow - it->second < kAbsenceGrace;
}

}
