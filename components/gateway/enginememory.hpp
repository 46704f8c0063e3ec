#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ENGINEMEMORY_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ENGINEMEMORY_HPP

#include <unordered_map>

#include "components/gateway/enginemodel.hpp"
#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

/// Workload: engines that preempt requests once their memory is full, and requests whose
/// stated output is a maximum that most of them do not reach. Forecasts the memory that a
/// request occupies when it ends. The part of the stated output that is generated is
/// learned for each model from the number of events of complete responses: an event holds
/// about the same number of tokens, and the response with the most events for its stated
/// output is taken as one that reached its maximum. If none did, the forecast is too
/// large, never too small.
class EngineMemory
{
public:
  /// Largest part of its memory that requests leave free for more urgent ones.
  static constexpr double kMaxReserve = 0.5;

  /// Tokens that a request is expected to occupy when it ends; the stated ones as long as
  /// nothing was observed.
  double ExpectedTokens(const EngineWork& aWork) const;

  /// Records that a complete response with a stated output of aStatedTokens had aEvents
  /// events.
  void ObserveOutput(const ids::ModelId& aModel, double aStatedTokens, double aEvents);

  /// Returns the tokens that an engine has left for a request, without those that become
  /// free within aBehind: these it leaves to more urgent requests. No limit if its memory
  /// is not known. aSlotTime is the mean time after which a request ends.
  static double Room(const EngineLoad& aLoad,
                     const EngineCapacity& aCapacity,
                     Milliseconds aBehind,
                     Milliseconds aSlotTime);
  /// Returns the time until an engine with that room has aExpectedTokens; 0 if it has, or
  /// if it is idle and can only try.
  static Milliseconds WaitForRoom(const EngineLoad& aLoad,
                                  double aRoom,
                                  double aExpectedTokens,
                                  Milliseconds aSlotTime);

private:
  struct Outputs
  {
    /// Averages over responses.
    double mEvents{ 0.0 };
    double mStatedTokens{ 0.0 };
    unsigned mSamples{ 0 };
    /// Most events for each stated token; 0 if it is not known.
    double mMaxRate{ 0.0 };
  };

  std::unordered_map<ids::ModelId, Outputs> mOutputs;
};

}

#endif
