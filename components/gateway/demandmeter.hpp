#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_DEMANDMETER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_DEMANDMETER_HPP

#include <string>
#include <unordered_map>

#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Exponentially averaged demand for each model and adapter. A request counts with the
/// seconds of a whole engine that it would use up, so that demand is a number of engines.
/// Counts all requests of this entry's callers, also those that are not served.
class DemandMeter
{
public:
  /// Name under which a model (empty adapter) or one of its adapters is counted.
  static std::string Name(const ids::ModelId& aModel, const std::string& aAdapter);

  void Record(const ids::ModelId& aModel,
              const std::string& aAdapter,
              double aEngineSeconds,
              timing::Instant aNow);
  /// Adds aAmount under aName, which need not be a result of Name.
  void Add(const std::string& aName, double aAmount, timing::Instant aNow);
  double Rate(const std::string& aName, timing::Instant aNow) const;
  /// Calls aVisit(name, rate) for each counter.
  template<typename Visit>
  void ForEach(timing::Instant aNow, Visit aVisit) const
  {
    for (const auto& [name, counter] : mCounters) {
      aVisit(name, Decayed(counter, aNow));
    }
  }
  /// Erases counters whose rate has become negligible.
  void Tick(timing::Instant aNow);

private:
  struct Counter
  {
    double mRate{ 0.0 };
    timing::Instant mUpdatedAt{};
  };
  static double Decayed(const Counter& aCounter, timing::Instant aNow);

  std::unordered_map<std::string, Counter> mCounters;
};

}

#endif
