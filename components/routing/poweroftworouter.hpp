#ifndef SAMPHIRESAIL_COMPONENTS_ROUTING_POWEROFTWOROUTER_HPP
#define SAMPHIRESAIL_COMPONENTS_ROUTING_POWEROFTWOROUTER_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "components/routing/router.hpp"

namespace samphiresail::routing {

/// Thresholds for choosing another endpoint than the less occupied one.
struct PowerOfTwoOptions
{
  /// The endpoint with the cached prefix is chosen while its occupancy exceeds that of
  /// the better of the two drawn by at most this much.
  double mAffinitySlack{ 0.25 };
  /// Occupancy above which prefix affinity is ignored.
  double mMaxAffinityOccupancy{ 1.0 };
  /// Difference in occupancy below which an endpoint in the near zone is preferred.
  double mNearZoneSlack{ 0.125 };
};

/// Power of two choices: draws two endpoints at random among those where the model is
/// resident and chooses the less occupied one. Prefers an endpoint where the adapter is
/// below its knee, one in the near zone at about equal load, and the endpoint that has
/// the prefix cached while its load allows.
class PowerOfTwoRouter
{
public:
  explicit PowerOfTwoRouter(const PowerOfTwoOptions& aOptions = {});

  RouteResult Choose(const EndpointTable& aTable,
                     const RouteRequest& aRequest,
                     timing::Instant aNow,
                     std::mt19937_64& aGenerator) const;

private:
  std::optional<Candidate> DrawCandidate(const EndpointTable::View& aView,
                                         const std::vector<std::uint32_t>& aRows,
                                         const RouteRequest& aRequest,
                                         timing::Instant aNow,
                                         std::uint64_t aStartIndex,
                                         std::optional<std::uint32_t> aExcludedRow) const;
  bool IsBetter(const Candidate& aLeft,
                const Candidate& aRight,
                const RouteRequest& aRequest) const;
  std::optional<Candidate> PrefixCandidate(const EndpointTable::View& aView,
                                           const std::vector<std::uint32_t>& aRows,
                                           const RouteRequest& aRequest,
                                           timing::Instant aNow) const;

  PowerOfTwoOptions mOptions;
};

}

#endif
