#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ENGINEMODEL_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ENGINEMODEL_HPP

#include <chrono>
#include <unordered_map>

#include "components/gateway/machinespeeds.hpp"
#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Time in milliseconds and fractions of them.
using Milliseconds = std::chrono::duration<double, std::milli>;

inline Milliseconds ToMilliseconds(timing::Duration aDuration)
{
  return std::chrono::duration_cast<Milliseconds>(aDuration);
}

/// Requests in progress at an engine.
struct EngineLoad
{
  unsigned mRequests{ 0 };
  /// Time that the engine needs to read the prompts of these requests that it has not
  /// read yet.
  Milliseconds mUnread{ 0 };
  /// Tokens that the requests occupy in the engine's memory until they end.
  double mMemoryTokens{ 0.0 };

  EngineLoad& operator+=(const EngineLoad& aOther);
  EngineLoad& operator-=(const EngineLoad& aOther);
};

/// What an engine can hold at the same time.
struct EngineCapacity
{
  unsigned mSlots{ 1 };
  /// Tokens of its memory; 0 if they are not known.
  double mMemoryTokens{ 0.0 };
};

/// What one request demands of an engine.
struct EngineWork
{
  ids::ModelId mModel;
  /// Prompt tokens that the engine has to read.
  double mUnreadTokens{ 0.0 };
  double mPromptTokens{ 0.0 };
  double mOutputTokens{ 0.0 };
};

/// Expected times of a request at an engine.
struct EngineForecast
{
  /// Until the engine begins to read the request's prompt.
  Milliseconds mWait{ 0 };
  Milliseconds mRead{ 0 };
  Milliseconds mFirstEvent{ 0 };
};

/// Workload: engines that batch requests and are bound by the prompts that they read, by
/// their memory or by their slots, at speeds that no configuration states. Forecasts
/// when a request's first event will come. The speeds are fitted from the responses: how
/// long a token of a prompt takes by model, how much slower an engine is than the others,
/// and how long a request occupies a slot.
class EngineModel
{
public:
  /// Time for one token of a prompt before anything was observed.
  static constexpr Milliseconds kInitialReadTime{ 0.05 };
  /// The same for one token of a response.
  static constexpr Milliseconds kInitialOutputTime{ 8.0 };
  /// Time in which a deviation of a single engine's speed is forgotten by half.
  static constexpr timing::Duration kSlownessHalfLife = std::chrono::seconds(5);

  /// Time to read the tokens on an engine of average speed.
  Milliseconds ReadTime(const ids::ModelId& aModel, double aTokens) const;

  /// Time that a request takes at least on an idle engine of average speed, from its
  /// prompt to its last token.
  Milliseconds RunTime(const ids::ModelId& aModel,
                       double aPromptTokens,
                       double aOutputTokens) const
  {
    return ReadTime(aModel, aPromptTokens) + mOutputTime * aOutputTokens;
  }

  /// Time of a whole engine that the request uses up: reading its prompt, and its part of
  /// the steps in which the engine generates for all of its slots.
  Milliseconds EngineTime(const EngineWork& aWork, const EngineCapacity& aCapacity) const;

  /// Forecasts a request that is sent now to an engine with the given load.
  EngineForecast Predict(const ids::EndpointId& aEndpoint,
                         const EngineLoad& aLoad,
                         const EngineCapacity& aCapacity,
                         const EngineWork& aWork,
                         timing::Instant aNow) const;

  /// Records that a request's first event came aTook after it was sent.
  void ObserveFirstEvent(const ids::EndpointId& aEndpoint,
                         const ids::ModelId& aModel,
                         const EngineForecast& aForecast,
                         Milliseconds aTook,
                         timing::Instant aNow);

  /// Records that a response of aOutputTokens was complete: aGenerating after its first
  /// event and aTook after the request was sent.
  void ObserveCompletion(double aOutputTokens,
                         Milliseconds aGenerating,
                         Milliseconds aTook);

  /// Records what an engine reported of its machine, see MachineSpeeds.
  void ObserveMachine(const ids::EndpointId& aEndpoint, double aSlowness)
  {
    mMachines.Observe(aEndpoint, aSlowness);
  }

  /// Factor by which the engine is slower than the average; 1 if nothing recent is known.
  double Slowness(const ids::EndpointId& aEndpoint, timing::Instant aNow) const;

  /// Mean time that a request occupies a slot.
  Milliseconds SlotTime() const { return mSlotTime; }

  /// Erases what is known of an engine that has ended or restarted.
  void Forget(const ids::EndpointId& aEndpoint)
  {
    mEngines.erase(aEndpoint);
    mMachines.Forget(aEndpoint);
  }

private:
  struct ReadSpeed
  {
    /// Natural logarithm of the milliseconds for a token.
    double mLogTime{ 0.0 };
    unsigned mSamples{ 0 };
  };
  struct Deviation
  {
    /// Natural logarithm of the factor by which the engine is slower.
    double mLogSlowness{ 0.0 };
    timing::Instant mUpdatedAt{};
  };

  double LogReadTime(const ids::ModelId& aModel) const;
  double LogSlowness(const ids::EndpointId& aEndpoint, timing::Instant aNow) const;
  static void Adjust(ReadSpeed& aSpeed, double aLogRatio);

  ReadSpeed mAverage;
  std::unordered_map<ids::ModelId, ReadSpeed> mModels;
  /// Deviations beyond the slowness that the engines' machines report.
  std::unordered_map<ids::EndpointId, Deviation> mEngines;
  MachineSpeeds mMachines;
  /// Time from sending to the first event beyond reading: the network and the engine's
  /// current step.
  Milliseconds mOverhead{ 15.0 };
  Milliseconds mOutputTime{ kInitialOutputTime };
  /// Mean time that a request occupies a slot.
  Milliseconds mSlotTime{ 1000.0 };
};

}

#endif
