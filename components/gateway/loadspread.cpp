#include "components/gateway/loadspread.hpp"

#include <algorithm>
#include <numeric>

namespace samphiresail::gateway {

namespace {

/// Lower bound on the number of requests to distribute; with so few, every request goes
/// to the least loaded endpoint.
constexpr double kMinRequests = 1e-6;

/// Returns the load per slot that the candidates reach when aRequests are distributed
/// over the least loaded of them.
double Level(const std::vector<SpreadCandidate>& aCandidates, double aRequests)
{
  std::vector<std::size_t> order(aCandidates.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::ranges::sort(
    order, {}, [&](std::size_t aIndex) { return aCandidates[aIndex].mLoad; });
  double slots = 0.0;
  double requests = 0.0;
  double level = 0.0;
  for (const std::size_t index : order) {
    const SpreadCandidate& candidate = aCandidates[index];
    if (slots > 0.0 && candidate.mLoad >= level) {
      break;
    }
    slots += candidate.mSlots;
    requests += candidate.mLoad * candidate.mSlots;
    level = (requests + aRequests) / slots;
  }
  return level;
}

}

std::size_t SpreadOver(const std::vector<SpreadCandidate>& aCandidates,
                       double aUnreported,
                       double aDraw)
{
  const double requests = std::max(aUnreported, kMinRequests);
  const double level = Level(aCandidates, requests);
  double at = aDraw * requests;
  std::size_t chosen = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const double capacity = (level - aCandidates[i].mLoad) * aCandidates[i].mSlots;
    if (capacity <= 0.0) {
      continue;
    }
    chosen = i;
    at -= capacity;
    if (at < 0.0) {
      break;
    }
  }
  return chosen;
}

}
