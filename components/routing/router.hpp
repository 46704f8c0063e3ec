#ifndef SAMPHIRESAIL_COMPONENTS_ROUTING_ROUTER_HPP
#define SAMPHIRESAIL_COMPONENTS_ROUTING_ROUTER_HPP

#include <concepts>
#include <cstdint>
#include <random>
#include <variant>

#include "components/routing/endpointtable.hpp"

namespace samphiresail::routing {

/// Properties of a request that routers use.
struct RouteRequest
{
  EndpointRequirement mRequirement;
  /// Requests in flight of the model at one endpoint above which token latency rises; 0
  /// for no bound.
  std::uint32_t mKnee{ 0 };
  /// Hash of the start of the prompt, equal for requests that can share a cached prefix;
  /// 0 for none.
  std::uint64_t mPrefix{ 0 };
};

/// Why no endpoint could be chosen.
enum class NoRouteCause
{
  /// The model is resident at no endpoint.
  NotResident,
  /// No endpoint can be chosen, and at least one where the model is resident is in cold
  /// start.
  Cold,
  /// All endpoints where the model is resident are leaving, down, unreachable, excluded
  /// or in a zone that is out.
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

/// Returns why no endpoint satisfies the requirement.
NoRouteCause ExplainNoRoute(const EndpointTable::View& aView,
                            const EndpointRequirement& aRequirement,
                            timing::Instant aNow);

}

#endif
