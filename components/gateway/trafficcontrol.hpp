#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_TRAFFICCONTROL_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_TRAFFICCONTROL_HPP

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "components/gateway/accountshares.hpp"
#include "components/gateway/coldlimiter.hpp"
#include "components/gateway/demandmeter.hpp"
#include "components/gateway/endpointchooser.hpp"
#include "components/gateway/endpointdirectory.hpp"
#include "components/gateway/endpointlimits.hpp"
#include "components/gateway/generationtimes.hpp"
#include "components/gateway/keyrequirement.hpp"
#include "components/gateway/quotaledger.hpp"
#include "components/gateway/requestquarantine.hpp"
#include "components/gateway/returningcallers.hpp"
#include "components/gateway/stopschedule.hpp"
#include "components/gateway/storefreshness.hpp"
#include "components/gateway/streampace.hpp"
#include "components/gateway/suspectattempts.hpp"
#include "components/gateway/waitingrequests.hpp"
#include "components/gateway/waitpolicy.hpp"
#include "components/gateway/windowedretrybudget.hpp"

namespace samphiresail::gateway {

/// Response of this process to a request that it does not forward.
struct Refusal
{
  unsigned mStatus{ 503 };
  std::string mReason;
  /// When the caller should retry; none if a retry cannot succeed.
  std::optional<std::chrono::milliseconds> mRetryAfter;
  /// Route, account and tokens of the request, as far as they were determined before the
  /// decision.
  std::string mRoute;
  ids::ClientAccountId mAccount;
  double mTokens{ 0.0 };
};

/// An admitted request with everything that its routing depends on.
struct Admission
{
  RequestMetadata mMetadata;
  /// Owns the objects that the pointers below refer to.
  std::shared_ptr<const ServingConfiguration> mConfiguration;
  const Route* mRoute{ nullptr };
  const Service* mService{ nullptr };
  const ClientAccount* mAccount{ nullptr };
  double mTokens{ 0.0 };
  timing::Instant mArrived{};
  /// How long it waited at this entry until it was read, as far as that is known.
  timing::Duration mUnread{ 0 };
  /// When the response is due: the earlier of the caller's deadline and the route's
  /// timeout.
  timing::Instant mDeadline{};
  /// When the caller stops waiting.
  timing::Instant mCallerDeadline{};
  /// Time between the caller's first attempt and the arrival of this one; 0 unless it is
  /// known to have been refused before.
  timing::Duration mEarlierAttempts{ 0 };
  /// Seconds of a whole engine that the request would use up.
  double mEngineSeconds{ 0.0 };
  /// From 0, the most urgent, to 9.
  int mPriority{ 5 };
  /// An endpoint has begun the response. It is then to be completed, although its route
  /// may be a less urgent one.
  bool mBegun{ false };
  /// The request tests whether its cause in quarantine still crashes engines.
  bool mTestsQuarantine{ false };
  /// Identifier of that verdict.
  std::uint64_t mTestedCause{ 0 };
  /// Staleness of keys and routes at admission.
  timing::Duration mConfigurationAge{ 0 };
};

/// Returns the priority of an attempt that is sent now. Engines preempt the newest of the
/// least urgent requests, so that of a latency-tolerant request rises as its time passes,
/// and at once if its response has begun; it stays below that of an urgent request.
int PriorityAt(const Admission& aAdmission, timing::Instant aNow);

/// How an attempt at an endpoint ended.
enum class AttemptEnd
{
  /// A complete response arrived.
  Answered,
  /// The endpoint failed the request after it may have run.
  Failed,
  /// The endpoint rejected it because it is full or lacks the model.
  Refused,
  /// The endpoint could not be reached; nothing was sent.
  Unreachable,
  /// The caller disconnected, its deadline passed, or this entry has no memory for the
  /// response; it says nothing of the endpoint.
  Abandoned,
};

/// Makes all decisions on requests, without any I/O: admission, the choice of an endpoint
/// and retries. The owner updates the public members; the time is passed in.
class TrafficControl
{
public:
  /// Endpoints that ended under a request from which on it is sent to no further one
  /// within the same call, and at most once at a time by this entry.
  static constexpr std::size_t kMaxEndsForRetry = 2;

  TrafficControl(ids::AvailabilityZoneId aOwnZone, std::uint64_t aSeed);

  EndpointDirectory mDirectory;
  StoreFreshness mStoreFreshness;
  KeyRequirement mKeyRequirement;
  QuotaLedger mQuotas;
  WindowedRetryBudget mRetryBudget;
  DemandMeter mDemand;
  ColdLimiter mCold;
  EngineModel mEngineModel;
  EngineMemory mEngineMemory;
  GenerationTimes mGenerationTimes;
  AccountShares mAccountShares;
  WaitingRequests mWaitingRequests;
  PromptCacheEstimate mPromptCache;
  StreamPace mPace;
  EndpointLimits mLimits;
  ReturningCallers mReturningCallers;
  RequestQuarantine mQuarantine;

  void SetConfiguration(std::shared_ptr<const ServingConfiguration> aConfiguration,
                        timing::Instant aNow);
  const std::shared_ptr<const ServingConfiguration>& Configuration() const
  {
    return mConfiguration;
  }
  /// Sets the number of entries and the interval between their peer reports.
  void SetEntries(std::size_t aEntries, timing::Duration aPeerReportInterval);

  void SetEnginePolicy(const EnginePolicy& aPolicy);

  /// Admits or rejects a request. aUnread is how long ago it arrived, if it was read
  /// late; its timeouts count from then.
  std::variant<Admission, Refusal> Admit(RequestMetadata aMetadata,
                                         timing::Instant aNow,
                                         timing::Duration aUnread = timing::Duration(0));

  /// Returns aRefusal, of a request that exceeds a limit of the configuration, or a
  /// refusal for now if the limit may be out of date.
  Refusal RefuseTooLarge(Refusal aRefusal, timing::Instant aNow);

  /// Chooses the endpoint of the next attempt and adds the attempt to its load.
  Choice Begin(const Admission& aAdmission,
               const std::vector<ids::EndpointId>& aTried,
               timing::Instant aNow);

  /// Returns false if, since the attempt began, its endpoint has been withdrawn or the
  /// request has been put into quarantine.
  bool MayStillSend(const Admission& aAdmission,
                    const Attempt& aAttempt,
                    timing::Instant aNow) const;

  /// Records that an endpoint responded that it did not run the request. If it is not
  /// full, it lacks the model or adapter, or is about to unload it.
  void ObserveRefusal(const ids::EndpointId& aEndpoint,
                      const Admission& aAdmission,
                      const ResponseMetadata& aMetadata,
                      timing::Instant aNow);

  /// Returns how long the request may wait, at an engine and at this entry, at this
  /// moment.
  WaitAllowance Allowance(const Admission& aAdmission, timing::Instant aNow) const;

  /// Records that the response to an attempt has begun to arrive, and the load that the
  /// endpoint reported in it.
  void OnResponse(Attempt& aAttempt,
                  const ResponseMetadata& aMetadata,
                  timing::Instant aNow);
  /// Records that the first event of a streamed response was received.
  void OnFirstEvent(Attempt& aAttempt, const Admission& aAdmission, timing::Instant aNow);
  /// Records that one more event of a streamed response was received.
  void OnProgress(Attempt& aAttempt, const Admission& aAdmission, timing::Instant aNow);
  /// Records that a streamed response was complete; its first event had come at
  /// aFirstEvent.
  void OnStreamComplete(const Attempt& aAttempt,
                        const Admission& aAdmission,
                        timing::Instant aFirstEvent,
                        timing::Instant aNow);
  /// Records that the only attempt of a request had a complete response of aEvents
  /// events, aGenerating after the first of them.
  void OnOutput(const Admission& aAdmission,
                std::size_t aEvents,
                timing::Duration aGenerating);
  /// Records that the response to an attempt broke off before its second event. Returns
  /// true if a connection to the endpoint should be tried, to learn whether it has ended.
  bool OnUnansweredBreak(const Attempt& aAttempt,
                         const Admission& aAdmission,
                         timing::Instant aNow);
  /// Records whether the endpoint of such an attempt accepted a connection.
  void OnProbe(const ids::EndpointId& aEndpoint, bool aRefused, timing::Instant aNow);
  /// Records that a request was answered beyond its first event.
  void OnAnswered(const Admission& aAdmission, timing::Instant aNow);
  /// Lets other requests avoid the endpoint for a while, since a connection to it takes
  /// long to open.
  void Avoid(const ids::EndpointId& aEndpoint, timing::Instant aNow);
  /// Records the end of an attempt that Begin started.
  void End(const Attempt& aAttempt, AttemptEnd aEnd, timing::Instant aNow);
  /// Changes the limits of the endpoints by their outcomes, own ones and those that the
  /// other entries reported, by HashName of the endpoint.
  void UpdateLimits(const std::unordered_map<std::uint64_t, EndpointOutcomes>& aReported,
                    timing::Instant aNow);
  /// Erases what was observed of an endpoint that has restarted.
  void ForgetEndpoint(const ids::EndpointId& aEndpoint);

  /// Returns true if an attempt that may be retried has no response and its endpoint has
  /// been silent for much longer than forecast.
  bool IsStalled(const Admission& aAdmission,
                 const Attempt& aAttempt,
                 timing::Instant aNow);
  /// Returns true if the request may be sent to one more endpoint, and then spends one
  /// retry of the budget.
  bool TrySpendRetry(const Admission& aAdmission,
                     std::size_t aSent,
                     timing::Instant aNow);

  /// Returns the response to a request for which no endpoint was found and which never
  /// ran.
  Refusal RefuseNotRun(const Admission& aAdmission,
                       const Choice& aChoice,
                       timing::Instant aNow);

  /// Returns how many requests were refused since the last call because endpoints ended
  /// under them or a part of them.
  std::uint64_t TakeQuarantineRefusals() { return std::exchange(mQuarantineRefusals, 0); }

  /// Admits, sends and retries only what the schedule of a planned stop allows from now
  /// on.
  void Stop(const StopSchedule& aSchedule) { mStop = aSchedule; }

  void Tick(timing::Instant aNow);

private:
  /// Returns false if the request would surely not end before this process does, in a
  /// planned stop.
  bool MayBegin(const Admission& aAdmission, timing::Instant aNow) const;
  /// Records that an engine request found no room, and forecasts in aChoice when it does.
  void RecordWait(const Admission& aAdmission, Choice& aChoice, timing::Instant aNow);
  /// Records that an engine request is sent for the first time or again.
  void RecordBegun(const Admission& aAdmission, bool aFirst, timing::Instant aNow);
  /// Returns true if the request's account uses more than its fair share of the engines
  /// of the model, while they are short.
  bool IsOverShare(const Admission& aAdmission, timing::Instant aNow) const;
  /// Weight of an account among those that compete for engines.
  double WeightOf(const ClientAccount& aAccount) const;
  /// Returns false if the stream would not end at the chosen engine before its caller
  /// stops waiting, by the times that responses took lately.
  bool CanEnd(const Admission& aAdmission,
              const Attempt& aAttempt,
              timing::Instant aNow) const;
  /// Refuses a request since this process stops; another entry can serve it. The route
  /// is null if it is not known.
  Refusal RefuseStopping(const Route* aRoute, timing::Instant aNow);
  /// Returns the account whose key the request carries, null if the route needs no key,
  /// or the refusal of a request that must not be admitted.
  std::variant<const ClientAccount*, Refusal> Authenticate(
    const RequestMetadata& aMetadata,
    const Route& aRoute,
    timing::Instant aNow);
  /// Refuses a request for now, since this process or its view of the store is not able
  /// to serve it.
  Refusal RefuseInOutage(std::string aReason);
  std::chrono::milliseconds RetryAfter(std::chrono::milliseconds aMin,
                                       std::chrono::milliseconds aMax);
  /// Returns true if the request must not be sent since it has a cause in quarantine, or
  /// since several endpoints ended under it and another attempt of it is in progress.
  bool IsQuarantined(const Admission& aAdmission,
                     const std::vector<ids::EndpointId>& aTried,
                     timing::Instant aNow) const;
  /// Counts the attempt as a test if the quarantine allows the request as one only.
  /// Returns why it must not be sent; none if it may.
  std::optional<NoEndpoint> TryBeginTest(const RequestMetadata& aRequest,
                                         Attempt& aAttempt,
                                         timing::Instant aNow);
  /// Chooses an endpoint; for a request with a suspected cause preferably the one to
  /// which all with that cause go, and none that has a request with another one.
  Choice ChooseApart(const Admission& aAdmission,
                     const std::vector<ids::EndpointId>& aTried,
                     std::optional<std::uint64_t> aSuspectedCause,
                     timing::Instant aNow);
  /// Refuses a request for which IsQuarantined() is true.
  Refusal RefuseQuarantined(const Route& aRoute,
                            const RequestMetadata& aMetadata,
                            timing::Instant aNow);
  /// Returns when a caller should retry for which all engines are full.
  std::chrono::milliseconds RetryAfterFull(const Admission& aAdmission,
                                           const Choice& aChoice,
                                           timing::Instant aNow);
  /// Returns how long before this request its caller made its first attempt, if it was
  /// refused before; else 0.
  timing::Duration EarlierAttempts(const RequestMetadata& aMetadata,
                                   timing::Instant aNow) const;
  /// Remembers a request to an engine that is refused now.
  void RecordRefusal(const RequestMetadata& aMetadata,
                     timing::Instant aFirst,
                     timing::Instant aNow);
  /// Records how the response to an attempt ended, for the limit of its endpoint.
  void RecordOutcome(const Endpoint& aEndpoint,
                     const Attempt& aAttempt,
                     AttemptEnd aEnd,
                     timing::Instant aNow);
  /// Adds an attempt to the load of its endpoint.
  static void RecordStart(Endpoint& aEndpoint, const Attempt& aAttempt);
  /// Returns the service of a request of the route, null if none has a weight.
  const ids::ServiceId* PickService(const Route& aRoute);
  /// Returns how many requests for the same model and adapter, or the same service, the
  /// other entries send between two peer reports if each receives them at this entry's
  /// rate.
  double UnreportedRequests(const Admission& aAdmission, timing::Instant aNow) const;

  EndpointChooser mChooser;
  std::shared_ptr<const ServingConfiguration> mConfiguration;
  std::size_t mEntries{ 1 };
  timing::Duration mPeerReportInterval{ 0 };
  /// Request rates of the services that have no models.
  DemandMeter mServiceDemand;
  EnginePolicy mEnginePolicy;
  std::mt19937_64 mRandom;
  SuspectAttempts mSuspectAttempts;
  std::uint64_t mQuarantineRefusals{ 0 };
  std::optional<StopSchedule> mStop;
  /// Weight of accounts that state no rate.
  double mDefaultWeight{ 1.0 };
};

}

#endif
