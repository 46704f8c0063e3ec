#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTCHOOSER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTCHOOSER_HPP

#include <random>
#include <vector>

#include "components/gateway/coldlimiter.hpp"
#include "components/gateway/endpointdirectory.hpp"
#include "components/gateway/requestmetadata.hpp"
#include "components/gateway/servingconfiguration.hpp"

namespace samphiresail::gateway {

/// Reason why no endpoint can take a request now.
enum class NoEndpoint
{
  /// No endpoint of the service may get work.
  NoneUsable,
  /// None that may get work holds the model.
  ModelAbsent,
  /// Some hold the model but none the adapter, which can be loaded within milliseconds.
  AdapterAbsent,
  /// All are full or in cold start.
  Full,
};

struct Choice
{
  /// Null if there is none; then mReason is the reason.
  Endpoint* mEndpoint{ nullptr };
  NoEndpoint mReason{ NoEndpoint::NoneUsable };
};

/// Workload: ordinary traffic on every day. Chooses an endpoint that holds the request's
/// model and adapter and has few requests of all entries relative to its slots, and
/// prefers the entry's own availability zone while that costs little time.
class EndpointChooser
{
public:
  // Requests that may be queued at an endpoint beyond its slots, as a fraction of its
  // slots.
  /// Urgent requests to engines: with more than a few in the queue, first events miss
  /// their target latency.
  static constexpr double kUrgentQueueFraction = 0.1;
  /// Requests to engines whose target latency leaves time to wait.
  static constexpr double kLatencyTolerantQueueFraction = 0.5;
  /// Requests to plain services take some ten milliseconds, and slots become free as
  /// fast.
  static constexpr double kPlainQueueFraction = 2.5;
  /// Penalty, in requests per slot, of an endpoint in another availability zone.
  static constexpr double kZonePenalty = 0.12;
  /// Fraction of failed requests above which an endpoint counts as an outlier.
  static constexpr double kOutlierFailureFraction = 0.3;

  EndpointChooser(EndpointDirectory& aDirectory,
                  ColdLimiter& aCold,
                  ids::AvailabilityZoneId aOwnZone,
                  std::uint64_t aSeed);

  void SetEntries(std::size_t aEntries) { mEntries = aEntries; }

  /// Chooses among the endpoints of the service that are not in aTried. aLatencyTolerant
  /// is true if the request may wait for a slot. aUnreported is the number of similar
  /// requests that the other entries send before their next peer reports.
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
