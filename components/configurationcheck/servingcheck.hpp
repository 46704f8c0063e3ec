#ifndef SAMPHIRESAIL_COMPONENTS_CONFIGURATIONCHECK_SERVINGCHECK_HPP
#define SAMPHIRESAIL_COMPONENTS_CONFIGURATIONCHECK_SERVINGCHECK_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "components/gateway/servingconfiguration.hpp"
#include "components/gateway/windowedretrybudget.hpp"

namespace samphiresail::configurationcheck {

/// Field of an entry of a serving configuration.
enum class ServingField
{
  RouteHost,
  RoutePathPrefix,
  RouteTimeout,
  RouteTargetLatency,
  RouteLongestPause,
  RouteMaxAttempts,
  RouteServices,
  RouteService,
  RouteWeight,
  ServiceName,
  EngineMemory,
  EngineAdapterSlots,
  ModelName,
  ModelMemory,
  ModelAdapters,
  ModelAdapterMemory,
  AccountName,
  AccountKeys,
  AccountKey,
  AccountRate,
  AccountBurst,
  AccountPlainTokens,
};

/// Place in a serving configuration: a field of an entry in its table, and for a list in
/// the entry the item.
struct ServingPlace
{
  ServingField mField;
  std::size_t mEntry{ 0 };
  std::size_t mItem{ 0 };
};

struct ServingFinding
{
  std::string_view mKind;
  ServingPlace mPlace;
  std::string mText;
  /// Other places on which the finding rests.
  std::vector<ServingPlace> mBasis;
};

/// Returns the entries that can never match or be used, and the contradictory limits, of
/// a configuration that was indexed. The retry budget is judged only if it is known.
/// Takes time in proportion to the number of entries.
std::vector<ServingFinding> CheckServingConfiguration(
  const gateway::ServingConfiguration& aConfiguration,
  const std::optional<gateway::WindowedRetryBudgetLimits>& aBudget);

}

#endif
