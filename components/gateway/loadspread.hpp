#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_LOADSPREAD_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_LOADSPREAD_HPP

#include <cstddef>
#include <vector>

namespace samphiresail::gateway {

/// An endpoint that a request may be sent to.
struct SpreadCandidate
{
  /// Known requests per slot, including penalties.
  double mLoad{ 0.0 };
  double mSlots{ 1.0 };
};

/// Workload: many entries that choose by the same view of the endpoints' load, which is
/// some hundred milliseconds old. If each chose the least loaded endpoint, all would send
/// to it until the next update. Instead, the requests that are expected before the next
/// update are distributed so that they bring the endpoints to one load level, and each
/// request chooses an endpoint with a probability proportional to the number of these
/// requests that the endpoint gets.
///
/// aUnreported is the number of these requests; with 0 the least loaded endpoint is
/// chosen. aDraw is uniform in [0, 1). Returns an index into aCandidates, which must not
/// be empty.
std::size_t SpreadOver(const std::vector<SpreadCandidate>& aCandidates,
                       double aUnreported,
                       double aDraw);

}

#endif
