#include "components/gateway/ordertracker.hpp"

#include <algorithm>
#include <utility>

namespace samphiresail::gateway {

namespace {

/// Delay before the next request to an engine that did not respond or was busy.
constexpr timing::Duration kRetryDelay = std::chrono::milliseconds(700);

/// Delay before a report is requested from an engine that rejected an order; the usual
/// reason is that the engine is restarting.
constexpr timing::Duration kRejectedDelay = std::chrono::milliseconds(200);

bool IsModelOrder(const EngineOrder& aOrder)
{
  return aOrder.mAdapter.empty();
}

/// Applies the effect of an order that is certain to be executed.
void Apply(ResidentModels& aModels, const EngineOrder& aOrder)
{
  if (aOrder.mKind == OrderKind::Load) {
    auto& adapters = aModels[aOrder.mModel];
    if (!aOrder.mAdapter.empty()) {
      adapters.insert(aOrder.mAdapter);
    }
  } else if (aOrder.mAdapter.empty()) {
    aModels.erase(aOrder.mModel);
  } else if (const auto it = aModels.find(aOrder.mModel); it != aModels.end()) {
    it->second.erase(aOrder.mAdapter);
  }
}

/// Removes the adapters that an engine no longer holds.
void RemoveUnloaded(ResidentModels& aUnloading, const ResidentModels& aHeld)
{
  for (auto& [model, adapters] : aUnloading) {
    const auto held = aHeld.find(model);
    std::erase_if(adapters, [&](const std::string& aAdapter) {
      return held == aHeld.end() || !held->second.contains(aAdapter);
    });
  }
  std::erase_if(aUnloading, [](const auto& aRow) { return aRow.second.empty(); });
}

}

void OrderTracker::Reset(timing::Instant aLoadsAllowedFrom)
{
  mEngines.clear();
  mLoadsAllowedFrom = aLoadsAllowedFrom;
}

std::size_t OrderTracker::RemainingLoads(const EngineSpec& aSpec, timing::Instant aNow)
{
  if (aNow < mLoadsAllowedFrom) {
    return 0;
  }
  const double seconds = std::chrono::duration<double>(kLoadWindow).count();
  const auto allowed = static_cast<std::size_t>(aSpec.mLoadsPerSecond * seconds);
  const std::size_t used = mLoadStarts.Count(aNow);
  return allowed > used ? allowed - used : 0;
}

EngineView OrderTracker::MakeView(const Endpoint& aEndpoint,
                                  const Engine& aEngine,
                                  const EndpointDirectory& aDirectory,
                                  timing::Instant aNow) const
{
  EngineView view;
  view.mId = aEndpoint.mReport.mId;
  view.mZone = aEndpoint.mReport.mZone;
  view.mModels = aEngine.mHasReport ? aEngine.mReport.mModels : aEndpoint.mReport.mModels;
  view.mUnloadingAdapters = aEngine.mUnloadingAdapters;
  view.mStoredModels = aEndpoint.mReport.mStoredModels;
  view.mStoredModels.insert(aEngine.mReport.mStoredModels.begin(),
                            aEngine.mReport.mStoredModels.end());
  view.mUsable = aDirectory.IsUsable(aEndpoint, aNow);
  view.mAcceptsAdapterOrder = aEngine.mHasReport && !aEngine.mActionInFlight &&
                              !aEngine.mOrder &&
                              (aNow >= aEngine.mNextActionAt || aEngine.mExecutingOrder);
  view.mAcceptsModelOrder =
    view.mAcceptsAdapterOrder && !aEngine.mExecutingOrder && !aEngine.mReport.mBusy;
  for (const auto& order : { aEngine.mOrder, aEngine.mExecutingOrder }) {
    if (!order || !IsModelOrder(*order)) {
      continue;
    }
    if (order->mKind == OrderKind::Load) {
      view.mLoadingModels.insert(order->mModel);
      view.mModels[order->mModel];
    } else {
      view.mUnloadingModels.insert(order->mModel);
    }
  }
  return view;
}

void OrderTracker::CompleteByReport(Engine& aEngine, const Endpoint& aEndpoint)
{
  if (!aEngine.mExecutingOrder || aEndpoint.mReportedAt <= aEngine.mLastOutcomeAt) {
    return;
  }
  const EngineOrder& order = *aEngine.mExecutingOrder;
  const bool holds = aEndpoint.HoldsModel(order.mModel);
  if (holds == (order.mKind == OrderKind::Load)) {
    Apply(aEngine.mReport.mModels, order);
    aEngine.mReport.mBusy = false;
    aEngine.mExecutingOrder.reset();
  }
}

std::vector<EngineAction> OrderTracker::Tick(const Service& aService,
                                             const EndpointDirectory& aDirectory,
                                             const DemandLookup& aDemand,
                                             timing::Instant aNow)
{
  std::vector<EngineAction> actions;
  std::vector<EngineView> views;
  for (const auto& [id, endpoint] : aDirectory.All()) {
    if (endpoint.mReport.mService != aService.mName || aNow >= endpoint.mUsableUntil) {
      continue;
    }
    Engine& engine = mEngines[id];
    if (engine.mIncarnation != endpoint.mReport.mIncarnation) {
      engine = Engine{};
      engine.mIncarnation = endpoint.mReport.mIncarnation;
    }
    CompleteByReport(engine, endpoint);
    if (!engine.mActionInFlight && aNow >= engine.mNextActionAt &&
        !endpoint.IsLeaving()) {
      if (engine.mOrder) {
        engine.mActionInFlight = true;
        actions.push_back({ id, engine.mOrder, engine.mPrecondition });
      } else if (!engine.mHasReport || engine.mExecutingOrder || engine.mReport.mBusy ||
                 (!engine.mUnloadingAdapters.empty() &&
                  aNow >= engine.mAdapterReportDue)) {
        engine.mActionInFlight = true;
        actions.push_back({ id, std::nullopt, 0 });
      }
    }
    views.push_back(MakeView(endpoint, engine, aDirectory, aNow));
  }
  std::erase_if(mEngines,
                [&](const auto& aRow) { return !aDirectory.All().contains(aRow.first); });
  const std::size_t loads = RemainingLoads(*aService.mEngine, aNow);
  for (PlannedOrder& planned : mPlanner.Plan(*aService.mEngine, views, aDemand, loads)) {
    Engine& engine = mEngines[planned.mEndpoint];
    engine.mLoadCountedAt.reset();
    const Endpoint& endpoint = aDirectory.All().at(planned.mEndpoint);
    if (IsModelOrder(planned.mOrder) && planned.mOrder.mKind == OrderKind::Load &&
        !engine.mReport.mStoredModels.contains(planned.mOrder.mModel) &&
        !endpoint.mReport.mStoredModels.contains(planned.mOrder.mModel)) {
      mLoadStarts.Add(aNow);
      engine.mLoadCountedAt = aNow;
    }
    engine.mOrder = std::move(planned.mOrder);
    engine.mPrecondition = engine.mReport.mOrdersAccepted;
    engine.mActionInFlight = true;
    actions.push_back({ planned.mEndpoint, engine.mOrder, engine.mPrecondition });
  }
  return actions;
}

void OrderTracker::OnOutcome(const ids::EndpointId& aEndpoint,
                             OrderOutcome aOutcome,
                             timing::Instant aNow)
{
  const auto it = mEngines.find(aEndpoint);
  if (it == mEngines.end() || !it->second.mOrder) {
    return;
  }
  Engine& engine = it->second;
  engine.mActionInFlight = false;
  engine.mLastOutcomeAt = aNow;
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      engine.mReport.mOrdersAccepted = engine.mPrecondition + 1;
      if (IsModelOrder(*engine.mOrder)) {
        engine.mExecutingOrder = engine.mOrder;
        engine.mNextActionAt = aNow + kMaxReportLag;
      } else if (engine.mOrder->mKind == OrderKind::Load) {
        Apply(engine.mReport.mModels, *engine.mOrder);
      } else {
        engine.mUnloadingAdapters[engine.mOrder->mModel].insert(engine.mOrder->mAdapter);
        engine.mAdapterReportDue = aNow + kMaxReportLag;
      }
      engine.mOrder.reset();
      break;
    case OrderOutcome::Unknown:
      // Retried under the same precondition until the outcome is known.
      engine.mNextActionAt = aNow + kRetryDelay;
      engine.mLoadCountedAt.reset();
      break;
    case OrderOutcome::AlreadyInState:
      if (!IsModelOrder(*engine.mOrder)) {
        // The adapter already was unloaded or loaded. The next report shows whether the
        // engine counted the order as accepted.
        Apply(engine.mReport.mModels, *engine.mOrder);
        engine.mReport.mOrdersAccepted = engine.mPrecondition + 1;
        engine.mOrder.reset();
        break;
      }
      [[fallthrough]];
    case OrderOutcome::Conflict:
    case OrderOutcome::Fenced:
    case OrderOutcome::Rejected:
      if (engine.mLoadCountedAt) {
        // No load started, so it must not use up the limit on loads.
        mLoadStarts.Remove(*engine.mLoadCountedAt);
      }
      engine.mOrder.reset();
      engine.mHasReport = false;
      // A rejected order changed nothing, so there is no report lag to wait for.
      engine.mNextActionAt =
        aNow + (aOutcome == OrderOutcome::Rejected ? kRejectedDelay : kMaxReportLag);
      break;
  }
}

void OrderTracker::OnReport(const ids::EndpointId& aEndpoint,
                            const std::optional<EngineReport>& aReport,
                            timing::Instant aNow)
{
  const auto it = mEngines.find(aEndpoint);
  if (it == mEngines.end()) {
    return;
  }
  Engine& engine = it->second;
  engine.mActionInFlight = false;
  engine.mNextActionAt = aNow + kRetryDelay;
  if (!aReport) {
    return;
  }
  if (aReport->mOrdersAccepted < engine.mReport.mOrdersAccepted) {
    return;
  }
  engine.mReport = *aReport;
  engine.mHasReport = true;
  engine.mAdapterReportDue = aNow + kRetryDelay;
  RemoveUnloaded(engine.mUnloadingAdapters, aReport->mModels);
  if (!aReport->mBusy) {
    engine.mExecutingOrder.reset();
    engine.mNextActionAt = aNow;
  }
}

}
