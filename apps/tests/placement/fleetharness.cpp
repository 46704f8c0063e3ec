#include "apps/tests/placement/fleetharness.hpp"

#include <algorithm>
#include <numeric>

#include "apps/tests/placement/placementfixture.hpp"

namespace samphiresail::tests {

namespace {

constexpr std::int64_t kMemory = 100;
constexpr int kLoadSteps = 2;
constexpr std::uint32_t kFreeLoads = 3;

timing::Instant InstantOf(int aStep)
{
  return timing::Instant(std::chrono::hours(1) + std::chrono::seconds(aStep));
}

}

FleetHarness::FleetHarness(std::uint32_t aSeed)
  : mRandom(aSeed)
{
  AddZones(mCatalogue, 3);
  placement::PlacementView view;
  for (int i = 0; i < 9; ++i) {
    const std::string name = "e" + std::to_string(i);
    FakeEndpoint& endpoint = mEndpoints[ids::EndpointId(name)];
    endpoint.mRow = AddEndpoint(view, name, "z" + std::to_string(i % 3 + 1), kMemory);
  }
  for (int i = 0; i < 8; ++i) {
    AddModel(mCatalogue, "m" + std::to_string(i), 30 + 10 * (i % 4), 1 + i % 3);
  }
  for (int i = 0; i < 8; ++i) {
    const std::string base = "m" + std::to_string(i % 3);
    AddModel(mCatalogue, "a" + std::to_string(i), 3, 1 + i % 2, base);
  }
  mOldView = MakeView();
}

void FleetHarness::RunWithFaults(int aSteps)
{
  for (int i = 0; i < aSteps; ++i) {
    InjectFaults();
    Step();
  }
}

void FleetHarness::Recover(int aSteps)
{
  mFaults = false;
  mStoreDown = false;
  mZonesOut.clear();
  for (auto& [name, endpoint] : mEndpoints) {
    endpoint.mAlive = true;
  }
  for (int i = 0; i < aSteps; ++i) {
    Step();
  }
}

void FleetHarness::InjectFaults()
{
  for (auto& [name, endpoint] : mEndpoints) {
    if (endpoint.mAlive && Chance(2)) {
      endpoint.mAlive = false;
      ObserveFailure(endpoint);
      if (Chance(50)) {
        endpoint.mRow.mResident.clear();
        endpoint.mLoadDoneAt.clear();
      }
    } else if (!endpoint.mAlive && Chance(20)) {
      endpoint.mAlive = true;
    }
  }
  for (const catalogue::AvailabilityZone& zone : mCatalogue.mAvailabilityZones) {
    if (mZonesOut.contains(zone.mName)) {
      if (Chance(10)) {
        mZonesOut.erase(zone.mName);
      }
    } else if (mZonesOut.empty() && Chance(2)) {
      mZonesOut.insert(zone.mName);
    }
  }
  mStoreDown = mStoreDown ? !Chance(20) : Chance(4);
  ChangeUnplannedReplicas();
}

void FleetHarness::ChangeUnplannedReplicas()
{
  for (auto& [name, endpoint] : mEndpoints) {
    const ids::ModelId model =
      mCatalogue.mModels[mRandom() % mCatalogue.mModels.size()].mName;
    if (Chance(20)) {
      StartLoad({ name, model });
    } else if (Chance(50) && endpoint.mAlive && !mStoreDown &&
               endpoint.mRow.mResident.contains(model) && MayEvict(endpoint, model)) {
      Evict(endpoint, model);
    }
  }
}

void FleetHarness::Step()
{
  ++mStep;
  FinishLoads();
  // While the first planner is paused, only the second one plans, from a stale view.
  if (!mFaults || Chance(40)) {
    RunPlanner(mFirst, false);
  }
  RunPlanner(mSecond, mFaults);
  if (!mFaults || Chance(30)) {
    mOldView = MakeView();
    mOldRevision = mStore.mRevision;
    mOldStep = mStep;
  }
  const auto& models = mCatalogue.mModels;
  Request(models[mRandom() % models.size()].mName);
  CheckInvariants();
}

void FleetHarness::FinishLoads()
{
  for (auto& [name, endpoint] : mEndpoints) {
    for (const auto& [model, doneAt] : endpoint.mLoadDoneAt) {
      if (doneAt <= mStep) {
        endpoint.mRow.mResident.insert(model);
        endpoint.mLastUsed[model] = mStep;
      }
    }
    std::erase_if(endpoint.mLoadDoneAt,
                  [&](const auto& aItem) { return aItem.second <= mStep; });
  }
}

placement::PlacementView FleetHarness::MakeView() const
{
  placement::PlacementView view;
  view.SetCatalogue(mCatalogue);
  view.mKeepers = mStore.mKeepers;
  view.mFreeLoads = kFreeLoads;
  for (const auto& [name, endpoint] : mEndpoints) {
    if (endpoint.mAlive) {
      placement::EndpointRow row = endpoint.mRow;
      row.mReportRequestedAt = InstantOf(mStep);
      row.mServing = !mZonesOut.contains(row.mAvailabilityZone);
      for (const auto& [model, doneAt] : endpoint.mLoadDoneAt) {
        row.mLoading.insert(model);
      }
      view.mEndpoints.emplace(name, std::move(row));
    }
  }
  return view;
}

void FleetHarness::RunPlanner(placement::DemandPlanner& aPlanner, bool aOldView)
{
  const placement::PlacementView view = aOldView ? mOldView : MakeView();
  const int revision = aOldView ? mOldRevision : mStore.mRevision;
  const placement::PlacementPlan plan = aPlanner.Plan(view, InstantOf(mStep));
  if (!mStoreDown && revision == mStore.mRevision && plan.mKeepers != view.mKeepers) {
    ObserveKeeperWrite(plan.mKeepers, aOldView ? mOldStep : mStep);
    mStore.mKeepers = plan.mKeepers;
    ++mStore.mRevision;
  }
  for (const placement::LoadOrder& order : plan.mLoads) {
    if (!mFaults || !Chance(20)) {
      StartLoad(order);
    }
  }
}

bool FleetHarness::HasLiveKeeper(const ids::ModelId& aModel,
                                 const FakeEndpoint* aExcept) const
{
  const auto it = mStore.mKeepers.find(aModel);
  return it != mStore.mKeepers.end() &&
         std::ranges::any_of(it->second, [&](const ids::EndpointId& aName) {
           const FakeEndpoint& keeper = mEndpoints.at(aName);
           return &keeper != aExcept && keeper.mAlive &&
                  keeper.mRow.mResident.contains(aModel);
         });
}

void FleetHarness::ObserveKeeperWrite(const placement::KeeperTable& aKeepers,
                                      int aViewStep)
{
  for (const auto& [model, endpoints] : mStore.mKeepers) {
    const auto planned = aKeepers.find(model);
    const bool removesKeeper =
      planned == aKeepers.end() || !std::ranges::includes(planned->second, endpoints);
    const auto failure = mLastFailureStep.find(model);
    if (removesKeeper && failure != mLastFailureStep.end() &&
        failure->second > aViewStep) {
      mProtected.erase(model);
    }
  }
}

void FleetHarness::ObserveFailure(const FakeEndpoint& aEndpoint)
{
  for (const ids::ModelId& model : aEndpoint.mRow.mResident) {
    mLastFailureStep[model] = mStep + 1;
  }
  std::erase_if(mProtected, [&](const ids::ModelId& aModel) {
    return aEndpoint.mRow.mResident.contains(aModel) &&
           !HasLiveKeeper(aModel, &aEndpoint);
  });
}

void FleetHarness::StartLoad(const placement::LoadOrder& aOrder)
{
  StartLoadAt(mEndpoints.at(aOrder.mEndpoint), ModelOf(aOrder.mModel));
}

bool FleetHarness::StartLoadAt(FakeEndpoint& aEndpoint, const catalogue::Model& aModel)
{
  const placement::EndpointRow& row = aEndpoint.mRow;
  const bool hasBase = aModel.mBase.Empty() || row.mResident.contains(aModel.mBase);
  if (mStoreDown || !aEndpoint.mAlive || !hasBase ||
      row.mResident.contains(aModel.mName) ||
      aEndpoint.mLoadDoneAt.contains(aModel.mName) || !FreeMemoryFor(aEndpoint, aModel)) {
    return false;
  }
  aEndpoint.mLoadDoneAt[aModel.mName] = mStep + kLoadSteps;
  ++mLoads;
  return true;
}

bool FleetHarness::FreeMemoryFor(FakeEndpoint& aEndpoint, const catalogue::Model& aModel)
{
  while (Occupied(aEndpoint) + aModel.mMemory > aEndpoint.mRow.mMemory) {
    const ids::ModelId* victim = nullptr;
    for (const ids::ModelId& model : aEndpoint.mRow.mResident) {
      if (model != aModel.mBase && MayEvict(aEndpoint, model) &&
          (victim == nullptr ||
           aEndpoint.mLastUsed[model] < aEndpoint.mLastUsed[*victim])) {
        victim = &model;
      }
    }
    if (victim == nullptr) {
      return false;
    }
    Evict(aEndpoint, ids::ModelId(*victim));
  }
  return true;
}

bool FleetHarness::MayEvict(const FakeEndpoint& aEndpoint,
                            const ids::ModelId& aModel) const
{
  const auto keeps = [&](const ids::ModelId& aName) {
    const auto it = mStore.mKeepers.find(aName);
    return it != mStore.mKeepers.end() && it->second.contains(aEndpoint.mRow.mName);
  };
  const auto needsIt = [&](const ids::ModelId& aName) {
    return ModelOf(aName).mBase == aModel;
  };
  return !keeps(aModel) && std::ranges::none_of(aEndpoint.mRow.mResident, needsIt) &&
         std::ranges::none_of(aEndpoint.mLoadDoneAt,
                              [&](const auto& aItem) { return needsIt(aItem.first); });
}

void FleetHarness::Evict(FakeEndpoint& aEndpoint, const ids::ModelId& aModel)
{
  const bool otherHolds = std::ranges::any_of(mEndpoints, [&](const auto& aItem) {
    const FakeEndpoint& other = aItem.second;
    return &other != &aEndpoint && other.mAlive && other.mRow.mResident.contains(aModel);
  });
  if (!otherHolds && mProtected.contains(aModel)) {
    mViolations.push_back("last replica of " + aModel.Str() + " evicted");
  }
  aEndpoint.mRow.mResident.erase(aModel);
}

units::Bytes FleetHarness::Occupied(const FakeEndpoint& aEndpoint) const
{
  units::Bytes sum;
  for (const ids::ModelId& model : aEndpoint.mRow.mResident) {
    sum += ModelOf(model).mMemory;
  }
  for (const auto& [model, doneAt] : aEndpoint.mLoadDoneAt) {
    sum += ModelOf(model).mMemory;
  }
  return sum;
}

const catalogue::Model& FleetHarness::ModelOf(const ids::ModelId& aName) const
{
  return *std::ranges::find(mCatalogue.mModels, aName, &catalogue::Model::mName);
}

bool FleetHarness::Request(const ids::ModelId& aModel)
{
  const catalogue::Model& model = ModelOf(aModel);
  for (auto& [name, endpoint] : mEndpoints) {
    if (endpoint.mAlive && endpoint.mRow.mResident.contains(aModel)) {
      endpoint.mLastUsed[aModel] = mStep;
      return true;
    }
  }
  const auto begin = [&](auto& aItem) {
    FakeEndpoint& endpoint = aItem.second;
    const bool needsBase =
      !model.mBase.Empty() && !endpoint.mRow.mResident.contains(model.mBase);
    return StartLoadAt(endpoint, needsBase ? ModelOf(model.mBase) : model);
  };
  return std::ranges::any_of(mEndpoints, begin);
}

std::vector<ids::ModelId> FleetHarness::Unreachable() const
{
  std::vector<ids::ModelId> missing;
  for (const catalogue::Model& model : mCatalogue.mModels) {
    const bool held = std::ranges::any_of(mEndpoints, [&](const auto& aItem) {
      const FakeEndpoint& endpoint = aItem.second;
      return endpoint.mAlive && !mZonesOut.contains(endpoint.mRow.mAvailabilityZone) &&
             endpoint.mRow.mResident.contains(model.mName);
    });
    if (!held) {
      missing.push_back(model.mName);
    }
  }
  return missing;
}

void FleetHarness::CheckInvariants()
{
  for (const catalogue::Model& model : mCatalogue.mModels) {
    if (HasLiveKeeper(model.mName, nullptr)) {
      mProtected.insert(model.mName);
    }
  }
  for (const auto& [name, endpoint] : mEndpoints) {
    if (Occupied(endpoint) > endpoint.mRow.mMemory) {
      mViolations.push_back("memory of " + name.Str() + " overcommitted");
    }
  }
}

bool FleetHarness::Chance(int aPercent)
{
  return static_cast<int>(mRandom() % 100) < aPercent;
}

}
