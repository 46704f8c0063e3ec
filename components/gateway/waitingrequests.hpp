#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_WAITINGREQUESTS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_WAITINGREQUESTS_HPP

#include <optional>
#include <unordered_map>

#include "components/gateway/demandmeter.hpp"
#include "components/gateway/enginemodel.hpp"
#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Workload: more requests for a model than its engines have room for. Knows the requests
/// that wait at this entry, by model, and forecasts when one of them is sent from those
/// that go before it and from the rate at which this entry sent requests for the model
/// lately.
class WaitingRequests
{
public:
  /// Records that a request found no room. aOrder is lower for those that go before
  /// others: requests of the same order go in the order of their arrival.
  void RecordWait(const ids::RequestId& aRequest,
                  const ids::ModelId& aModel,
                  Milliseconds aOrder,
                  timing::Instant aNow);
  /// Records that a request no longer waits.
  void Erase(const ids::RequestId& aRequest) { mRows.erase(aRequest); }
  /// Records that a request is sent to an engine.
  void RecordBegun(const ids::RequestId& aRequest,
                   const ids::ModelId& aModel,
                   timing::Instant aNow);

  /// Returns the time until a waiting request is sent; none if it does not wait or
  /// nothing was sent lately.
  std::optional<Milliseconds> Forecast(const ids::RequestId& aRequest,
                                       timing::Instant aNow) const;
  /// Returns the number of requests that wait for the model.
  std::size_t Count(const ids::ModelId& aModel) const;

  /// Returns the mean of Count() over the last seconds.
  double MeanCount(const ids::ModelId& aModel) const;

  /// Erases requests that have not tried to begin for a while; their callers have left.
  void Tick(timing::Instant aNow);

private:
  struct Row
  {
    ids::ModelId mModel;
    Milliseconds mOrder{ 0 };
    timing::Instant mSince{};
    timing::Instant mTriedAt{};
  };

  std::unordered_map<ids::RequestId, Row> mRows;
  std::unordered_map<ids::ModelId, double> mMeanCounts;
  timing::Instant mSampledAt{};
  /// Requests sent a second, by model.
  DemandMeter mBegun;
};

}

#endif
