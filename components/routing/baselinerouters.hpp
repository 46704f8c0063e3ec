#ifndef SAMPHIRESAIL_COMPONENTS_ROUTING_BASELINEROUTERS_HPP
#define SAMPHIRESAIL_COMPONENTS_ROUTING_BASELINEROUTERS_HPP

#include <atomic>
#include <cstdint>

#include "components/routing/router.hpp"

namespace samphiresail::routing {

/// Baseline: takes the endpoints that hold the model in turn, blind to their load.
class RoundRobinRouter
{
public:
  RouteResult Choose(const EndpointTable& aTable,
                     const RouteRequest& aRequest,
                     timing::Instant aNow,
                     std::mt19937_64& aGenerator);

private:
  std::atomic<std::uint32_t> mNext{ 0 };
};

/// Baseline: takes any endpoint that holds the model, blind to its load.
class RandomRouter
{
public:
  RouteResult Choose(const EndpointTable& aTable,
                     const RouteRequest& aRequest,
                     timing::Instant aNow,
                     std::mt19937_64& aGenerator);
};

}

#endif
