#include "components/gateway/endpointlimits.hpp"

#include <algorithm>
#include <cmath>

namespace samphiresail::gateway {

namespace {

/// Factor of one decrease, and the least time between two: the effect of one shows after
/// the requests that were sent before it have ended.
constexpr double kDecrease = 0.85;
constexpr timing::Duration kDecreaseInterval = std::chrono::milliseconds(400);
/// Time in which a limit grows from nothing to the slots.
constexpr double kRecoverySeconds = 2.0;
/// Margin over the service's fraction of late responses beyond which an endpoint is late.
constexpr double kMargin = 0.03;
/// Standard errors of its own fraction by which an endpoint must exceed the service's, so
/// that a few late responses decide nothing.
constexpr double kStandardErrors = 2.0;
/// Outcomes below which nothing is concluded of an endpoint.
constexpr double kMinOutcomes = 4.0;
/// Rows that are kept after this many half-lives without an outcome.
constexpr double kMinKeptOutcomes = 1e-3;

double Seconds(timing::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

}

EndpointOutcomes& EndpointOutcomes::operator+=(const EndpointOutcomes& aOther)
{
  mEnded += aOther.mEnded;
  mLate += aOther.mLate;
  return *this;
}

EndpointOutcomes EndpointLimits::Decayed(const Row& aRow, timing::Instant aNow)
{
  const double halfLives =
    std::max(Seconds(aNow - aRow.mUpdatedAt), 0.0) / Seconds(kHalfLife);
  const double left = std::exp2(-halfLives);
  return { aRow.mOwn.mEnded * left, aRow.mOwn.mLate * left };
}

void EndpointLimits::Record(std::uint64_t aEndpoint, bool aLate, timing::Instant aNow)
{
  Row& row = mRows[aEndpoint];
  row.mOwn = Decayed(row, aNow);
  row.mOwn += { 1.0, aLate ? 1.0 : 0.0 };
  row.mUpdatedAt = aNow;
}

EndpointOutcomes EndpointLimits::Own(std::uint64_t aEndpoint, timing::Instant aNow) const
{
  const auto it = mRows.find(aEndpoint);
  return it == mRows.end() ? EndpointOutcomes{} : Decayed(it->second, aNow);
}

void EndpointLimits::Step(const std::vector<LimitedEndpoint>& aEndpoints,
                          timing::Instant aNow)
{
  std::vector<EndpointOutcomes> outcomes;
  EndpointOutcomes service;
  for (const LimitedEndpoint& endpoint : aEndpoints) {
    EndpointOutcomes sum = Own(endpoint.mHash, aNow);
    sum += endpoint.mReported;
    service += sum;
    outcomes.push_back(sum);
  }
  const double usual = std::max(service.LateFraction(), kAcceptedLateFraction);
  for (std::size_t i = 0; i < aEndpoints.size(); ++i) {
    const LimitedEndpoint& endpoint = aEndpoints[i];
    const EndpointOutcomes& own = outcomes[i];
    const auto it = mRows.find(endpoint.mHash);
    if (it == mRows.end() && own.mEnded < kMinOutcomes) {
      continue;
    }
    Row& row = it != mRows.end() ? it->second : mRows[endpoint.mHash];
    const double since = row.mSteppedAt == timing::Instant{}
                           ? 0.0
                           : std::clamp(Seconds(aNow - row.mSteppedAt), 0.0, 1.0);
    row.mSteppedAt = aNow;
    const double error = std::sqrt(usual * (1.0 - std::min(usual, 0.99)) /
                                   std::max(own.mEnded, kMinOutcomes));
    const bool late = own.mEnded >= kMinOutcomes &&
                      own.LateFraction() > usual + kMargin + kStandardErrors * error;
    if (!late) {
      if (own.LateFraction() <= usual) {
        row.mFraction = std::min(row.mFraction + since / kRecoverySeconds, 1.0);
      }
    } else if (aNow - row.mDecreasedAt >= kDecreaseInterval) {
      // Requests beyond the load that the endpoint has now were not tried.
      const double used =
        static_cast<double>(endpoint.mRequests) / std::max(1U, endpoint.mSlots);
      row.mFraction =
        std::max(std::min(row.mFraction, std::max(used, kFloorFraction)) * kDecrease,
                 kFloorFraction);
      row.mDecreasedAt = aNow;
    }
    if (std::abs(row.mFraction - row.mReportedFraction) >= kReportedChange) {
      row.mReportedFraction = row.mFraction;
      mChanges.push_back(
        { endpoint.mHash, row.mFraction * endpoint.mSlots, endpoint.mSlots, own });
    }
  }
  std::erase_if(mRows, [aNow](const auto& aItem) {
    const Row& row = aItem.second;
    return row.mFraction >= 1.0 && Decayed(row, aNow).mEnded < kMinKeptOutcomes;
  });
}

std::size_t EndpointLimits::Reduced() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mRows, [](const auto& aItem) { return aItem.second.mFraction < 1.0; }));
}

double EndpointLimits::Limit(std::uint64_t aEndpoint, unsigned aSlots) const
{
  const auto it = mRows.find(aEndpoint);
  const double fraction = it == mRows.end() ? 1.0 : it->second.mFraction;
  return std::max(1.0, fraction * std::max(1U, aSlots));
}

}
