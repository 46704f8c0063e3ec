#include "components/gateway/coldlimiter.hpp"

#include <algorithm>
#include <iterator>

namespace samphiresail::gateway {

namespace {

/// The rate that an endpoint sustains is stated per second.
constexpr timing::Duration kWindow = std::chrono::seconds(1);

}

bool ColdLimiter::HasCapacity(const ids::EndpointId& aEndpoint,
                              double aPerSecond,
                              std::size_t aEntries,
                              timing::Instant aNow)
{
  if (aPerSecond <= 0) {
    return true;
  }
  const auto entries = static_cast<double>(std::max<std::size_t>(aEntries, 1));
  const auto limit = std::max<std::size_t>(
    1,
    static_cast<std::size_t>(kUsedFraction * (aPerSecond * mFactor + mSlack) / entries));
  const auto it = mSent.find(aEndpoint);
  return it == mSent.end() || it->second.Count(aNow) < limit;
}

void ColdLimiter::Record(const ids::EndpointId& aEndpoint, timing::Instant aNow)
{
  mSent.try_emplace(aEndpoint, kWindow).first->second.Add(aNow);
}

void ColdLimiter::Tick(timing::Instant aNow)
{
  for (auto it = mSent.begin(); it != mSent.end();) {
    it = it->second.Count(aNow) == 0 ? mSent.erase(it) : std::next(it);
  }
}

}
