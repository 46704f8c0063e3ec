#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTCHOOSER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTCHOOSER_HPP

#include <random>
#include <vector>

#include "components/gateway/coldlimiter.hpp"
#include "components/gateway/endpointdirectory.hpp"
#include "components/gateway/requestmetadata.hpp"
#include "components/gateway/servingconfiguration.hpp"

namespace samphiresail::gateway {

/// Why no endpoint can take a request now.
enum class NoEndpoint
{
  /// No endpoint of the service may get work.
  NoneUsable,
  /// None that may get work holds the model.
  ModelAbsent,
  /// Some hold the model and none the adapter, which can be had within milliseconds.
  AdapterAbsent,
  /// All are full or in cold start.
  Full,
};

struct Choice
{
  /// Null if there is none; then mReason says why.
  Endpoint* mEndpoint{ nullptr };
  NoEndpoint mReason{ NoEndpoint::NoneUsable };
};

/// Load answered: all days. Sends a request to an endpoint that holds its model and
/// adapter and has few requests of all entries for its slots, and prefers the entry's own
/// availability zone while that costs little time.
class EndpointChooser
{
public:
  // Requests beyond an endpoint's slots that may wait there, as a part of its slots.
  /// Urgent requests to engines: with more than a few that wait, first events come after
  /// their target.
  static constexpr double kUrgentQueueFraction = 0.1;
  /// Requests to engines whose target leaves time to wait.
  static constexpr double kLatencyTolerantQueueFraction = 0.5;
  /// Plain services run for some ten milliseconds, and slots free up as fast.
  static constexpr double kPlainQueueFraction = 2.5;
  /// Load by slots that another availability zone's endpoint must be better by.
  static constexpr double kZonePenalty = 0.12;
  /// Share of failed requests above which an endpoint counts as an outlier.
  static constexpr double kOutlierFailureFraction = 0.3;

  EndpointChooser(EndpointDirectory& aDirectory,
                  ColdLimiter& aCold,
                  ids::AvailabilityZoneId aOwnZone,
                  std::uint64_t aSeed);

  void SetEntries(std::size_t aEntries) { mEntries = aEntries; }

  /// Chooses among the endpoints of the service that are not in aTried. aLatencyTolerant
  /// says that the request may wait for a slot; aUnreported counts the like requests that
  /// the other entries send before they next tell their loads.
  Choice Choose(const Service& aService,
                const RequestMetadata& aMetadata,
                const std::vector<ids::EndpointId>& aTried,
                bool aLatencyTolerant,
                double aUnreported,
                timing::Instant aNow);

private:
  double Score(const Endpoint& aEndpoint, timing::Instant aNow) const;

  EndpointDirectory& mDirectory;
  ColdLimiter& mCold;
  ids::AvailabilityZoneId mOwnZone;
  std::size_t mEntries{ 1 };
  std::mt19937_64 mRandom;
};

}

#endif
