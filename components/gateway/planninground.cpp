#include "components/gateway/planninground.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "components/random/rendezvous.hpp"

namespace samphiresail::gateway {

namespace {

/// Demand, in engines, from which an engine gets a replica only if all others are busy
/// too.
constexpr double kBusyEngineDemand = 0.5;
/// Penalty, in engines, of an engine that has to load the model from the weight store.
constexpr double kStoreLoadPenalty = 0.2;

}

PlanningRound::PlanningRound(const EngineSpec& aSpec,
                             const std::vector<EngineView>& aEngines,
                             const DemandLookup& aDemand,
                             std::size_t aMaxLoads)
  : mSpec(aSpec)
  , mDemand(aDemand)
  , mRemainingLoads(aMaxLoads)
{
  for (const EngineView& engine : aEngines) {
    mZoneIndex.try_emplace(engine.mZone, mZoneIndex.size());
  }
  for (const ModelSpec& model : aSpec.mModels) {
    mModelIndex.emplace(model.mName, mModels.size());
    Model& row = mModels.emplace_back();
    row.mSpec = &model;
    row.mDemand = aDemand(model.mName, {});
    row.mReplicasByZone.resize(mZoneIndex.size());
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
  engine.mZone = mZoneIndex.at(aView.mZone);
  for (const auto& [name, adapters] : aView.mModels) {
    const auto it = mModelIndex.find(name);
    if (it == mModelIndex.end()) {
      // A model of an older configuration; its size is unknown, so the engine counts as
      // full.
      engine.mUsedMemoryMb += mSpec.mMemoryMb;
      continue;
    }
    engine.mModels.push_back(it->second);
    Model& model = mModels[it->second];
    engine.mUsedMemoryMb +=
      model.mSpec->mMemoryMb +
      static_cast<double>(adapters.size()) * model.mSpec->mAdapterMb;
    if (!aView.mUsable) {
      continue;
    }
    ++model.mReplicasByZone[engine.mZone];
    if (!aView.mUnloadingModels.contains(name)) {
      ++model.mReplicas;
      if (!aView.mLoadingModels.contains(name)) {
        ++model.mReadyReplicas;
        model.mReadyEngines.push_back(mEngines.size());
      }
    }
  }
  mEngines.push_back(std::move(engine));
}

std::vector<PlannedOrder> PlanningRound::Run()
{
  LoadMissingModels(true);
  ReplicateIntoFreeMemory();
  LoadMissingModels(false);
  EvictForDemand();
  PlaceAdapters();
  return std::move(mOrders);
}

bool PlanningRound::Holds(const Engine& aEngine, const Model& aModel) const
{
  const auto index = static_cast<std::size_t>(&aModel - mModels.data());
  return std::ranges::find(aEngine.mModels, index) != aEngine.mModels.end();
}

bool PlanningRound::CanOrder(const Engine& aEngine)
{
  return aEngine.mView->mAcceptsModelOrder && aEngine.mView->mUsable &&
         !aEngine.mHasOrder;
}

bool PlanningRound::Fits(const Engine& aEngine, const ModelSpec& aModel) const
{
  return aEngine.mUsedMemoryMb + aModel.mMemoryMb + mAdapterReserve <= mSpec.mMemoryMb;
}

void PlanningRound::Order(Engine& aEngine, EngineOrder aOrder)
{
  aEngine.mHasOrder = true;
  mOrders.push_back({ aEngine.mView->mId, std::move(aOrder) });
}

bool PlanningRound::IsStored(const Engine& aEngine, const Model& aModel)
{
  return aEngine.mView->mStoredModels.contains(aModel.mSpec->mName);
}

bool PlanningRound::MayLoad(const Engine& aEngine, const Model& aModel) const
{
  return mRemainingLoads > 0 || IsStored(aEngine, aModel);
}

void PlanningRound::Load(Engine& aEngine, Model& aModel)
{
  if (!IsStored(aEngine, aModel)) {
    --mRemainingLoads;
  }
  ++aModel.mReplicas;
  ++aModel.mReplicasByZone[aEngine.mZone];
  aEngine.mUsedMemoryMb += aModel.mSpec->mMemoryMb;
  Order(aEngine, { OrderKind::Load, aModel.mSpec->mName, {} });
}

void PlanningRound::Unload(Engine& aEngine, Model& aModel)
{
  --aModel.mReplicas;
  --aModel.mReadyReplicas;
  Order(aEngine, { OrderKind::Unload, aModel.mSpec->mName, {} });
}

double PlanningRound::EngineDemand(const Engine& aEngine) const
{
  double sum = 0.0;
  for (const std::size_t index : aEngine.mModels) {
    const Model& model = mModels[index];
    sum += model.mDemand / static_cast<double>(std::max<std::size_t>(1, model.mReplicas));
  }
  return sum;
}

PlanningRound::Engine* PlanningRound::FindFreeEngine(const Model& aModel)
{
  Engine* best = nullptr;
  std::tuple<bool, bool, std::size_t, double> bestRank;
  for (Engine& engine : mEngines) {
    if (!CanOrder(engine) || !Fits(engine, *aModel.mSpec) || Holds(engine, aModel) ||
        !MayLoad(engine, aModel)) {
      continue;
    }
    const double demand = EngineDemand(engine);
    const std::tuple rank(!IsStored(engine, aModel),
                          demand > kBusyEngineDemand,
                          aModel.mReplicasByZone[engine.mZone],
                          demand);
    if (best == nullptr || rank < bestRank) {
      best = &engine;
      bestRank = rank;
    }
  }
  return best;
}

bool PlanningRound::EvictFor(const Model& aModel, double aMaxRemainingDemand)
{
  Engine* bestEngine = nullptr;
  Model* bestVictim = nullptr;
  std::pair<double, std::size_t> bestRank;
  for (Engine& engine : mEngines) {
    if (!CanOrder(engine) || !engine.mView->mUnloadingModels.empty() ||
        Holds(engine, aModel)) {
      continue;
    }
    const double loadPenalty = IsStored(engine, aModel) ? 0.0 : kStoreLoadPenalty;
    for (const std::size_t index : engine.mModels) {
      Model& victim = mModels[index];
      const double freed = engine.mUsedMemoryMb - victim.mSpec->mMemoryMb;
      if (victim.mReadyReplicas < 2 ||
          engine.mView->mLoadingModels.contains(victim.mSpec->mName) ||
          freed + aModel.mSpec->mMemoryMb + mAdapterReserve > mSpec.mMemoryMb) {
        continue;
      }
      const double remaining =
        victim.mDemand / static_cast<double>(victim.mReadyReplicas - 1);
      const std::pair rank(remaining + loadPenalty, aModel.mReplicasByZone[engine.mZone]);
      if (remaining <= aMaxRemainingDemand &&
          (bestEngine == nullptr || rank < bestRank)) {
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

std::size_t PlanningRound::EvictionsInProgress() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mEngines, [](const Engine& aEngine) {
      return !aEngine.mView->mUnloadingModels.empty();
    }));
}

std::size_t PlanningRound::FreePlaces(bool aOnlyBusyEngines) const
{
  double largest = 1.0;
  for (const Model& model : mModels) {
    largest = std::max(largest, model.mSpec->mMemoryMb);
  }
  std::size_t places = 0;
  for (const Engine& engine : mEngines) {
    const double free = mSpec.mMemoryMb - mAdapterReserve - engine.mUsedMemoryMb;
    const bool counts = !aOnlyBusyEngines || !CanOrder(engine);
    if (engine.mView->mUsable && counts && free > 0) {
      places += static_cast<std::size_t>(free / largest);
    }
  }
  return places;
}

std::size_t PlanningRound::MissingModels() const
{
  return static_cast<std::size_t>(
    std::ranges::count(mModels, std::size_t{ 0 }, &Model::mReplicas));
}

void PlanningRound::LoadMissingModels(bool aAskedFor)
{
  std::vector<Model*> missing;
  for (Model& model : mModels) {
    if (model.mReplicas == 0 && (model.mDemand > 0) == aAskedFor) {
      missing.push_back(&model);
    }
  }
  std::ranges::stable_sort(missing, std::ranges::greater{}, &Model::mDemand);
  std::size_t evictions = EvictionsInProgress();
  std::size_t pendingCapacity = FreePlaces(true);
  for (Model* model : missing) {
    if (Engine* engine = FindFreeEngine(*model)) {
      Load(*engine, *model);
    } else {
      EvictForMissing(*model, pendingCapacity, evictions, missing.size());
    }
  }
}

void PlanningRound::EvictForMissing(const Model& aModel,
                                    std::size_t& aPendingCapacity,
                                    std::size_t& aEvictions,
                                    std::size_t aMaxEvictions)
{
  const bool urgent = aModel.mDemand >= FleetPlanner::kMinDemandToEvict;
  if (aPendingCapacity > 0 && !urgent) {
    // Evicting a replica costs its callers more than waiting for a busy engine.
    --aPendingCapacity;
  } else if (aEvictions < aMaxEvictions) {
    const double maxRemaining = aModel.mDemand > 0
                                  ? std::numeric_limits<double>::max()
                                  : FleetPlanner::kMaxDemandAfterIdleEviction;
    aEvictions += EvictFor(aModel, maxRemaining) ? 1 : 0;
  }
}

double PlanningRound::DemandPerReplica(const Model& aModel)
{
  return aModel.mDemand / static_cast<double>(aModel.mReplicas);
}

std::vector<PlanningRound::Model*> PlanningRound::ReplicatedModelsByDemand()
{
  std::vector<Model*> models;
  for (Model& model : mModels) {
    if (model.mReplicas > 0) {
      models.push_back(&model);
    }
  }
  std::ranges::stable_sort(models, std::ranges::greater{}, [](const Model* aModel) {
    return DemandPerReplica(*aModel);
  });
  return models;
}

void PlanningRound::ReplicateIntoFreeMemory()
{
  // Places that a missing model needs are left free; one that was evicted for it would be
  // evicted again.
  for (bool placed = true; placed && FreePlaces(false) > MissingModels();) {
    placed = false;
    for (Model* model : ReplicatedModelsByDemand()) {
      if (DemandPerReplica(*model) < FleetPlanner::kMinDemandToReplicate) {
        break;
      }
      if (Engine* engine = FindFreeEngine(*model)) {
        Load(*engine, *model);
        placed = true;
        break;
      }
    }
  }
}

void PlanningRound::CountExpectedReplicas()
{
  for (const Engine& engine : mEngines) {
    if (engine.mView->mUnloadingModels.empty() || !engine.mView->mUsable) {
      continue;
    }
    const auto models = ReplicatedModelsByDemand();
    const auto it = std::ranges::find_if(
      models, [&](const Model* aModel) { return !Holds(engine, *aModel); });
    if (it != models.end()) {
      ++(*it)->mReplicas;
    }
  }
}

void PlanningRound::EvictForDemand()
{
  const auto byFraction = static_cast<std::size_t>(FleetPlanner::kMaxEvictingFraction *
                                                   static_cast<double>(mEngines.size()));
  const std::size_t maxEvictions = std::max(FleetPlanner::kMinEvictionLimit, byFraction);
  std::size_t evictions = EvictionsInProgress();
  CountExpectedReplicas();
  for (Model* model : ReplicatedModelsByDemand()) {
    if (evictions >= maxEvictions ||
        DemandPerReplica(*model) < FleetPlanner::kMinDemandToEvict) {
      return;
    }
    const double demandAfter = model->mDemand / static_cast<double>(model->mReplicas + 1);
    if (EvictFor(*model, demandAfter / FleetPlanner::kMinEvictionDemandRatio)) {
      ++evictions;
      ++model->mReplicas;
    }
  }
}

std::vector<PlanningRound::Adapter> PlanningRound::AdaptersInDemand() const
{
  std::vector<Adapter> adapters;
  for (std::size_t index = 0; index < mModels.size(); ++index) {
    const Model& model = mModels[index];
    if (model.mDemand <= 0 || model.mReadyEngines.empty()) {
      continue;
    }
    for (unsigned i = 1; i <= model.mSpec->mAdapters; ++i) {
      std::string name = "a" + std::to_string(i);
      const double demand = mDemand(model.mSpec->mName, name);
      adapters.push_back({ index, std::move(name), demand });
    }
  }
  std::ranges::stable_sort(adapters, std::ranges::greater{}, &Adapter::mDemand);
  return adapters;
}

void PlanningRound::AssignAdapter(const Adapter& aAdapter,
                                  AssignedAdapters& aAssigned) const
{
  const Model& model = mModels[aAdapter.mModel];
  std::optional<std::size_t> best;
  std::pair<std::size_t, std::uint64_t> bestRank;
  for (const std::size_t holder : model.mReadyEngines) {
    const auto& assigned = aAssigned[holder];
    if (assigned.size() >= mSpec.mAdapterSlots ||
        std::ranges::find(assigned, &aAdapter) != assigned.end()) {
      continue;
    }
    const EngineView& view = *mEngines[holder].mView;
    const bool held = view.mModels.at(model.mSpec->mName).contains(aAdapter.mName);
    const std::pair rank(assigned.size() + (held ? 0 : 2),
                         random::RendezvousWeight(view.mId.Str(), aAdapter.mName));
    if (!best || rank < bestRank) {
      best = holder;
      bestRank = rank;
    }
  }
  if (best) {
    aAssigned[*best].push_back(&aAdapter);
  }
}

void PlanningRound::PlaceAdapters()
{
  const std::vector<Adapter> adapters = AdaptersInDemand();
  AssignedAdapters assigned(mEngines.size());
  for (int round = 0; round < 2; ++round) {
    for (const Adapter& adapter : adapters) {
      AssignAdapter(adapter, assigned);
    }
  }
  for (std::size_t i = 0; i < mEngines.size(); ++i) {
    Engine& engine = mEngines[i];
    if (engine.mView->mAcceptsAdapterOrder && engine.mView->mUsable &&
        !engine.mHasOrder) {
      OrderAdapter(engine, assigned[i]);
    }
  }
}

void PlanningRound::OrderAdapter(Engine& aEngine,
                                 const std::vector<const Adapter*>& aAssigned)
{
  const auto nameOf = [this](const Adapter* aAdapter) {
    return mModels[aAdapter->mModel].mSpec->mName;
  };
  const auto missing = std::ranges::find_if(aAssigned, [&](const Adapter* aAdapter) {
    return !aEngine.mView->mModels.at(nameOf(aAdapter)).contains(aAdapter->mName);
  });
  if (missing == aAssigned.end()) {
    return;
  }
  std::size_t held = 0;
  std::optional<EngineOrder> spare;
  for (const auto& row : aEngine.mView->mModels) {
    held += row.second.size();
    for (const std::string& adapter : row.second) {
      const bool assigned = std::ranges::any_of(aAssigned, [&](const Adapter* aAdapter) {
        return aAdapter->mName == adapter && nameOf(aAdapter) == row.first;
      });
      const auto& unloading = aEngine.mView->mUnloadingAdapters;
      const auto leaving = unloading.find(row.first);
      if (!assigned &&
          (leaving == unloading.end() || !leaving->second.contains(adapter))) {
        spare = EngineOrder{ OrderKind::Unload, row.first, adapter };
      }
    }
  }
  const ModelSpec& spec = *mModels[(*missing)->mModel].mSpec;
  if (held < mSpec.mAdapterSlots &&
      aEngine.mUsedMemoryMb + spec.mAdapterMb <= mSpec.mMemoryMb) {
    Order(aEngine, { OrderKind::Load, spec.mName, (*missing)->mName });
  } else if (spare) {
    Order(aEngine, *spare);
  }
}

}
