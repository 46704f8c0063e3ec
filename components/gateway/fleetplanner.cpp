#include "components/gateway/fleetplanner.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>

#include "components/random/rendezvous.hpp"

namespace samphiresail::gateway {

namespace {

/// One planning round over the engines of a service.
class Round
{
public:
  Round(const EngineSpec& aSpec,
        const std::vector<EngineView>& aEngines,
        const DemandOf& aDemand,
        std::size_t aLoads)
    : mSpec(aSpec)
    , mEngines(aEngines)
    , mDemand(aDemand)
    , mLoads(aLoads)
  {
    for (const ModelSpec& model : aSpec.mModels) {
      mModels.emplace(model.mName, &model);
      mDemandOf.emplace(model.mName, aDemand(model.mName, {}));
    }
    for (const EngineView& engine : aEngines) {
      CountCopies(engine);
    }
  }

  std::vector<PlannedOrder> Run()
  {
    RestoreMissing();
    FillSpare();
    SwapCopies();
    PlaceAdapters();
    return std::move(mOrders);
  }

private:
  using Engine = EngineView;

  void CountCopies(const Engine& aEngine)
  {
    double used = 0.0;
    for (const auto& [model, adapters] : aEngine.mModels) {
      const ModelSpec* spec = Spec(model);
      used += spec == nullptr ? mSpec.mMemoryMb
                              : spec->mMemoryMb + adapters.size() * spec->mAdapterMb;
      if (aEngine.mUsable && !aEngine.mLeaving.contains(model)) {
        ++mCopies[model];
        mReady[model] += aEngine.mComing.contains(model) ? 0 : 1;
      }
    }
    mUsed[aEngine.mId] = used;
  }

  const ModelSpec* Spec(const ids::ModelId& aModel) const
  {
    const auto it = mModels.find(aModel);
    return it == mModels.end() ? nullptr : it->second;
  }

  double Demand(const ids::ModelId& aModel) const
  {
    const auto it = mDemandOf.find(aModel);
    return it == mDemandOf.end() ? 0.0 : it->second;
  }

  std::size_t Copies(const ids::ModelId& aModel) const
  {
    const auto it = mCopies.find(aModel);
    return it == mCopies.end() ? 0 : it->second;
  }

  /// Copies that serve now; one that is on its way replaces none.
  std::size_t ReadyCopies(const ids::ModelId& aModel) const
  {
    const auto it = mReady.find(aModel);
    return it == mReady.end() ? 0 : it->second;
  }

  bool CanOrder(const Engine& aEngine) const
  {
    return aEngine.mFree && aEngine.mUsable && !mOrdered.contains(aEngine.mId);
  }

  /// Memory that stays free for the adapters that the engine may be asked to hold.
  double AdapterReserve() const
  {
    double largest = 0.0;
    for (const ModelSpec& model : mSpec.mModels) {
      largest = std::max(largest, model.mAdapters > 0 ? model.mAdapterMb : 0.0);
    }
    return largest * mSpec.mAdapterSlots;
  }

  bool Fits(const Engine& aEngine, const ModelSpec& aModel) const
  {
    return mUsed.at(aEngine.mId) + aModel.mMemoryMb + AdapterReserve() <= mSpec.mMemoryMb;
  }

  void Order(const Engine& aEngine, EngineOrder aOrder)
  {
    mOrdered.insert(aEngine.mId);
    mOrders.push_back({ aEngine.mId, std::move(aOrder) });
  }

  void Load(const Engine& aEngine, const ModelSpec& aModel)
  {
    --mLoads;
    ++mCopies[aModel.mName];
    mUsed[aEngine.mId] += aModel.mMemoryMb;
    Order(aEngine, { OrderKind::Load, aModel.mName, {} });
  }

  void Unload(const Engine& aEngine, const ids::ModelId& aModel)
  {
    --mCopies[aModel];
    --mReady[aModel];
    Order(aEngine, { OrderKind::Unload, aModel, {} });
  }

  /// Returns how many copies of the model the zone has.
  std::size_t CopiesInZone(const ids::ModelId& aModel,
                           const ids::AvailabilityZoneId& aZone) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(mEngines, [&](const Engine& aEngine) {
        return aEngine.mUsable && aEngine.mZone == aZone &&
               aEngine.mModels.contains(aModel);
      }));
  }

  /// Returns the demand that the engine's models bring to it.
  double EngineDemand(const Engine& aEngine) const
  {
    double sum = 0.0;
    for (const auto& [model, adapters] : aEngine.mModels) {
      sum += Demand(model) / static_cast<double>(std::max<std::size_t>(1, Copies(model)));
    }
    return sum;
  }

  /// Returns the engine with room for the model in the zone with fewest copies, the least
  /// loaded of those, or null.
  const Engine* Room(const ModelSpec& aModel) const
  {
    const Engine* best = nullptr;
    std::pair<std::size_t, double> bestRank;
    for (const Engine& engine : mEngines) {
      if (!CanOrder(engine) || engine.mModels.contains(aModel.mName) ||
          !Fits(engine, aModel)) {
        continue;
      }
      const std::pair rank(CopiesInZone(aModel.mName, engine.mZone),
                           EngineDemand(engine));
      if (best == nullptr || rank < bestRank) {
        best = &engine;
        bestRank = rank;
      }
    }
    return best;
  }

  /// Returns whether dropping aVictim from the engine makes room for the model.
  bool Exchangeable(const Engine& aEngine,
                    const ids::ModelId& aVictim,
                    const ModelSpec& aModel) const
  {
    const ModelSpec* victim = Spec(aVictim);
    return victim != nullptr && mUsed.at(aEngine.mId) - victim->mMemoryMb +
                                    aModel.mMemoryMb + AdapterReserve() <=
                                  mSpec.mMemoryMb;
  }

  /// Drops the copy that is needed least so that the model can be loaded in its place.
  /// Copies whose model would be left with more than aMost demand by copy stay.
  bool MakeRoom(const ModelSpec& aModel, double aMost)
  {
    const Engine* bestEngine = nullptr;
    ids::ModelId bestVictim;
    std::pair<double, std::size_t> bestRank;
    for (const Engine& engine : mEngines) {
      if (!CanOrder(engine) || engine.mModels.contains(aModel.mName) ||
          !engine.mLeaving.empty()) {
        continue;
      }
      for (const auto& [victim, adapters] : engine.mModels) {
        const std::size_t ready = ReadyCopies(victim);
        if (ready < 2 || engine.mComing.contains(victim) ||
            !Exchangeable(engine, victim, aModel)) {
          continue;
        }
        const double left = Demand(victim) / static_cast<double>(ready - 1);
        const std::pair rank(left, CopiesInZone(aModel.mName, engine.mZone));
        if (left <= aMost && (bestEngine == nullptr || rank < bestRank)) {
          bestEngine = &engine;
          bestVictim = victim;
          bestRank = rank;
        }
      }
    }
    if (bestEngine == nullptr) {
      return false;
    }
    Unload(*bestEngine, bestVictim);
    return true;
  }

  std::size_t SwapsUnderWay() const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      mEngines, [](const Engine& aEngine) { return !aEngine.mLeaving.empty(); }));
  }

  /// Loads models that no engine holds, those in demand first, and makes room for them.
  void RestoreMissing()
  {
    std::vector<const ModelSpec*> missing;
    for (const ModelSpec& model : mSpec.mModels) {
      if (Copies(model.mName) == 0) {
        missing.push_back(&model);
      }
    }
    std::ranges::stable_sort(
      missing, std::ranges::greater{}, [this](const ModelSpec* aModel) {
        return Demand(aModel->mName);
      });
    std::size_t making = SwapsUnderWay();
    for (const ModelSpec* model : missing) {
      if (const Engine* engine = Room(*model)) {
        if (mLoads > 0) {
          Load(*engine, *model);
        }
      } else if (making < missing.size()) {
        const double most = Demand(model->mName) > 0 ? std::numeric_limits<double>::max()
                                                     : FleetPlanner::kSpareable;
        making += MakeRoom(*model, most) ? 1 : 0;
      }
    }
  }

  double Need(const ModelSpec& aModel) const
  {
    return Demand(aModel.mName) / static_cast<double>(Copies(aModel.mName));
  }

  /// Returns the models that have copies by demand for each, the largest first.
  std::vector<const ModelSpec*> ByNeed() const
  {
    std::vector<const ModelSpec*> models;
    for (const ModelSpec& model : mSpec.mModels) {
      if (Copies(model.mName) > 0) {
        models.push_back(&model);
      }
    }
    std::ranges::stable_sort(models,
                             std::ranges::greater{},
                             [this](const ModelSpec* aModel) { return Need(*aModel); });
    return models;
  }

  void FillSpare()
  {
    for (bool placed = true; placed && mLoads > 0;) {
      placed = false;
      for (const ModelSpec* model : ByNeed()) {
        const Engine* engine = Room(*model);
        if (engine != nullptr && Need(*model) >= FleetPlanner::kWorthCopying) {
          Load(*engine, *model);
          placed = true;
          break;
        }
      }
    }
  }

  /// Counts the copies that will be loaded where something is being dropped.
  void CountExpected()
  {
    for (const Engine& engine : mEngines) {
      if (engine.mLeaving.empty() || !engine.mUsable) {
        continue;
      }
      const auto models = ByNeed();
      const auto it = std::ranges::find_if(models, [&](const ModelSpec* aModel) {
        return !engine.mModels.contains(aModel->mName);
      });
      if (it != models.end()) {
        ++mCopies[(*it)->mName];
      }
    }
  }

  void SwapCopies()
  {
    std::size_t swaps = SwapsUnderWay();
    CountExpected();
    for (const ModelSpec* model : ByNeed()) {
      if (swaps >= FleetPlanner::kSwapsAtOnce ||
          Need(*model) < FleetPlanner::kWorthSwapping) {
        return;
      }
      const double after =
        Demand(model->mName) / static_cast<double>(Copies(model->mName) + 1);
      if (MakeRoom(*model, after / FleetPlanner::kSwapFactor)) {
        ++swaps;
        ++mCopies[model->mName];
      }
    }
  }

  /// Spreads the adapters of models in demand over the copies, in two rounds so that
  /// every adapter has one place before any has two.
  void PlaceAdapters()
  {
    std::map<ids::EndpointId, std::set<std::pair<ids::ModelId, std::string>>> wanted;
    struct Adapter
    {
      const ModelSpec* mModel;
      std::string mName;
      double mDemand;
    };
    std::vector<Adapter> adapters;
    for (const ModelSpec& model : mSpec.mModels) {
      if (model.mAdapters == 0 || Demand(model.mName) <= 0) {
        continue;
      }
      for (unsigned i = 1; i <= model.mAdapters; ++i) {
        const std::string name = "a" + std::to_string(i);
        adapters.push_back({ &model, name, mDemand(model.mName, name) });
      }
    }
    std::ranges::stable_sort(adapters, std::ranges::greater{}, &Adapter::mDemand);
    for (int round = 0; round < 2; ++round) {
      for (const Adapter& adapter : adapters) {
        const Engine* best = nullptr;
        std::pair<std::size_t, std::uint64_t> bestRank;
        for (const Engine& engine : mEngines) {
          auto& set = wanted[engine.mId];
          if (!engine.mUsable || !engine.mModels.contains(adapter.mModel->mName) ||
              engine.mComing.contains(adapter.mModel->mName) ||
              engine.mLeaving.contains(adapter.mModel->mName) ||
              set.size() >= mSpec.mAdapterSlots ||
              set.contains({ adapter.mModel->mName, adapter.mName })) {
            continue;
          }
          const bool held =
            engine.mModels.at(adapter.mModel->mName).contains(adapter.mName);
          const std::pair rank(set.size() + (held ? 0 : 2),
                               random::RendezvousWeight(engine.mId.Str(), adapter.mName));
          if (best == nullptr || rank < bestRank) {
            best = &engine;
            bestRank = rank;
          }
        }
        if (best != nullptr) {
          wanted[best->mId].insert({ adapter.mModel->mName, adapter.mName });
        }
      }
    }
    for (const Engine& engine : mEngines) {
      if (engine.mFreeForAdapters && engine.mUsable && !mOrdered.contains(engine.mId)) {
        OrderAdapter(engine, wanted[engine.mId]);
      }
    }
  }

  void OrderAdapter(const Engine& aEngine,
                    const std::set<std::pair<ids::ModelId, std::string>>& aWanted)
  {
    std::size_t held = 0;
    std::optional<EngineOrder> spare;
    for (const auto& [model, adapters] : aEngine.mModels) {
      held += adapters.size();
      for (const std::string& adapter : adapters) {
        if (!aWanted.contains({ model, adapter })) {
          spare = EngineOrder{ OrderKind::Unload, model, adapter };
        }
      }
    }
    const auto missing = std::ranges::find_if(aWanted, [&](const auto& aAdapter) {
      return !aEngine.mModels.at(aAdapter.first).contains(aAdapter.second);
    });
    if (missing == aWanted.end()) {
      return;
    }
    const ModelSpec* spec = Spec(missing->first);
    if (held < mSpec.mAdapterSlots &&
        mUsed.at(aEngine.mId) + spec->mAdapterMb <= mSpec.mMemoryMb) {
      Order(aEngine, { OrderKind::Load, missing->first, missing->second });
    } else if (spare) {
      Order(aEngine, *spare);
    }
  }

  const EngineSpec& mSpec;
  const std::vector<Engine>& mEngines;
  const DemandOf& mDemand;
  std::size_t mLoads;
  std::unordered_map<ids::ModelId, const ModelSpec*> mModels;
  std::unordered_map<ids::ModelId, double> mDemandOf;
  std::unordered_map<ids::ModelId, std::size_t> mCopies;
  std::unordered_map<ids::ModelId, std::size_t> mReady;
  std::map<ids::EndpointId, double> mUsed;
  std::set<ids::EndpointId> mOrdered;
  std::vector<PlannedOrder> mOrders;
};

}

std::vector<PlannedOrder> FleetPlanner::Plan(const EngineSpec& aSpec,
                                             const std::vector<EngineView>& aEngines,
                                             const DemandOf& aDemand,
                                             std::size_t aLoads) const
{
  return Round(aSpec, aEngines, aDemand, aLoads).Run();
}

}
