#include "components/gateway/streampace.hpp"

#include <algorithm>

namespace samphiresail::gateway {

namespace {

/// Weight of a new interval in the mean.
constexpr double kIntervalGain = 0.05;
/// An interval counts as this many times the mean at most, so that a stall is not learned
/// as the usual pace.
constexpr double kMaxIntervalRatio = 4.0;
/// Interval that is assumed before any was observed.
constexpr Milliseconds kInitialInterval{ 40.0 };
/// Multiple of the mean interval that is not yet a stall.
constexpr double kUsualIntervals = 1.5;

}

void StreamPace::OnEvent(const ids::EndpointId& aEndpoint,
                         bool aFirst,
                         timing::Instant aNow)
{
  Engine& engine =
    mEngines.try_emplace(aEndpoint, Engine{ 0, {}, kInitialInterval }).first->second;
  if (aFirst) {
    ++engine.mStreams;
  } else if (engine.mStreams > 0) {
    // The streams of an engine share its steps, so each has had one event in the time in
    // which all of them together had as many as there are streams.
    const Milliseconds interval =
      ToMilliseconds(aNow - engine.mLastEventAt) * static_cast<double>(engine.mStreams);
    engine.mInterval +=
      kIntervalGain *
      (std::min(interval, kMaxIntervalRatio * engine.mInterval) - engine.mInterval);
  }
  engine.mLastEventAt = aNow;
}

void StreamPace::OnEnd(const ids::EndpointId& aEndpoint)
{
  const auto it = mEngines.find(aEndpoint);
  if (it != mEngines.end() && it->second.mStreams > 0) {
    --it->second.mStreams;
  }
}

Milliseconds StreamPace::Stall(const ids::EndpointId& aEndpoint,
                               timing::Instant aNow) const
{
  const auto it = mEngines.find(aEndpoint);
  if (it == mEngines.end() || it->second.mStreams == 0) {
    return Milliseconds(0);
  }
  const Milliseconds since = ToMilliseconds(aNow - it->second.mLastEventAt);
  return std::max(since - kUsualIntervals * it->second.mInterval, Milliseconds(0));
}

}
