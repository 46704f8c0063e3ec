#include "components/routing/poweroftworouter.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace samphiresail::routing {

static_assert(Router<PowerOfTwoRouter>);

namespace {

/// Finalizer of MurmurHash3: maps similar inputs to unrelated outputs.
std::uint64_t MixHash(std::uint64_t aValue)
{
  aValue ^= aValue >> 33U;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33U;
  aValue *= 0xc4ceb9fe1a85ec53ULL;
  aValue ^= aValue >> 33U;
  return aValue;
}

bool IsAboveKnee(const Candidate& aCandidate, const RouteRequest& aRequest)
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
    const auto first =
      DrawCandidate(aView, rows, aRequest, aNow, aGenerator(), std::nullopt);
    if (!first) {
      return ExplainNoRoute(aView, aRequest.mRequirement, aNow);
    }
    Candidate best = *first;
    const auto second =
      DrawCandidate(aView, rows, aRequest, aNow, aGenerator(), first->mRow);
    if (second && IsBetter(*second, best, aRequest)) {
      best = *second;
    }
    const auto cached = PrefixCandidate(aView, rows, aRequest, aNow);
    if (cached && !IsAboveKnee(*cached, aRequest) &&
        cached->mOccupancy <= mOptions.mMaxAffinityOccupancy &&
        cached->mOccupancy <= best.mOccupancy + mOptions.mAffinitySlack) {
      best = *cached;
    }
    return aView.Description(best.mRow);
  });
}

std::optional<Candidate> PowerOfTwoRouter::DrawCandidate(
  const EndpointTable::View& aView,
  const std::vector<std::uint32_t>& aRows,
  const RouteRequest& aRequest,
  timing::Instant aNow,
  std::uint64_t aStartIndex,
  std::optional<std::uint32_t> aExcludedRow) const
{
  for (std::size_t it = 0; it < aRows.size(); ++it) {
    const std::uint32_t row = aRows[(aStartIndex + it) % aRows.size()];
    if (row == aExcludedRow) {
      continue;
    }
    if (auto candidate = aView.Evaluate(row, aRequest.mRequirement, aNow)) {
      return candidate;
    }
  }
  return std::nullopt;
}

bool PowerOfTwoRouter::IsBetter(const Candidate& aLeft,
                                const Candidate& aRight,
                                const RouteRequest& aRequest) const
{
  const bool leftAbove = IsAboveKnee(aLeft, aRequest);
  const bool rightAbove = IsAboveKnee(aRight, aRequest);
  if (leftAbove != rightAbove) {
    return rightAbove;
  }
  if (leftAbove && aLeft.mModelInFlight != aRight.mModelInFlight) {
    return aLeft.mModelInFlight < aRight.mModelInFlight;
  }
  const double difference = aLeft.mOccupancy - aRight.mOccupancy;
  if (aLeft.mNear != aRight.mNear && std::abs(difference) < mOptions.mNearZoneSlack) {
    return aLeft.mNear;
  }
  return difference < 0.0;
}

std::optional<Candidate> PowerOfTwoRouter::PrefixCandidate(
  const EndpointTable::View& aView,
  const std::vector<std::uint32_t>& aRows,
  const RouteRequest& aRequest,
  timing::Instant aNow) const
{
  if (aRequest.mPrefix == 0 || aRows.empty()) {
    return std::nullopt;
  }
  // Rendezvous hashing: adding or removing an endpoint moves only the prefixes that are
  // assigned to it.
  std::uint32_t row = aRows.front();
  std::uint64_t highest = 0;
  for (const std::uint32_t it : aRows) {
    const std::uint64_t weight = MixHash(aRequest.mPrefix ^ aView.NameHash(it));
    if (weight >= highest) {
      highest = weight;
      row = it;
    }
  }
  return aView.Evaluate(row, aRequest.mRequirement, aNow);
}

}
