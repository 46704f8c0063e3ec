#include "components/gateway/ordertracker.hpp"

#include <algorithm>
#include <utility>

namespace samphiresail::gateway {

namespace {

/// Pause before an engine that did not answer or that was busy is asked again.
constexpr timing::Duration kRetryPause = std::chrono::milliseconds(700);

/// Pause before an engine that rejected an order, mostly one that restarts, is asked.
constexpr timing::Duration kRejectedPause = std::chrono::milliseconds(200);

bool ConcernsModel(const EngineOrder& aOrder)
{
  return aOrder.mAdapter.empty();
}

/// Applies an order that is surely carried out.
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

}

void OrderTracker::Reset(timing::Instant aLoadsFrom)
{
  mEngines.clear();
  mLoadsFrom = aLoadsFrom;
}

std::size_t OrderTracker::LoadsAllowed(const EngineSpec& aSpec, timing::Instant aNow)
{
  if (aNow < mLoadsFrom) {
    return 0;
  }
  const double seconds = std::chrono::duration<double>(kLoadWindow).count();
  const auto allowed = static_cast<std::size_t>(aSpec.mLoadsPerSecond * seconds);
  const std::size_t used = mLoads.Count(aNow);
  return allowed > used ? allowed - used : 0;
}

EngineView OrderTracker::View(const Endpoint& aEndpoint,
                              const Engine& aEngine,
                              const EndpointDirectory& aDirectory,
                              timing::Instant aNow) const
{
  EngineView view;
  view.mId = aEndpoint.mReport.mId;
  view.mZone = aEndpoint.mReport.mZone;
  view.mModels = aEngine.mKnown ? aEngine.mReport.mModels : aEndpoint.mReport.mModels;
  view.mUsable = aDirectory.IsUsable(aEndpoint, aNow);
  view.mAcceptsAdapterOrder = aEngine.mKnown && !aEngine.mWaiting && !aEngine.mOrder &&
                              (aNow >= aEngine.mNotBefore || aEngine.mUnderWay);
  view.mAcceptsModelOrder =
    view.mAcceptsAdapterOrder && !aEngine.mUnderWay && !aEngine.mReport.mBusy;
  for (const auto& order : { aEngine.mOrder, aEngine.mUnderWay }) {
    if (!order || !ConcernsModel(*order)) {
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

void OrderTracker::SettleByReport(Engine& aEngine, const Endpoint& aEndpoint)
{
  if (!aEngine.mUnderWay || aEndpoint.mReportedAt <= aEngine.mLastOrder) {
    return;
  }
  const EngineOrder& order = *aEngine.mUnderWay;
  const bool holds = aEndpoint.HoldsModel(order.mModel);
  if (holds == (order.mKind == OrderKind::Load)) {
    Apply(aEngine.mReport.mModels, order);
    aEngine.mReport.mBusy = false;
    aEngine.mUnderWay.reset();
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
    SettleByReport(engine, endpoint);
    if (!engine.mWaiting && aNow >= engine.mNotBefore && !endpoint.mReport.mDraining) {
      if (engine.mOrder) {
        engine.mWaiting = true;
        actions.push_back({ id, engine.mOrder, engine.mPrecondition });
      } else if (!engine.mKnown || engine.mUnderWay || engine.mReport.mBusy) {
        engine.mWaiting = true;
        actions.push_back({ id, std::nullopt, 0 });
      }
    }
    views.push_back(View(endpoint, engine, aDirectory, aNow));
  }
  std::erase_if(mEngines,
                [&](const auto& aRow) { return !aDirectory.All().contains(aRow.first); });
  const std::size_t loads = LoadsAllowed(*aService.mEngine, aNow);
  for (PlannedOrder& planned : mPlanner.Plan(*aService.mEngine, views, aDemand, loads)) {
    Engine& engine = mEngines[planned.mEndpoint];
    engine.mCountedAt.reset();
    if (ConcernsModel(planned.mOrder) && planned.mOrder.mKind == OrderKind::Load) {
      mLoads.Add(aNow);
      engine.mCountedAt = aNow;
    }
    engine.mOrder = std::move(planned.mOrder);
    engine.mPrecondition = engine.mReport.mOrdersAccepted;
    engine.mWaiting = true;
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
  engine.mWaiting = false;
  engine.mLastOrder = aNow;
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      engine.mReport.mOrdersAccepted = engine.mPrecondition + 1;
      if (ConcernsModel(*engine.mOrder)) {
        engine.mUnderWay = engine.mOrder;
        engine.mNotBefore = aNow + kReportLag;
      } else {
        Apply(engine.mReport.mModels, *engine.mOrder);
      }
      engine.mOrder.reset();
      break;
    case OrderOutcome::Unknown:
      // Sent again under the same precondition until it is settled.
      engine.mNotBefore = aNow + kRetryPause;
      engine.mCountedAt.reset();
      break;
    case OrderOutcome::AlreadyInState:
      if (!ConcernsModel(*engine.mOrder)) {
        // An adapter that was dropped or there at once; whether it counts shows in the
        // next report.
        Apply(engine.mReport.mModels, *engine.mOrder);
        engine.mReport.mOrdersAccepted = engine.mPrecondition + 1;
        engine.mOrder.reset();
        break;
      }
      [[fallthrough]];
    case OrderOutcome::Conflict:
    case OrderOutcome::Fenced:
    case OrderOutcome::Rejected:
      if (engine.mCountedAt) {
        // No load began; it shall not hold others back.
        mLoads.Remove(*engine.mCountedAt);
      }
      engine.mOrder.reset();
      engine.mKnown = false;
      // An order that was rejected changed nothing that a report could lag behind.
      engine.mNotBefore =
        aNow + (aOutcome == OrderOutcome::Rejected ? kRejectedPause : kReportLag);
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
  engine.mWaiting = false;
  engine.mNotBefore = aNow + kRetryPause;
  if (!aReport) {
    return;
  }
  if (aReport->mOrdersAccepted < engine.mReport.mOrdersAccepted) {
    return;
  }
  engine.mReport = *aReport;
  engine.mKnown = true;
  if (!aReport->mBusy) {
    engine.mUnderWay.reset();
    engine.mNotBefore = aNow;
  }
}

}
