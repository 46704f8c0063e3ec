#ifndef SAMPHIRESAIL_COMPONENTS_ROUTING_BASELINEROUTERS_HPP
#define SAMPHIRESAIL_COMPONENTS_ROUTING_BASELINEROUTERS_HPP

#include <atomic>
#include <cstdint>

#include "components/routing/router.hpp"

namespace samphiresail::routing {

/// Baseline for comparisons: chooses in turn among the endpoints where the model is
/// resident, regardless of load.
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

/// Baseline for comparisons: chooses a random endpoint where the model is resident,
/// regardless of load.
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
