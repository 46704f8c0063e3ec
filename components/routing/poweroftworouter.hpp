#ifndef SAMPHIRESAIL_COMPONENTS_ROUTING_POWEROFTWOROUTER_HPP
#define SAMPHIRESAIL_COMPONENTS_ROUTING_POWEROFTWOROUTER_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "components/routing/router.hpp"

namespace samphiresail::routing {

struct PowerOfTwoOptions
{
  /// Occupancy above that of the better of two choices up to which the endpoint with the
  /// cached prefix is taken.
  double mAffinitySlack{ 0.25 };
  /// Occupancy above which prefix affinity counts no more.
  double mAffinityLimit{ 1.0 };
  /// Difference of occupancy below which the nearer endpoint is taken.
  double mNearSlack{ 0.125 };
};

/// Takes the less occupied of two endpoints drawn at random among those that hold the
/// model. Prefers the endpoint that has the prefix cached while its load allows, one
/// where the adapter is below its knee, and the nearer one when the load is about equal.
class PowerOfTwoRouter
{
public:
  explicit PowerOfTwoRouter(const PowerOfTwoOptions& aOptions = {});

  RouteResult Choose(const EndpointTable& aTable,
                     const RouteRequest& aRequest,
                     timing::Instant aNow,
                     std::mt19937_64& aGenerator) const;

private:
  std::optional<Candidate> Draw(const EndpointTable::View& aView,
                                const std::vector<std::uint32_t>& aRows,
                                const RouteRequest& aRequest,
                                timing::Instant aNow,
                                std::uint64_t aStart,
                                std::optional<std::uint32_t> aTaken) const;
  bool Better(const Candidate& aLeft,
              const Candidate& aRight,
              const RouteRequest& aRequest) const;
  std::optional<Candidate> WithPrefix(const EndpointTable::View& aView,
                                      const std::vector<std::uint32_t>& aRows,
                                      const RouteRequest& aRequest,
                                      timing::Instant aNow) const;

  PowerOfTwoOptions mOptions;
};

}

#endif
