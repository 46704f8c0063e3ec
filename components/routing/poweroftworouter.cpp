#include "components/routing/poweroftworouter.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace samphiresail::routing {

static_assert(Router<PowerOfTwoRouter>);

namespace {

/// Mixes a hash so that near inputs give unrelated results.
std::uint64_t Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 33U;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33U;
  aValue *= 0xc4ceb9fe1a85ec53ULL;
  aValue ^= aValue >> 33U;
  return aValue;
}

bool AboveKnee(const Candidate& aCandidate, const RouteRequest& aRequest)
{
  return aRequest.mKnee > 0 && aCandidate.mModelInFlight >= aRequest.mKnee;
}

}

PowerOfTwoRouter::PowerOfTwoRouter(const PowerOfTwoOptions& aOptions)
  : mOptions(aOptions)
{
}

RouteResult PowerOfTwoRouter::Choose(const EndpointTable& aTable,
                                     const RouteRequest& aRequest,
                                     timing::Instant aNow,
                                     std::mt19937_64& aGenerator) const
{
  return aTable.Read([&](const EndpointTable::View& aView) -> RouteResult {
    const auto& rows = aView.Rows(aRequest.mRequirement);
    const auto first = Draw(aView, rows, aRequest, aNow, aGenerator(), std::nullopt);
    if (!first) {
      return ExplainNoRoute(aView, aRequest.mRequirement, aNow);
    }
    Candidate best = *first;
    const auto second = Draw(aView, rows, aRequest, aNow, aGenerator(), first->mRow);
    if (second && Better(*second, best, aRequest)) {
      best = *second;
    }
    const auto cached = WithPrefix(aView, rows, aRequest, aNow);
    if (cached && !AboveKnee(*cached, aRequest) &&
        cached->mOccupancy <= mOptions.mAffinityLimit &&
        cached->mOccupancy <= best.mOccupancy + mOptions.mAffinitySlack) {
      best = *cached;
    }
    return aView.Description(best.mRow);
  });
}

std::optional<Candidate> PowerOfTwoRouter::Draw(const EndpointTable::View& aView,
                                                const std::vector<std::uint32_t>& aRows,
                                                const RouteRequest& aRequest,
                                                timing::Instant aNow,
                                                std::uint64_t aStart,
                                                std::optional<std::uint32_t> aTaken) const
{
  for (std::size_t it = 0; it < aRows.size(); ++it) {
    const std::uint32_t row = aRows[(aStart + it) % aRows.size()];
    if (row == aTaken) {
      continue;
    }
    if (auto candidate = aView.Evaluate(row, aRequest.mRequirement, aNow)) {
      return candidate;
    }
  }
  return std::nullopt;
}

bool PowerOfTwoRouter::Better(const Candidate& aLeft,
                              const Candidate& aRight,
                              const RouteRequest& aRequest) const
{
  const bool leftAbove = AboveKnee(aLeft, aRequest);
  const bool rightAbove = AboveKnee(aRight, aRequest);
  if (leftAbove != rightAbove) {
    return rightAbove;
  }
  if (leftAbove && aLeft.mModelInFlight != aRight.mModelInFlight) {
    return aLeft.mModelInFlight < aRight.mModelInFlight;
  }
  const double difference = aLeft.mOccupancy - aRight.mOccupancy;
  if (aLeft.mNear != aRight.mNear && std::abs(difference) < mOptions.mNearSlack) {
    return aLeft.mNear;
  }
  return difference < 0.0;
}

std::optional<Candidate> PowerOfTwoRouter::WithPrefix(
  const EndpointTable::View& aView,
  const std::vector<std::uint32_t>& aRows,
  const RouteRequest& aRequest,
  timing::Instant aNow) const
{
  if (aRequest.mPrefix == 0 || aRows.empty()) {
    return std::nullopt;
  }
  // Rendezvous hashing: a row that comes or goes moves only its own prefixes.
  std::uint32_t row = aRows.front();
  std::uint64_t highest = 0;
  for (const std::uint32_t it : aRows) {
    const std::uint64_t weight = Mix(aRequest.mPrefix ^ aView.NameHash(it));
    if (weight >= highest) {
      highest = weight;
      row = it;
    }
  }
  return aView.Evaluate(row, aRequest.mRequirement, aNow);
}

}
