#include "components/gateway/planninground.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "components/random/rendezvous.hpp"

namespace samphiresail::gateway {

PlanningRound::PlanningRound(const EngineSpec& aSpec,
                             const std::vector<EngineView>& aEngines,
                             const DemandLookup& aDemand,
                             std::size_t aLoads)
  : mSpec(aSpec)
  , mDemand(aDemand)
  , mLoads(aLoads)
{
  for (const EngineView& engine : aEngines) {
    mZoneNumber.try_emplace(engine.mZone, mZoneNumber.size());
  }
  for (const ModelSpec& model : aSpec.mModels) {
    mModelNumber.emplace(model.mName, mModels.size());
    Model& row = mModels.emplace_back();
    row.mSpec = &model;
    row.mDemand = aDemand(model.mName, {});
    row.mCopiesByZone.resize(mZoneNumber.size());
    const double adapter = model.mAdapters > 0 ? model.mAdapterMb : 0.0;
    mAdapterReserve = std::max(mAdapterReserve, adapter * aSpec.mAdapterSlots);
  }
  for (const EngineView& engine : aEngines) {
    AddEngine(engine);
  }
}

void PlanningRound::AddEngine(const EngineView& aView)
{
  Engine engine;
  engine.mView = &aView;
  engine.mZone = mZoneNumber.at(aView.mZone);
  for (const auto& [name, adapters] : aView.mModels) {
    const auto it = mModelNumber.find(name);
    if (it == mModelNumber.end()) {
      // A model of an older configuration; its size is not known.
      engine.mUsed += mSpec.mMemoryMb;
      continue;
    }
    engine.mModels.push_back(it->second);
    Model& model = mModels[it->second];
    engine.mUsed += model.mSpec->mMemoryMb +
                    static_cast<double>(adapters.size()) * model.mSpec->mAdapterMb;
    if (!aView.mUsable) {
      continue;
    }
    ++model.mCopiesByZone[engine.mZone];
    if (!aView.mUnloadingModels.contains(name)) {
      ++model.mCopies;
      if (!aView.mLoadingModels.contains(name)) {
        ++model.mReady;
        model.mHolders.push_back(mEngines.size());
      }
    }
  }
  mEngines.push_back(std::move(engine));
}

std::vector<PlannedOrder> PlanningRound::Run()
{
  RestoreMissing();
  FillSpare();
  SwapCopies();
  PlaceAdapters();
  return std::move(mOrders);
}

bool PlanningRound::Holds(const Engine& aEngine, const Model& aModel) const
{
  const auto number = static_cast<std::size_t>(&aModel - mModels.data());
  return std::ranges::find(aEngine.mModels, number) != aEngine.mModels.end();
}

bool PlanningRound::CanOrder(const Engine& aEngine)
{
  return aEngine.mView->mAcceptsModelOrder && aEngine.mView->mUsable && !aEngine.mOrdered;
}

bool PlanningRound::Fits(const Engine& aEngine, const ModelSpec& aModel) const
{
  return aEngine.mUsed + aModel.mMemoryMb + mAdapterReserve <= mSpec.mMemoryMb;
}

void PlanningRound::Order(Engine& aEngine, EngineOrder aOrder)
{
  aEngine.mOrdered = true;
  mOrders.push_back({ aEngine.mView->mId, std::move(aOrder) });
}

void PlanningRound::Load(Engine& aEngine, Model& aModel)
{
  --mLoads;
  ++aModel.mCopies;
  ++aModel.mCopiesByZone[aEngine.mZone];
  aEngine.mUsed += aModel.mSpec->mMemoryMb;
  Order(aEngine, { OrderKind::Load, aModel.mSpec->mName, {} });
}

void PlanningRound::Unload(Engine& aEngine, Model& aModel)
{
  --aModel.mCopies;
  --aModel.mReady;
  Order(aEngine, { OrderKind::Unload, aModel.mSpec->mName, {} });
}

double PlanningRound::EngineDemand(const Engine& aEngine) const
{
  double sum = 0.0;
  for (const std::size_t number : aEngine.mModels) {
    const Model& model = mModels[number];
    sum += model.mDemand / static_cast<double>(std::max<std::size_t>(1, model.mCopies));
  }
  return sum;
}

PlanningRound::Engine* PlanningRound::Room(const Model& aModel)
{
  Engine* best = nullptr;
  std::pair<std::size_t, double> bestRank;
  for (Engine& engine : mEngines) {
    if (!CanOrder(engine) || !Fits(engine, *aModel.mSpec) || Holds(engine, aModel)) {
      continue;
    }
    const std::pair rank(aModel.mCopiesByZone[engine.mZone], EngineDemand(engine));
    if (best == nullptr || rank < bestRank) {
      best = &engine;
      bestRank = rank;
    }
  }
  return best;
}

bool PlanningRound::MakeRoom(const Model& aModel, double aMost)
{
  Engine* bestEngine = nullptr;
  Model* bestVictim = nullptr;
  std::pair<double, std::size_t> bestRank;
  for (Engine& engine : mEngines) {
    if (!CanOrder(engine) || !engine.mView->mUnloadingModels.empty() ||
        Holds(engine, aModel)) {
      continue;
    }
    for (const std::size_t number : engine.mModels) {
      Model& victim = mModels[number];
      const double freed = engine.mUsed - victim.mSpec->mMemoryMb;
      if (victim.mReady < 2 ||
          engine.mView->mLoadingModels.contains(victim.mSpec->mName) ||
          freed + aModel.mSpec->mMemoryMb + mAdapterReserve > mSpec.mMemoryMb) {
        continue;
      }
      const double left = victim.mDemand / static_cast<double>(victim.mReady - 1);
      const std::pair rank(left, aModel.mCopiesByZone[engine.mZone]);
      if (left <= aMost && (bestEngine == nullptr || rank < bestRank)) {
        bestEngine = &engine;
        bestVictim = &victim;
        bestRank = rank;
      }
    }
  }
  if (bestEngine == nullptr) {
    return false;
  }
  Unload(*bestEngine, *bestVictim);
  return true;
}

std::size_t PlanningRound::SwapsUnderWay() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mEngines, [](const Engine& aEngine) {
      return !aEngine.mView->mUnloadingModels.empty();
    }));
}

std::size_t PlanningRound::PlacesSoon() const
{
  double largest = 1.0;
  for (const Model& model : mModels) {
    largest = std::max(largest, model.mSpec->mMemoryMb);
  }
  std::size_t places = 0;
  for (const Engine& engine : mEngines) {
    const double free = mSpec.mMemoryMb - mAdapterReserve - engine.mUsed;
    if (engine.mView->mUsable && !CanOrder(engine) && free > 0) {
      places += static_cast<std::size_t>(free / largest);
    }
  }
  return places;
}

void PlanningRound::RestoreMissing()
{
  std::vector<Model*> missing;
  for (Model& model : mModels) {
    if (model.mCopies == 0) {
      missing.push_back(&model);
    }
  }
  std::ranges::stable_sort(missing, std::ranges::greater{}, &Model::mDemand);
  std::size_t making = SwapsUnderWay();
  std::size_t soon = PlacesSoon();
  for (Model* model : missing) {
    if (Engine* engine = Room(*model)) {
      if (mLoads > 0) {
        Load(*engine, *model);
      }
    } else if (soon > 0) {
      // Taking a copy away would cost its callers more than the wait.
      --soon;
    } else if (making < missing.size()) {
      const double most = model->mDemand > 0 ? std::numeric_limits<double>::max()
                                             : FleetPlanner::kMaxDemandAfterIdleEviction;
      making += MakeRoom(*model, most) ? 1 : 0;
    }
  }
}

double PlanningRound::Need(const Model& aModel)
{
  return aModel.mDemand / static_cast<double>(aModel.mCopies);
}

std::vector<PlanningRound::Model*> PlanningRound::ByNeed()
{
  std::vector<Model*> models;
  for (Model& model : mModels) {
    if (model.mCopies > 0) {
      models.push_back(&model);
    }
  }
  std::ranges::stable_sort(
    models, std::ranges::greater{}, [](const Model* aModel) { return Need(*aModel); });
  return models;
}

void PlanningRound::FillSpare()
{
  for (bool placed = true; placed && mLoads > 0;) {
    placed = false;
    for (Model* model : ByNeed()) {
      if (Need(*model) < FleetPlanner::kMinDemandToReplicate) {
        break;
      }
      if (Engine* engine = Room(*model)) {
        Load(*engine, *model);
        placed = true;
        break;
      }
    }
  }
}

void PlanningRound::CountExpected()
{
  for (const Engine& engine : mEngines) {
    if (engine.mView->mUnloadingModels.empty() || !engine.mView->mUsable) {
      continue;
    }
    const auto models = ByNeed();
    const auto it = std::ranges::find_if(
      models, [&](const Model* aModel) { return !Holds(engine, *aModel); });
    if (it != models.end()) {
      ++(*it)->mCopies;
    }
  }
}

void PlanningRound::SwapCopies()
{
  const auto part = static_cast<std::size_t>(FleetPlanner::kMaxEvictingFraction *
                                             static_cast<double>(mEngines.size()));
  const std::size_t most = std::max(FleetPlanner::kMinEvictionLimit, part);
  std::size_t swaps = SwapsUnderWay();
  CountExpected();
  for (Model* model : ByNeed()) {
    if (swaps >= most || Need(*model) < FleetPlanner::kMinDemandToEvict) {
      return;
    }
    const double after = model->mDemand / static_cast<double>(model->mCopies + 1);
    if (MakeRoom(*model, after / FleetPlanner::kMinEvictionDemandRatio)) {
      ++swaps;
      ++model->mCopies;
    }
  }
}

std::vector<PlanningRound::Adapter> PlanningRound::AdaptersInDemand() const
{
  std::vector<Adapter> adapters;
  for (std::size_t number = 0; number < mModels.size(); ++number) {
    const Model& model = mModels[number];
    if (model.mDemand <= 0 || model.mHolders.empty()) {
      continue;
    }
    for (unsigned i = 1; i <= model.mSpec->mAdapters; ++i) {
      std::string name = "a" + std::to_string(i);
      const double demand = mDemand(model.mSpec->mName, name);
      adapters.push_back({ number, std::move(name), demand });
    }
  }
  std::ranges::stable_sort(adapters, std::ranges::greater{}, &Adapter::mDemand);
  return adapters;
}

void PlanningRound::Want(const Adapter& aAdapter, WantedAdapters& aWanted) const
{
  const Model& model = mModels[aAdapter.mModel];
  std::optional<std::size_t> best;
  std::pair<std::size_t, std::uint64_t> bestRank;
  for (const std::size_t holder : model.mHolders) {
    const auto& wanted = aWanted[holder];
    if (wanted.size() >= mSpec.mAdapterSlots ||
        std::ranges::find(wanted, &aAdapter) != wanted.end()) {
      continue;
    }
    const EngineView& view = *mEngines[holder].mView;
    const bool held = view.mModels.at(model.mSpec->mName).contains(aAdapter.mName);
    const std::pair rank(wanted.size() + (held ? 0 : 2),
                         random::RendezvousWeight(view.mId.Str(), aAdapter.mName));
    if (!best || rank < bestRank) {
      best = holder;
      bestRank = rank;
    }
  }
  if (best) {
    aWanted[*best].push_back(&aAdapter);
  }
}

void PlanningRound::PlaceAdapters()
{
  const std::vector<Adapter> adapters = AdaptersInDemand();
  WantedAdapters wanted(mEngines.size());
  for (int round = 0; round < 2; ++round) {
    for (const Adapter& adapter : adapters) {
      Want(adapter, wanted);
    }
  }
  for (std::size_t i = 0; i < mEngines.size(); ++i) {
    Engine& engine = mEngines[i];
    if (engine.mView->mAcceptsAdapterOrder && engine.mView->mUsable && !engine.mOrdered) {
      OrderAdapter(engine, wanted[i]);
    }
  }
}

void PlanningRound::OrderAdapter(Engine& aEngine,
                                 const std::vector<const Adapter*>& aWanted)
{
  const auto nameOf = [this](const Adapter* aAdapter) {
    return mModels[aAdapter->mModel].mSpec->mName;
  };
  const auto missing = std::ranges::find_if(aWanted, [&](const Adapter* aAdapter) {
    return !aEngine.mView->mModels.at(nameOf(aAdapter)).contains(aAdapter->mName);
  });
  if (missing == aWanted.end()) {
    return;
  }
  std::size_t held = 0;
  std::optional<EngineOrder> spare;
  for (const auto& row : aEngine.mView->mModels) {
    held += row.second.size();
    for (const std::string& adapter : row.second) {
      const bool wanted = std::ranges::any_of(aWanted, [&](const Adapter* aAdapter) {
        return aAdapter->mName == adapter && nameOf(aAdapter) == row.first;
      });
      if (!wanted) {
        spare = EngineOrder{ OrderKind::Unload, row.first, adapter };
      }
    }
  }
  const ModelSpec& spec = *mModels[(*missing)->mModel].mSpec;
  if (held < mSpec.mAdapterSlots && aEngine.mUsed + spec.mAdapterMb <= mSpec.mMemoryMb) {
    Order(aEngine, { OrderKind::Load, spec.mName, (*missing)->mName });
  } else if (spare) {
    Order(aEngine, *spare);
  }
}

}
