#ifndef SAMPHIRESAIL_COMPONENTS_ROUTING_ROUTER_HPP
#define SAMPHIRESAIL_COMPONENTS_ROUTING_ROUTER_HPP

#include <concepts>
#include <cstdint>
#include <random>
#include <variant>

#include "components/routing/endpointtable.hpp"

namespace samphiresail::routing {

/// Request as the router sees it.
struct RouteRequest
{
  EndpointRequirement mRequirement;
  /// Requests in flight of the model at one endpoint above which latency rises; 0 for
  /// no bound.
  std::uint32_t mKnee{ 0 };
  /// Hash of the start of the prompt, the same for requests that share a cached prefix;
  /// 0 for none.
  std::uint64_t mPrefix{ 0 };
};

enum class NoRouteCause
{
  /// No endpoint holds the model.
  NotResident,
  /// The endpoints that hold it bear no more in their cold start.
  Cold,
  /// The endpoints that hold it are leaving, down, excluded or out.
  Unavailable,
};

using RouteResult = std::variant<EndpointDescription, NoRouteCause>;

/// Chooses the endpoint for an attempt.
template<typename T>
concept Router = requires(T aRouter,
                          const EndpointTable& aTable,
                          const RouteRequest& aRequest,
                          timing::Instant aNow,
                          std::mt19937_64& aGenerator)
{
  {
    aRouter.Choose(aTable, aRequest, aNow, aGenerator)
    } -> std::same_as<RouteResult>;
};

/// Returns why none of the rows can be chosen.
NoRouteCause ExplainNoRoute(const EndpointTable::View& aView,
                            const EndpointRequirement& aRequirement,
                            timing::Instant aNow);

}

#endif
