#include "apps/samphiresail/entry/endpointchoice.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <string_view>
#include <thread>

#include "apps/samphiresail/entry/apierror.hpp"
#include "apps/samphiresail/entry/authentication.hpp"
#include "apps/samphiresail/entry/identifiers.hpp"
#include "apps/samphiresail/entry/loadondemand.hpp"
#include "apps/samphiresail/entry/sharedstate.hpp"
#include "components/routing/baselinerouters.hpp"
#include "components/routing/poweroftworouter.hpp"

namespace samphiresail::entry {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{ 25 };
/// Longest wait for a model to be loaded on demand.
constexpr std::chrono::seconds kLoadWait{ 30 };
/// Longest wait for an endpoint to take new work.
constexpr std::chrono::seconds kEndpointWait{ 2 };
/// Bytes of the body that decide which endpoint may have the prompt's prefix cached.
constexpr std::size_t kPrefixBytes = 512;

routing::RouteRequest MakeRouteRequest(const EntryContext& aContext,
                                       const CallerRequest& aRequest,
                                       const std::vector<ids::EndpointId>& aExcluded)
{
  routing::RouteRequest route;
  route.mRequirement = { .mModel = aRequest.mModel,
                         .mPool = aRequest.mPool,
                         .mNearZone = aContext.mSettings.mCommon.mAvailabilityZone,
                         .mExcluded = aExcluded };
  if (aRequest.mKind == RequestKind::Model) {
    const SnapshotPointer snapshot = aContext.mState.Snapshot();
    const catalogue::Model* model = snapshot->FindModel(aRequest.mModel);
    route.mKnee = model == nullptr ? 0 : model->mKnee;
    route.mPrefix = std::hash<std::string_view>{}(
      std::string_view(aRequest.mBody).substr(0, kPrefixBytes));
  }
  return route;
}

routing::RouteResult Route(const EntryContext& aContext,
                           const routing::RouteRequest& aRoute,
                           timing::Instant aNow)
{
  if (aContext.mSettings.mRouter == settings::RouterPolicy::RoundRobin) {
    static routing::RoundRobinRouter roundRobin;
    return roundRobin.Choose(aContext.mEndpoints, aRoute, aNow, ThreadGenerator());
  }
  return routing::PowerOfTwoRouter().Choose(
    aContext.mEndpoints, aRoute, aNow, ThreadGenerator());
}

timing::Duration WaitLimit(routing::NoRouteCause aCause)
{
  return aCause == routing::NoRouteCause::NotResident ? timing::Duration(kLoadWait)
                                                      : timing::Duration(kEndpointWait);
}

[[noreturn]] void FailNoRoute(routing::NoRouteCause aCause)
{
  switch (aCause) {
    case routing::NoRouteCause::NotResident:
      throw ApiError(ApiErrorType::NoEndpoint, "no endpoint holds the model yet")
        .WithRetryAfter(std::chrono::seconds(1));
    case routing::NoRouteCause::Cold:
      throw ApiError(ApiErrorType::Overloaded, "the endpoints are starting")
        .WithRetryAfter(std::chrono::seconds(1));
    case routing::NoRouteCause::Unavailable:
      break;
  }
  throw ApiError(ApiErrorType::NoEndpoint, "no endpoint takes the request now")
    .WithRetryAfter(std::chrono::seconds(1));
}

}

routing::EndpointDescription ChooseEndpoint(EntryContext& aContext,
                                            const CallerRequest& aRequest,
                                            const std::vector<ids::EndpointId>& aExcluded,
                                            timing::Instant aDeadline)
{
  const routing::RouteRequest route = MakeRouteRequest(aContext, aRequest, aExcluded);
  const timing::Instant begin = aContext.mClock.Now();
  while (true) {
    const timing::Instant now = aContext.mClock.Now();
    const routing::RouteResult result = Route(aContext, route, now);
    if (const auto* endpoint = std::get_if<routing::EndpointDescription>(&result)) {
      return *endpoint;
    }
    const auto cause = std::get<routing::NoRouteCause>(result);
    if (now - begin >= WaitLimit(cause) || now >= aDeadline || !aExcluded.empty()) {
      FailNoRoute(cause);
    }
    if (cause == routing::NoRouteCause::NotResident) {
      aContext.mLoads.Request(aRequest.mModel);
    }
    std::this_thread::sleep_for(kRetryInterval);
    CheckDispatch(aContext, aRequest);
  }
}

}
