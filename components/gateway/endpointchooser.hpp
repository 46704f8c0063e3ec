#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTCHOOSER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTCHOOSER_HPP

#include <limits>
#include <optional>
#include <random>
#include <vector>

#include "components/gateway/coldlimiter.hpp"
#include "components/gateway/endpointdirectory.hpp"
#include "components/gateway/endpointlimits.hpp"
#include "components/gateway/enginememory.hpp"
#include "components/gateway/enginemodel.hpp"
#include "components/gateway/loadspread.hpp"
#include "components/gateway/promptcacheestimate.hpp"
#include "components/gateway/requestmetadata.hpp"
#include "components/gateway/servingconfiguration.hpp"
#include "components/gateway/streampace.hpp"

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
  /// All that hold what the request needs asked for a pause.
  Paused,
  /// All are full or in cold start.
  Full,
  /// Endpoints end under the request.
  Quarantined,
  /// Endpoints end under a part of the prompt or another one; another request tests
  /// which.
  SuspectTested,
  /// Endpoints may have ended under a part of the request, the last one just now.
  Suspected,
  /// This process stops, and the request would not end before that.
  Stopping,
  /// The stream would not end before its caller's timeout.
  TooLate,
};

/// An attempt of a request at an endpoint, and what it adds to the endpoint's load.
struct Attempt
{
  ids::EndpointId mEndpoint;
  /// Incarnation of the endpoint when it was chosen.
  std::int64_t mIncarnation{ 0 };
  timing::Instant mSentAt{};
  EngineLoad mLoad;
  /// Only for engines.
  EngineForecast mForecast;
  /// Load of all entries at the endpoint when it was chosen, without this attempt.
  EngineLoad mLoadWhenChosen;
  /// Tokens at the beginning of the prompt that the engine is expected to keep.
  double mKeptTokens{ 0.0 };
  /// No response has begun to arrive.
  bool mUnanswered{ true };
  /// When the last event of its stream arrived; none before the first one.
  std::optional<timing::Instant> mLastEventAt;
  /// Target latency; 0 if the endpoint's responses are not judged by it.
  Milliseconds mTarget{ 0 };
  /// The response was later than its target, or paused for longer than it may.
  bool mLate{ false };
  /// RequestIdentity() of the request if endpoints had ended under it or a part of it
  /// when the attempt began, else 0.
  std::uint64_t mSuspect{ 0 };
  /// Causes in quarantine that the attempt tells from each other.
  std::vector<std::uint64_t> mTested;
  /// The request has all causes of the verdicts on mTested.
  bool mFullTest{ false };
  /// The request was sent.
  bool mRequestSent{ false };
};

struct Choice
{
  /// Null if there is none; then mReason is the reason.
  Endpoint* mEndpoint{ nullptr };
  NoEndpoint mReason{ NoEndpoint::NoneUsable };
  Attempt mAttempt;
  /// If mReason is Full or Paused: the time until the first endpoint can take the
  /// request, by the forecast or by the end of its pause. None if the endpoints that are
  /// full have no forecast.
  std::optional<Milliseconds> mFreeAfter;
};

/// Which inputs the choice of an engine uses. Experiments compare the alternatives.
struct EnginePolicy
{
  /// Engines are compared and limited by the work that they have queued, else by their
  /// requests per slot.
  bool mByWork{ true };
  /// Parts of the prompt that an engine keeps count as read.
  bool mByKeptParts{ true };
  /// Less urgent requests leave room in the engines' queues, see AllowedWait.
  bool mByUrgency{ true };
  /// No engine gets more requests than its memory holds without preemption.
  bool mByMemory{ true };
  /// Accounts that use more than their fair share leave room to the others.
  bool mByAccount{ true };
  /// Engines are compared by the pauses of their streams and by learned limits.
  bool mByPace{ true };
  /// Requests are refused by their position among those that wait at the entry.
  bool mByPosition{ true };
};

/// A request for which an endpoint is chosen.
struct RoutingRequest
{
  const Service& mService;
  const RequestMetadata& mMetadata;
  /// Endpoints that are not chosen again.
  const std::vector<ids::EndpointId>& mTried;
  bool mLatencyTolerant{ false };
  /// Longest wait at an engine.
  Milliseconds mMaxWait{ 0 };
  /// See WaitAllowance.
  Milliseconds mBehind{ 0 };
  /// Number of similar requests that the other entries send before their next peer
  /// reports.
  double mUnreported{ 0.0 };
  /// Longest pause that the route allows in a stream; 0 if it states none.
  Milliseconds mLongestPause{ 0 };
  /// Number of requests for the model that wait at the other entries, if on average as
  /// many wait at each as waited at this one lately.
  double mWaitingElsewhere{ 0.0 };
  /// If set, the endpoint is the one that all entries prefer for this cause, of those
  /// that can take the request; otherwise the load is spread.
  std::optional<std::uint64_t> mSuspectedCause;
};

/// Workload: ordinary traffic on every day, with prompts of very different lengths.
/// Chooses an endpoint that holds the request's model and adapter. Among engines it is
/// the one with the earliest forecast of the first event, and none at which the request
/// waits longer than it may. If the route limits the pauses of streams, an engine whose
/// streams are stalled comes later, and so does one at which reading would pause them for
/// too long. Among plain services the one with the fewest requests of all
/// entries relative to its slots. The entry's own availability zone is preferred while
/// that costs little time.
class EndpointChooser
{
public:
  // Requests that may be queued at an endpoint beyond its slots, as a fraction of its
  // slots.
  /// Engines, if they are limited by their slots: urgent requests.
  static constexpr double kUrgentQueueFraction = 0.1;
  /// The same for latency-tolerant requests.
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
                  const EngineModel& aModel,
                  const EngineMemory& aMemory,
                  const PromptCacheEstimate& aCache,
                  const StreamPace& aPace,
                  const EndpointLimits& aLimits,
                  ids::AvailabilityZoneId aOwnZone,
                  std::uint64_t aSeed);

  void SetEntries(std::size_t aEntries, timing::Duration aPeerReportInterval)
  {
    mEntries = aEntries;
    mPeerReportInterval = aPeerReportInterval;
  }
  void SetPolicy(const EnginePolicy& aPolicy) { mPolicy = aPolicy; }

  Choice Choose(const RoutingRequest& aRequest, timing::Instant aNow);

private:
  /// An endpoint that holds what the request needs.
  struct Candidate
  {
    Endpoint* mEndpoint{ nullptr };
    Attempt mAttempt;
    /// Until the engine has memory for the request.
    Milliseconds mWaitForRoom{ 0 };
    /// Such requests for which it has time and memory until the next peer reports.
    double mRoom{ std::numeric_limits<double>::infinity() };
    SpreadCandidate mSpread;
  };

  /// Returns true if the endpoint holds the request's model and adapter; otherwise
  /// updates the reason for finding none.
  static bool Holds(const Endpoint& aEndpoint,
                    const RoutingRequest& aRequest,
                    std::uint64_t aModelHash,
                    std::uint64_t aAdapterHash,
                    NoEndpoint& aReason);
  /// Returns the endpoint as a candidate, or none if it is full.
  std::optional<Candidate> Rate(Endpoint& aEndpoint,
                                const RoutingRequest& aRequest,
                                const std::vector<std::uint64_t>& aLeadingParts,
                                Choice& aChoice,
                                timing::Instant aNow) const;
  /// While requests wait, erases engines whose last room is left to other entries:
  /// aOthers requests see the same room before the next peer reports, and together they
  /// may only fill it.
  void LeaveRoomToOthers(double aOthers,
                         std::vector<Candidate>& aCandidates,
                         timing::Instant aNow) const;
  /// Returns the candidate that all entries prefer for the cause.
  static Candidate& PreferredFor(std::uint64_t aCause,
                                 std::vector<Candidate>& aCandidates,
                                 timing::Instant aNow);
  /// Penalty of outliers and of unreachable or silent endpoints, so that they are chosen
  /// last.
  static double Penalty(const Endpoint& aEndpoint, timing::Instant aNow);

  /// Delay that stands for the pauses of the streams at an engine: a stall, and reading
  /// beyond what the route's longest pause allows. It orders the engines and excludes
  /// none, since a request that finds no other engine is served better late.
  Milliseconds PauseDelay(const Endpoint& aEndpoint,
                          const EngineForecast& aForecast,
                          const RoutingRequest& aRequest,
                          timing::Instant aNow) const;

  EndpointDirectory& mDirectory;
  ColdLimiter& mCold;
  const EngineModel& mModel;
  const EngineMemory& mMemory;
  const PromptCacheEstimate& mCache;
  const StreamPace& mPace;
  const EndpointLimits& mLimits;
  ids::AvailabilityZoneId mOwnZone;
  EnginePolicy mPolicy;
  std::size_t mEntries{ 1 };
  timing::Duration mPeerReportInterval{ 0 };
  std::mt19937_64 mRandom;
  /// Distinguishes this entry's draws from those of the others.
  std::uint64_t mSeed{ 0 };
};

}

#endif
