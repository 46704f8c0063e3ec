#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_COLDLIMITER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_COLDLIMITER_HPP

#include <unordered_map>

#include "components/gateway/slidingwindow.hpp"
#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

/// Workload: many requests at once to endpoints in cold start. Each entry uses an equal
/// share of the requests that such an endpoint sustains in any second, so that the bound
/// over all entries holds without any message between them.
class ColdLimiter
{
public:
  /// Fraction of the tolerated rate that is used; the rest covers requests that arrive
  /// closer together than they were sent.
  static constexpr double kUsedFraction = 0.85;

  /// Sets the tolerance beyond the rate that an endpoint sustains: a factor on the rate,
  /// and a number of requests.
  void SetTolerance(double aFactor, double aSlack)
  {
    mFactor = aFactor;
    mSlack = aSlack;
  }

  /// Returns true if this entry, one of aEntries, may send one more request to a cold
  /// endpoint that sustains aPerSecond; 0 means no limit.
  bool HasCapacity(const ids::EndpointId& aEndpoint,
                   double aPerSecond,
                   std::size_t aEntries,
                   timing::Instant aNow);
  void Record(const ids::EndpointId& aEndpoint, timing::Instant aNow);
  /// Erases endpoints without requests in the last second.
  void Tick(timing::Instant aNow);

private:
  double mFactor{ 1.0 };
  double mSlack{ 0.0 };
  std::unordered_map<ids::EndpointId, SlidingWindow> mSent;
};

}

#endif
