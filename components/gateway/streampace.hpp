#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_STREAMPACE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_STREAMPACE_HPP

#include <unordered_map>

#include "components/gateway/enginemodel.hpp"
#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Workload: engines that stop generating for all of their streams while they read
/// prompts, or while other work slows their machine down. Reports of other entries are
/// some hundred milliseconds old and cannot show such a stall, but the streams of this
/// entry at the engine show it at once: their events stop to arrive.
class StreamPace
{
public:
  /// Records an event of a stream at an engine; aFirst is true for its first one.
  void OnEvent(const ids::EndpointId& aEndpoint, bool aFirst, timing::Instant aNow);
  /// Records that a stream that has had an event ended.
  void OnEnd(const ids::EndpointId& aEndpoint);
  /// Erases what is known of an engine that has ended or restarted.
  void Forget(const ids::EndpointId& aEndpoint) { mEngines.erase(aEndpoint); }

  /// Returns for how much longer than usual the streams of this entry at the engine have
  /// had no event; 0 if none is running there.
  Milliseconds Stall(const ids::EndpointId& aEndpoint, timing::Instant aNow) const;

private:
  struct Engine
  {
    unsigned mStreams{ 0 };
    timing::Instant mLastEventAt{};
    /// Mean interval between two events of one stream.
    Milliseconds mInterval{ 0 };
  };

  std::unordered_map<ids::EndpointId, Engine> mEngines;
};

}

#endif
