#ifndef SAMPHIRESAIL_APPS_LOAD_TRIALS_ROUTETRIAL_HPP
#define SAMPHIRESAIL_APPS_LOAD_TRIALS_ROUTETRIAL_HPP

#include <cstddef>
#include <cstdint>

namespace samphiresail::load {

enum class RoutePolicy
{
  PowerOfTwo,
  RoundRobin,
  Random,
};

struct RouteTrialOptions
{
  std::uint64_t mSeed{ 1 };
  RoutePolicy mPolicy{ RoutePolicy::PowerOfTwo };
  std::size_t mEntries{ 3 };
  std::size_t mEndpoints{ 10 };
  /// Offered work over the capacity of all endpoints.
  double mLoad{ 0.8 };
  /// Endpoints that serve at half the speed.
  std::size_t mSlow{ 1 };
  /// Prefixes that the prompts share; 0 for none.
  std::size_t mPrefixes{ 0 };
  int mSeconds{ 120 };
};

struct RouteTrialResult
{
  std::size_t mRequests{ 0 };
  double mMedianWaitMs{ 0.0 };
  double mP99WaitMs{ 0.0 };
  /// Share of the requests that waited at most 300 ms for a slot.
  double mInTime{ 0.0 };
  /// Share of the requests whose prefix the endpoint still had.
  double mPrefixHits{ 0.0 };
};

/// Runs the routers of several entries before endpoints whose loads they learn from
/// answers only, 1.5 ms old.
RouteTrialResult RunRouteTrial(const RouteTrialOptions& aOptions);

}

#endif
