#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_COLDLIMITER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_COLDLIMITER_HPP

#include <unordered_map>
#include <vector>

#include "components/gateway/slidingwindow.hpp"
#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

/// Workload: many requests at once to endpoints in cold start. Each entry uses an equal
/// share of the requests that such an endpoint sustains in any second; if there are more
/// entries than such requests, some of them, other ones for each endpoint, send one a
/// second. So the bound over all entries holds without any message between them.
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

  /// Sets the known entries of the fleet, so that all of them choose the same ones to
  /// send to an endpoint that sustains fewer requests a second than there are entries.
  void SetKnownEntries(ids::ProcessId aOwn, std::vector<ids::ProcessId> aOthers);

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
  /// Number of known entries that are chosen before this one to send to the endpoint.
  std::size_t Rank(const ids::EndpointId& aEndpoint);

  double mFactor{ 1.0 };
  double mSlack{ 0.0 };
  ids::ProcessId mOwn;
  std::vector<ids::ProcessId> mOthers;
  std::unordered_map<ids::EndpointId, std::size_t> mRanks;
  std::unordered_map<ids::EndpointId, SlidingWindow> mSent;
};

}

#endif
