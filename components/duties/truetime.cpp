#include "components/duties/truetime.hpp"

#include <algorithm>
#include <iterator>
#include <vector>

namespace samphiresail::duties {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::optional<timing::Duration> TrueTime::Sample(timing::Instant aBefore,
                                                 timing::WallTime aWall,
                                                 timing::Instant aAfter)
{
  const auto sample = duration_cast<timing::Duration>(aWall.time_since_epoch()) -
                      aBefore.time_since_epoch();
  if (!mLastSample) {
    mLastSample = sample;
    mLastSampleAt = aBefore;
    mOffset = sample;
    return std::nullopt;
  }
  if (aBefore - mLastSampleAt > kPause) {
    mPeers.clear();
  }
  mLastSampleAt = aBefore;
  if (aAfter - aBefore > kMaxSampleTime) {
    return std::nullopt;
  }
  const timing::Duration change = sample - *mLastSample;
  mLastSample = sample;
  if (std::chrono::abs(change) >= kJump) {
    return change;
  }
  mOffset += change;
  return std::nullopt;
}

void TrueTime::OnPeerTime(const ids::ProcessId& aProcess,
                          milliseconds aTime,
                          timing::Instant aNow)
{
  if (mPeers.empty()) {
    mObservedSince = aNow;
  }
  const timing::Duration offset = aTime - aNow.time_since_epoch();
  Offsets& offsets = mPeers[aProcess];
  while (!offsets.empty() && offsets.back().second <= offset) {
    offsets.pop_back();
  }
  offsets.emplace_back(aNow, offset);
}

std::optional<timing::Duration> TrueTime::Check(timing::Instant aNow)
{
  for (auto& [process, offsets] : mPeers) {
    while (!offsets.empty() && offsets.front().first + kPeerAge < aNow) {
      offsets.pop_front();
    }
  }
  std::erase_if(mPeers, [](const auto& aRow) { return aRow.second.empty(); });
  std::vector<timing::Duration> deviations{ timing::Duration(0) };
  std::ranges::transform(
    mPeers, std::back_inserter(deviations), [this](const auto& aRow) {
      return aRow.second.front().second - mOffset;
    });
  if (deviations.size() < kMinEntries) {
    return std::nullopt;
  }
  std::ranges::sort(deviations);
  // Of the two in the middle of an even number, the one that changes less.
  const timing::Duration lower = deviations[(deviations.size() - 1) / 2];
  const timing::Duration upper = deviations[deviations.size() / 2];
  const timing::Duration median =
    std::chrono::abs(lower) <= std::chrono::abs(upper) ? lower : upper;
  const bool isAhead = median < -kMaxAhead && aNow >= mObservedSince + kObservation;
  if (median <= kMaxBehind && !isAhead) {
    return std::nullopt;
  }
  mOffset += median;
  return median;
}

milliseconds TrueTime::At(timing::Instant aInstant) const
{
  return duration_cast<milliseconds>(aInstant.time_since_epoch() + mOffset);
}

}
