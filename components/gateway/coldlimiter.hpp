#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_COLDLIMITER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_COLDLIMITER_HPP

#include <unordered_map>

#include "components/gateway/slidingwindow.hpp"
#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

/// Load answered: requests that rush to endpoints in cold start. Each entry takes an
/// equal share of what such an endpoint bears in any second, so that the bound over all
/// entries holds without any message between them.
class ColdLimiter
{
public:
  /// Part of the tolerated rate that is used; the rest covers requests that bunch up on
  /// their way.
  static constexpr double kUsedFraction = 0.85;

  /// What is tolerated beyond the rate that an endpoint bears: a factor, and requests.
  void SetTolerance(double aFactor, double aSlack)
  {
    mFactor = aFactor;
    mSlack = aSlack;
  }

  /// Returns true if this entry, one of aEntries, may send one more request to a cold
  /// endpoint that bears aPerSecond; 0 stands for no limit.
  bool HasCapacity(const ids::EndpointId& aEndpoint,
                   double aPerSecond,
                   std::size_t aEntries,
                   timing::Instant aNow);
  void Record(const ids::EndpointId& aEndpoint, timing::Instant aNow);
  /// Forgets endpoints without requests in the last second.
  void Tick(timing::Instant aNow);

private:
  double mFactor{ 1.0 };
  double mSlack{ 0.0 };
  std::unordered_map<ids::EndpointId, SlidingWindow> mSent;
};

}

#endif
