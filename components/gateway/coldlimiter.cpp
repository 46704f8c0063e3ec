#include "components/gateway/coldlimiter.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "components/random/rendezvous.hpp"

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
  const auto entries = std::max<std::size_t>(aEntries, 1);
  const auto total =
    static_cast<std::size_t>(kUsedFraction * (aPerSecond * mFactor + mSlack));
  std::size_t limit = total / entries;
  if (limit == 0) {
    // While some entries are not known yet, each would choose itself.
    const bool allKnown = mOthers.size() + 1 >= entries;
    limit = allKnown && Rank(aEndpoint) < total ? 1 : 0;
  }
  const auto it = mSent.find(aEndpoint);
  return (it == mSent.end() ? 0 : it->second.Count(aNow)) < limit;
}

void ColdLimiter::SetKnownEntries(ids::ProcessId aOwn,
                                  std::vector<ids::ProcessId> aOthers)
{
  if (aOwn != mOwn || aOthers != mOthers) {
    mOwn = std::move(aOwn);
    mOthers = std::move(aOthers);
    mRanks.clear();
  }
}

std::size_t ColdLimiter::Rank(const ids::EndpointId& aEndpoint)
{
  const auto [it, added] = mRanks.try_emplace(aEndpoint, 0);
  if (added) {
    const auto weight = [&](const ids::ProcessId& aEntry) {
      return random::RendezvousWeight(aEndpoint.Str(), aEntry.Str());
    };
    const std::uint64_t own = weight(mOwn);
    it->second = static_cast<std::size_t>(std::ranges::count_if(
      mOthers, [&](const ids::ProcessId& aOther) { return weight(aOther) > own; }));
  }
  return it->second;
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
