#include "components/gateway/endpointchooser.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "components/gateway/demandmeter.hpp"
#include "components/random/rendezvous.hpp"

namespace samphiresail::gateway {

namespace {

/// Penalties, in requests per slot, of outliers and of unreachable endpoints.
constexpr double kOutlierPenalty = 4.0;
constexpr double kUnreachablePenalty = 8.0;
/// Delay that a penalty of one request per slot stands for when engines are compared by
/// their forecasts. It also weighs the requests that an engine generates for: they slow
/// each other down without delaying a first event.
constexpr Milliseconds kDelayPerSlotUnit{ 100.0 };
/// Fraction of the longest pause that reading may take without a penalty; the rest is for
/// the engine's steps and for prompts that other entries send meanwhile.
constexpr double kFreePauseFraction = 0.5;
/// Delay for each millisecond of reading beyond that: it pauses all streams of the
/// engine.
constexpr double kPauseWeight = 2.0;
/// Weight of penalties of endpoints that fail, which exceeds every wait that is allowed.
constexpr double kFailurePenaltyFactor = 10.0;

EngineCapacity CapacityOf(const Endpoint& aEndpoint, const EngineSpec& aSpec)
{
  return { std::max(1U, aEndpoint.mReport.mSlots), aSpec.mMemoryTokens };
}

}

EndpointChooser::EndpointChooser(EndpointDirectory& aDirectory,
                                 ColdLimiter& aCold,
                                 const EngineModel& aModel,
                                 const EngineMemory& aMemory,
                                 const PromptCacheEstimate& aCache,
                                 const StreamPace& aPace,
                                 const EndpointLimits& aLimits,
                                 ids::AvailabilityZoneId aOwnZone,
                                 std::uint64_t aSeed)
  : mDirectory(aDirectory)
  , mCold(aCold)
  , mModel(aModel)
  , mMemory(aMemory)
  , mCache(aCache)
  , mPace(aPace)
  , mLimits(aLimits)
  , mOwnZone(std::move(aOwnZone))
  , mRandom(aSeed)
  , mSeed(aSeed)
{
}

double EndpointChooser::Penalty(const Endpoint& aEndpoint, timing::Instant aNow)
{
  double penalty = 0.0;
  if (aEndpoint.mFailureFraction > kOutlierFailureFraction) {
    penalty += kOutlierPenalty * aEndpoint.mFailureFraction;
  }
  if (aNow < aEndpoint.mAvoidUntil || aEndpoint.IsSilent(aNow)) {
    penalty += kUnreachablePenalty;
  }
  return penalty;
}

bool EndpointChooser::Holds(const Endpoint& aEndpoint,
                            const RoutingRequest& aRequest,
                            std::uint64_t aModelHash,
                            std::uint64_t aAdapterHash,
                            NoEndpoint& aReason)
{
  if (!aRequest.mService.mEngine) {
    return true;
  }
  const RequestMetadata& metadata = aRequest.mMetadata;
  if (!aEndpoint.HoldsModel(metadata.mModel) ||
      aEndpoint.mUnavailableUntil.contains(aModelHash)) {
    return false;
  }
  if (metadata.mAdapter.empty()) {
    return true;
  }
  const bool holds =
    aEndpoint.HoldsAdapter(metadata.mModel, metadata.mAdapter, aAdapterHash) &&
    !aEndpoint.mUnavailableUntil.contains(aAdapterHash);
  if (!holds && aReason == NoEndpoint::ModelAbsent) {
    aReason = NoEndpoint::AdapterAbsent;
  }
  return holds;
}

Milliseconds EndpointChooser::PauseDelay(const Endpoint& aEndpoint,
                                         const EngineForecast& aForecast,
                                         const RoutingRequest& aRequest,
                                         timing::Instant aNow) const
{
  if (aRequest.mLongestPause <= Milliseconds(0)) {
    return Milliseconds(0);
  }
  const Milliseconds stall = mPace.Stall(aEndpoint.mReport.mId, aNow);
  const Milliseconds excess = stall + aForecast.mWait + aForecast.mRead -
                              kFreePauseFraction * aRequest.mLongestPause;
  return stall + kPauseWeight * std::max(excess, Milliseconds(0));
}

std::optional<EndpointChooser::Candidate> EndpointChooser::Rate(
  Endpoint& aEndpoint,
  const RoutingRequest& aRequest,
  const std::vector<std::uint64_t>& aLeadingParts,
  Choice& aChoice,
  timing::Instant aNow) const
{
  const RequestMetadata& metadata = aRequest.mMetadata;
  const bool engine = aRequest.mService.mEngine.has_value();
  const EngineLoad load = aEndpoint.Load();
  const double slots = std::max(1U, aEndpoint.mReport.mSlots);
  const double limit = mLimits.Limit(aEndpoint.mHash, aEndpoint.mReport.mSlots);
  const double zonePenalty = aEndpoint.mReport.mZone == mOwnZone ? 0.0 : kZonePenalty;
  const double penalty = Penalty(aEndpoint, aNow);
  Candidate candidate;
  candidate.mEndpoint = &aEndpoint;
  candidate.mAttempt.mLoadWhenChosen = load;
  candidate.mAttempt.mLoad.mRequests = 1;
  if (engine) {
    const EngineSpec& spec = *aRequest.mService.mEngine;
    const auto prompt = static_cast<double>(metadata.mPromptTokens);
    const auto output = static_cast<double>(metadata.mOutputTokens);
    const double kept = mPolicy.mByKeptParts ? mCache.KeptTokens(aEndpoint.mHash,
                                                                 aLeadingParts,
                                                                 metadata.mPromptParts,
                                                                 spec.mMemoryTokens,
                                                                 mEntries)
                                             : 0.0;
    EngineWork work{ metadata.mModel, std::max(prompt - kept, 0.0), prompt, output };
    if (mPolicy.mByMemory) {
      const double expected = mMemory.ExpectedTokens(work);
      work.mOutputTokens = expected - prompt;
      const double room = EngineMemory::Room(
        load, CapacityOf(aEndpoint, spec), aRequest.mBehind, mModel.SlotTime());
      candidate.mWaitForRoom =
        EngineMemory::WaitForRoom(load, room, expected, mModel.SlotTime());
      const double freed =
        load.mMemoryTokens * (ToMilliseconds(mPeerReportInterval) / mModel.SlotTime());
      candidate.mRoom = (std::max(room, 0.0) + freed) / std::max(expected, 1.0);
    }
    candidate.mAttempt.mKeptTokens = kept;
    candidate.mAttempt.mForecast = mModel.Predict(
      aEndpoint.mReport.mId, load, CapacityOf(aEndpoint, spec), work, aNow);
    candidate.mAttempt.mLoad.mUnread = mModel.ReadTime(work.mModel, work.mUnreadTokens);
    candidate.mAttempt.mLoad.mMemoryTokens = prompt + work.mOutputTokens;
  }
  if (engine && mPolicy.mByWork) {
    const EngineForecast& forecast = candidate.mAttempt.mForecast;
    const Milliseconds excess =
      std::max(forecast.mWait - aRequest.mMaxWait, candidate.mWaitForRoom);
    if (excess > Milliseconds(0)) {
      aChoice.mFreeAfter = std::min(aChoice.mFreeAfter.value_or(excess), excess);
      return std::nullopt;
    }
    const Milliseconds queue =
      aRequest.mMaxWait - forecast.mWait + ToMilliseconds(mPeerReportInterval);
    candidate.mRoom =
      std::min(candidate.mRoom, queue / std::max(forecast.mRead, Milliseconds(0.1)));
    const Milliseconds score =
      forecast.mFirstEvent + PauseDelay(aEndpoint, forecast, aRequest, aNow) +
      kDelayPerSlotUnit *
        (load.mRequests / limit + zonePenalty + kFailurePenaltyFactor * penalty);
    const Milliseconds perRequest = forecast.mRead + kDelayPerSlotUnit / limit;
    candidate.mSpread = { score.count(), 1.0 / std::max(perRequest.count(), 0.1) };
    return candidate;
  }
  const double engineQueue =
    aRequest.mLatencyTolerant ? kLatencyTolerantQueueFraction : kUrgentQueueFraction;
  const double queue = engine ? engineQueue : kPlainQueueFraction;
  if (load.mRequests >= slots * (1.0 + queue)) {
    return std::nullopt;
  }
  candidate.mSpread = { load.mRequests / limit + zonePenalty + penalty, limit };
  return candidate;
}

EndpointChooser::Candidate& EndpointChooser::PreferredFor(
  std::uint64_t aCause,
  std::vector<Candidate>& aCandidates,
  timing::Instant aNow)
{
  const std::string topic = std::to_string(aCause);
  return *std::ranges::max_element(aCandidates, {}, [&](const Candidate& aCandidate) {
    const Endpoint& endpoint = *aCandidate.mEndpoint;
    return std::pair(Penalty(endpoint, aNow) < kUnreachablePenalty,
                     random::RendezvousWeight(endpoint.mReport.mId.Str(), topic));
  });
}

void EndpointChooser::LeaveRoomToOthers(double aOthers,
                                        std::vector<Candidate>& aCandidates,
                                        timing::Instant aNow) const
{
  double rooms = 0.0;
  for (const Candidate& candidate : aCandidates) {
    rooms += std::max(candidate.mRoom, 1.0);
  }
  if (rooms >= aOthers + 1.0 || mPeerReportInterval <= timing::Duration(0)) {
    return;
  }
  // One draw for each engine and interval, as a repeated one would succeed in the end.
  const auto interval =
    static_cast<std::uint64_t>(aNow.time_since_epoch() / mPeerReportInterval);
  std::erase_if(aCandidates, [&](const Candidate& aCandidate) {
    std::mt19937_64 draw(mSeed ^ aCandidate.mEndpoint->mHash ^ interval);
    return std::uniform_real_distribution<double>(0.0, aOthers + 1.0)(draw) > rooms;
  });
}

Choice EndpointChooser::Choose(const RoutingRequest& aRequest, timing::Instant aNow)
{
  const RequestMetadata& metadata = aRequest.mMetadata;
  const bool engine = aRequest.mService.mEngine.has_value();
  const std::uint64_t model =
    engine ? HashName(DemandMeter::Name(metadata.mModel, {})) : 0;
  const std::uint64_t adapter =
    metadata.mAdapter.empty()
      ? model
      : HashName(DemandMeter::Name(metadata.mModel, metadata.mAdapter));
  const std::vector<std::uint64_t> leadingParts =
    engine ? PromptCacheEstimate::LeadingParts(adapter, metadata.mPromptParts)
           : std::vector<std::uint64_t>{};
  Choice choice;
  // End of the first pause. It says nothing of endpoints that are full.
  std::optional<Milliseconds> pause;
  std::vector<Candidate> candidates;
  for (auto& [id, endpoint] : mDirectory.All()) {
    if (endpoint.mReport.mService != aRequest.mService.mName ||
        !mDirectory.IsUsable(endpoint, aNow)) {
      continue;
    }
    const bool tried = std::ranges::count(aRequest.mTried, id) > 0;
    const bool paused = aNow < endpoint.mPausedUntil;
    if (tried && !paused) {
      continue;
    }
    if (choice.mReason == NoEndpoint::NoneUsable) {
      choice.mReason = NoEndpoint::ModelAbsent;
    }
    if (!Holds(endpoint, aRequest, model, adapter, choice.mReason)) {
      continue;
    }
    if (paused) {
      const Milliseconds left = endpoint.mPausedUntil - aNow;
      pause = std::min(pause.value_or(left), left);
      if (choice.mReason != NoEndpoint::Full) {
        choice.mReason = NoEndpoint::Paused;
      }
      continue;
    }
    choice.mReason = NoEndpoint::Full;
    const bool limited = aNow < endpoint.mColdUntil || aNow < endpoint.mRampUntil;
    if (limited &&
        !mCold.HasCapacity(id, aRequest.mService.mColdPerSecond, mEntries, aNow)) {
      continue;
    }
    if (auto candidate = Rate(endpoint, aRequest, leadingParts, choice, aNow)) {
      candidates.push_back(std::move(*candidate));
    }
  }
  if (pause && (choice.mReason == NoEndpoint::Paused || choice.mFreeAfter)) {
    choice.mFreeAfter = std::min(choice.mFreeAfter.value_or(*pause), *pause);
  }
  if (engine && mPolicy.mByMemory && aRequest.mWaitingElsewhere > 0.0) {
    LeaveRoomToOthers(aRequest.mWaitingElsewhere, candidates, aNow);
  }
  if (!candidates.empty()) {
    std::vector<SpreadCandidate> spread;
    std::ranges::transform(candidates, std::back_inserter(spread), &Candidate::mSpread);
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    Candidate& chosen =
      aRequest.mSuspectedCause
        ? PreferredFor(*aRequest.mSuspectedCause, candidates, aNow)
        : candidates[SpreadOver(spread, aRequest.mUnreported, draw(mRandom))];
    choice.mEndpoint = chosen.mEndpoint;
    choice.mAttempt = std::move(chosen.mAttempt);
    choice.mAttempt.mEndpoint = chosen.mEndpoint->mReport.mId;
    choice.mAttempt.mIncarnation = chosen.mEndpoint->mReport.mIncarnation;
    choice.mAttempt.mSentAt = aNow;
  }
  return choice;
}

}
