#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_LOADSPREAD_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_LOADSPREAD_HPP

#include <cstddef>
#include <vector>

namespace samphiresail::gateway {

/// An endpoint that a request may go to.
struct SpreadCandidate
{
  /// Requests there as far as known, by slot; penalties included.
  double mLoad{ 0.0 };
  double mSlots{ 1.0 };
};

/// Load answered: many entries that choose by the same picture of the endpoints, which is
/// some hundred milliseconds old. If each took the least loaded endpoint, all would rush
/// there until the next picture. Instead the requests that are expected to arrive before
/// the picture changes are spread so that they bring the endpoints to one level, and each
/// request takes its endpoint by its part of them.
///
/// aUnreported counts those requests; with none of them the least loaded endpoint is
/// taken. aDraw is uniform in [0, 1). Returns an index into aCandidates, which must not
/// be empty.
std::size_t SpreadOver(const std::vector<SpreadCandidate>& aCandidates,
                       double aUnreported,
                       double aDraw);

}

#endif
