#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_TRAFFICCONTROL_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_TRAFFICCONTROL_HPP

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "components/gateway/coldlimiter.hpp"
#include "components/gateway/demandmeter.hpp"
#include "components/gateway/endpointchooser.hpp"
#include "components/gateway/endpointdirectory.hpp"
#include "components/gateway/quotaledger.hpp"
#include "components/gateway/storefreshness.hpp"
#include "components/gateway/windowedretrybudget.hpp"

namespace samphiresail::gateway {

/// Answer of this process's own to a request that is not sent on.
struct Refusal
{
  unsigned mStatus{ 503 };
  std::string mReason;
  /// When the caller should come back; none if coming back cannot help.
  std::optional<std::chrono::milliseconds> mRetryAfter;
  /// What the decision rested on, as far as it was known by then.
  std::string mRoute;
  ids::ClientAccountId mAccount;
  double mTokens{ 0.0 };
};

/// A request that was let in, with all that its route through the system depends on.
struct Admission
{
  RequestMetadata mMetadata;
  /// Keeps the tables alive that the pointers below point into.
  std::shared_ptr<const ServingConfiguration> mConfiguration;
  const Route* mRoute{ nullptr };
  const Service* mService{ nullptr };
  const ClientAccount* mAccount{ nullptr };
  double mTokens{ 0.0 };
  timing::Instant mArrived{};
  /// When the answer is due: the caller's patience or the route's timeout.
  timing::Instant mDeadline{};
  /// When the caller's own patience ends.
  timing::Instant mCallerDeadline{};
  /// From 0, the most urgent, to 9.
  int mPriority{ 5 };
  /// Age of what was known of keys and routes at admission.
  timing::Duration mConfigurationAge{ 0 };
};

/// How an attempt at an endpoint ended.
enum class AttemptEnd
{
  /// A whole answer came.
  Answered,
  /// The endpoint failed the request after it may have run.
  Failed,
  /// The endpoint refused it because it is full or lacks the model.
  Refused,
  /// The endpoint could not be reached; nothing was sent.
  Unreachable,
  /// The caller left or its time was over.
  Abandoned,
};

/// All decisions on requests, without sockets: who is let in, where a request goes,
/// whether it may be sent again. Tables change through the public members; the time is
/// passed in.
class TrafficControl
{
public:
  TrafficControl(ids::AvailabilityZoneId aOwnZone, std::uint64_t aSeed);

  EndpointDirectory mDirectory;
  StoreFreshness mStoreFreshness;
  QuotaLedger mQuotas;
  WindowedRetryBudget mRetryBudget;
  DemandMeter mDemand;
  ColdLimiter mCold;

  void SetConfiguration(std::shared_ptr<const ServingConfiguration> aConfiguration,
                        timing::Instant aNow);
  const std::shared_ptr<const ServingConfiguration>& Configuration() const
  {
    return mConfiguration;
  }
  /// Sets how many entries there are and how often they tell each other their loads.
  void SetEntries(std::size_t aEntries, timing::Duration aPeerReportInterval);

  /// Records what an endpoint's own answer said of the requests there.
  void ObserveLoad(const ids::EndpointId& aEndpoint,
                   const ResponseMetadata& aMetadata,
                   timing::Instant aNow);

  /// Lets a request in or refuses it.
  std::variant<Admission, Refusal> Admit(RequestMetadata aMetadata, timing::Instant aNow);

  /// Chooses the endpoint of the next attempt and counts it as in flight there.
  Choice Begin(const Admission& aAdmission,
               const std::vector<ids::EndpointId>& aTried,
               timing::Instant aNow);

  /// Records that an endpoint answered that it did not run the request. One that is not
  /// full lacks the model or adapter, or an order is about to take it away.
  void ObserveRefusal(const ids::EndpointId& aEndpoint,
                      const Admission& aAdmission,
                      const ResponseMetadata& aMetadata,
                      timing::Instant aNow);

  /// Records the end of an attempt that Begin started.
  void End(const ids::EndpointId& aEndpoint, AttemptEnd aEnd, timing::Instant aNow);

  /// True if the request may be sent to one more endpoint; spends from the budget.
  bool TrySpendRetry(const Admission& aAdmission,
                     std::size_t aSent,
                     timing::Instant aNow);

  /// Returns the answer for a request for which no endpoint was found. It never ran.
  Refusal RefuseNotRun(const Admission& aAdmission, NoEndpoint aReason);

  /// From this instant on every new request is refused, since the process stops.
  void RefuseFrom(timing::Instant aInstant) { mRefuseFrom = aInstant; }

  void Tick(timing::Instant aNow);

private:
  std::chrono::milliseconds RetryAfter(std::chrono::milliseconds aLeast,
                                       std::chrono::milliseconds aMost);
  const ids::ServiceId& PickService(const Route& aRoute);
  /// Returns the like requests that the other entries send between two digests, if their
  /// callers ask for as much as this one's.
  double UnreportedRequests(const Admission& aAdmission, timing::Instant aNow) const;

  EndpointChooser mChooser;
  std::shared_ptr<const ServingConfiguration> mConfiguration;
  std::size_t mEntries{ 1 };
  timing::Duration mPeerReportInterval{ 0 };
  /// Requests to each service that has no models.
  DemandMeter mServiceDemand;
  std::mt19937_64 mRandom;
  timing::Instant mRefuseFrom{ timing::Instant::max() };
};

}

#endif
