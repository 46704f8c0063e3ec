#include "apps/samphiresail/entry/placement/placementsystem.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "components/store/storekeys.hpp"

namespace samphiresail::entry {

namespace {

constexpr std::chrono::seconds kPlanInterval{ 1 };
/// A read whose answer got lost in the process is begun anew.
constexpr std::chrono::seconds kReadTimeout{ 5 };

bool IsHeldOrLoading(const placement::PlacementView& aView, const ids::ModelId& aModel)
{
  return std::ranges::any_of(aView.mEndpoints, [&](const auto& aItem) {
    const placement::EndpointRow& row = aItem.second;
    return row.mServing &&
           (row.mResident.contains(aModel) || row.mLoading.contains(aModel));
  });
}

}

PlacementSystem::PlacementSystem(std::string aName)
  : mOrders(std::move(aName))
{
}

void PlacementSystem::Tick(const std::shared_ptr<const ControlSnapshot>& aSnapshot,
                           bool aIsPlanner,
                           timing::Instant aNow)
{
  if (aSnapshot != mSnapshot) {
    mSnapshot = aSnapshot;
    if (mSnapshot) {
      mReports.KeepOnly(mSnapshot->mAgents);
    }
  }
  mOrders.Tick(aNow);
  if (!aIsPlanner || !HasCatalogue()) {
    mHeld.reset();
    return;
  }
  if (mHeld) {
    Plan(aNow);
  }
  const timing::Duration interval = mRead == 0 ? kPlanInterval : kReadTimeout;
  if (!mReadAt || aNow - *mReadAt >= interval) {
    mReadAt = aNow;
    mRead = Call(store::RangeRequest{ .mKey = store::kKeepersKey });
  }
}

void PlacementSystem::OnReport(const wire::LoadReport& aReport,
                               timing::Instant aAskedAt,
                               timing::Instant aNow)
{
  mReports.OnReport(aReport, aAskedAt, aNow);
}

void PlacementSystem::OnStoreReply(std::uint64_t aId, const store::StoreReply& aReply)
{
  if (aId != mRead) {
    return;
  }
  mRead = 0;
  if (aReply.mOutcome != store::StoreOutcome::Answered) {
    return;
  }
  HeldRecord held;
  if (!aReply.mRecords.empty()) {
    const store::KeyValue& record = aReply.mRecords.front();
    auto decoded = placement::DecodeKeepers(record.mValue);
    if (!decoded) {
      mActions.emplace_back(NotePlacement{ "bad-keepers", {}, {} });
      return;
    }
    held = { std::move(*decoded), record.mModRevision };
  }
  mHeld = std::move(held);
}

void PlacementSystem::OnPermit(std::uint64_t aId,
                               const limits::PermitReply& aAnswer,
                               timing::Instant aNow)
{
  const std::optional<placement::LoadOrder> order = mOrders.Find(aId);
  const catalogue::Model* model = nullptr;
  if (order && HasCatalogue()) {
    const auto& models = Catalogue().mModels;
    const auto it = std::ranges::find(models, order->mModel, &catalogue::Model::mName);
    model = it == models.end() ? nullptr : &*it;
  }
  mOrders.OnPermit(aId, aAnswer, model, aNow);
}

void PlacementSystem::OnPlacementReply(const wire::PlacementReply& aReply,
                                       timing::Instant aNow)
{
  mOrders.OnReply(aReply, aNow);
}

void PlacementSystem::OnWanted(const std::vector<ids::ModelId>& aModels,
                               timing::Instant aNow)
{
  if (!HasCatalogue() || aModels.empty()) {
    return;
  }
  const placement::PlacementView view = MakeView(aNow);
  for (const ids::ModelId& name : aModels) {
    const catalogue::Model* model = view.FindModel(name);
    if (model == nullptr || mOrders.Runs(name) || IsHeldOrLoading(view, name)) {
      continue;
    }
    if (const auto order = ChooseOnDemand(view, *model)) {
      StartLoad(*order, aNow);
    }
  }
}

PlacementActions PlacementSystem::Take()
{
  std::ranges::move(mOrders.Take(), std::back_inserter(mActions));
  return std::exchange(mActions, {});
}

placement::PlacementView PlacementSystem::MakeView(timing::Instant aNow) const
{
  placement::PlacementView view;
  view.SetCatalogue(Catalogue());
  mReports.Fill(mSnapshot->mAgents, view, aNow);
  if (const auto record = placement::DecodeKeepers(mSnapshot->mKeepers)) {
    view.mKeepers = record->mKeepers;
  }
  for (const placement::LoadOrder& order : mOrders.Running()) {
    const auto it = view.mEndpoints.find(order.mEndpoint);
    if (it != view.mEndpoints.end() && !it->second.mResident.contains(order.mModel)) {
      it->second.mLoading.insert(order.mModel);
    }
  }
  const std::size_t limit = Catalogue().mWeightStore.mLoadsAtOnce;
  view.mFreeLoads = static_cast<std::uint32_t>(limit - std::min(limit, mOrders.Count()));
  return view;
}

void PlacementSystem::Plan(timing::Instant aNow)
{
  placement::PlacementView view = MakeView(aNow);
  view.mKeepers = mHeld->mRecord.mKeepers;
  placement::PlacementPlan plan = mPlanner.Plan(view, aNow);
  if (plan.mKeepers != view.mKeepers) {
    WriteKeepers(plan.mKeepers);
  }
  mHeld.reset();
  for (const placement::LoadOrder& order : plan.mLoads) {
    StartLoad(order, aNow);
  }
}

void PlacementSystem::WriteKeepers(const placement::KeeperTable& aKeepers)
{
  const placement::KeeperRecord record{ .mVersion =
                                          mHeld->mRecord.mVersion + units::Version(1),
                                        .mKeepers = aKeepers };
  store::TransactionRequest request;
#ifndef SAMPHIRESAIL_MUTANT_KEEPERS_COMPARE
  request.mCompares.push_back({ store::kKeepersKey, mHeld->mModRevision });
#endif
  request.mWrites.emplace_back(
    store::PutOperation{ store::kKeepersKey, placement::EncodeKeepers(record) });
  Call(std::move(request));
  mActions.emplace_back(NotePlacement{
    "write-keepers", {}, "version " + std::to_string(record.mVersion.Count()) });
}

void PlacementSystem::StartLoad(const placement::LoadOrder& aOrder, timing::Instant aNow)
{
  const auto& agents = mSnapshot->mAgents;
  const auto agent = std::ranges::find(agents, aOrder.mEndpoint, &AgentInfo::mEndpoint);
  if (agent != agents.end()) {
    mOrders.Start(aOrder, agent->mAddress, aNow);
  }
}

std::optional<placement::LoadOrder> PlacementSystem::ChooseOnDemand(
  const placement::PlacementView& aView,
  const catalogue::Model& aModel) const
{
  const auto keepers = aView.mKeepers.find(aModel.mName);
  const auto rank = [&](const placement::EndpointRow& aRow) {
    const bool keeps =
      keepers != aView.mKeepers.end() && keepers->second.contains(aRow.mName);
    const bool hasBase = aModel.mBase.Empty() || aRow.mResident.contains(aModel.mBase);
    return std::tuple(!keeps, !hasBase, -mReports.Free(aRow.mName).Count(), aRow.mName);
  };
  const placement::EndpointRow* best = nullptr;
  for (const auto& [name, row] : aView.mEndpoints) {
    if (row.mServing && row.mPool == aModel.mPool && aModel.mMemory <= row.mMemory &&
        !mOrders.FailedRecently({ name, aModel.mName }) &&
        (best == nullptr || rank(row) < rank(*best))) {
      best = &row;
    }
  }
  return best == nullptr
           ? std::nullopt
           : std::optional(placement::LoadOrder{ best->mName, aModel.mName });
}

std::uint64_t PlacementSystem::Call(store::StoreRequest aRequest)
{
  mActions.emplace_back(PlacementStoreCall{ ++mLastCall, std::move(aRequest) });
  return mLastCall;
}

}
