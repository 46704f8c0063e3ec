#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_GENERATIONTIMES_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_GENERATIONTIMES_HPP

#include <unordered_map>

#include "components/gateway/enginemodel.hpp"
#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

/// Workload: streams that callers give up before they have ended. Learns for each model
/// how long complete responses took after their first event, in relation to their stated
/// output.
class GenerationTimes
{
public:
  void Observe(const ids::ModelId& aModel,
               double aStatedTokens,
               Milliseconds aGenerating);

  /// Returns the time after its first event that a response takes even if it is faster
  /// than the mean by the mean deviation; 0 while too little is known.
  Milliseconds FastTime(const ids::ModelId& aModel, double aStatedTokens) const;

private:
  struct Times
  {
    /// Milliseconds for each stated token, and the mean deviation from it.
    double mMean{ 0.0 };
    double mDeviation{ 0.0 };
    unsigned mSamples{ 0 };
  };

  std::unordered_map<ids::ModelId, Times> mTimes;
};

}

#endif
