#include "apps/samphiresail/entry/control/rightskeeper.hpp"

#include <algorithm>
#include <set>

#include "components/store/storekeys.hpp"

namespace samphiresail::entry {

using limits::HolderCandidate;
using limits::ShareRecord;

namespace {

constexpr std::chrono::seconds kWriteTimeout{ 5 };
/// A stop does not wait longer for a store that is down.
constexpr std::chrono::seconds kHandOverTimeout{ 5 };

constexpr std::chrono::seconds kFirstPlanDelay{ 2 };

}

RightsKeeper::RightsKeeper(ControlState& aState,
                           Outbox& aOutbox,
                           const limits::ShareHolder& aHolder)
  : mState(aState)
  , mOutbox(aOutbox)
  , mHolder(aHolder)
{
}

void RightsKeeper::Tick(timing::Instant aNow)
{
  NoteAccepted(aNow);
  if (mWriteBegan && aNow - *mWriteBegan >= kWriteTimeout) {
    mWriteBegan.reset();
  }
  if (mWriteBegan || !mState.mLastStoreRead || *mState.mLastStoreRead < mWriteEnded ||
      !mState.InTouch(aNow) || !mState.mRightsRecord.InStore()) {
    return;
  }
  const std::optional<ShareRecord> next = mHandOverBegan ? NextAtStop(aNow) : Next(aNow);
  if (!next) {
    return;
  }
  mWriteBegan = aNow;
  const store::TransactionRequest write{
    { { store::kRightsKey, mState.mRightsRecord.mStoreRevision } },
    { store::PutOperation{ store::kRightsKey, limits::EncodeShareRecord(*next), 0 } }
  };
  mOutbox.Call(StorePurpose::WriteRights, write, aNow);
}

std::optional<ShareRecord> RightsKeeper::Next(timing::Instant aNow)
{
  if (!mState.mConfiguration || !mState.IsPlanner(aNow)) {
    return std::nullopt;
  }
  const std::vector<HolderCandidate> candidates = Candidates(aNow);
  if (mState.mRights.mShares.empty() && AwaitsEntries(candidates, aNow)) {
    return std::nullopt;
  }
  return limits::PlanShares(
    mState.mRights, mState.mConfiguration->mCatalogue, candidates, mSettled);
}

bool RightsKeeper::AwaitsEntries(const std::vector<HolderCandidate>& aCandidates,
                                 timing::Instant aNow)
{
  mFirstPlan = mFirstPlan.value_or(aNow);
  std::set<ids::AvailabilityZoneId> zones;
  for (const HolderCandidate& candidate : aCandidates) {
    zones.insert(candidate.mAvailabilityZone);
  }
  return zones.size() < mState.mConfiguration->mCatalogue.mAvailabilityZones.size() &&
         aNow - *mFirstPlan < kFirstPlanDelay;
}

std::optional<ShareRecord> RightsKeeper::NextAtStop(timing::Instant aNow) const
{
  const membership::Member& self = mState.Self();
  return limits::PlanShareTransfer(
    mState.mRights,
    { self.mName, self.mIncarnation, self.mAvailabilityZone },
    Candidates(aNow),
    [&](const ids::ClientAccountId& aAccount) {
      return mHolder.IsFullyUsable(aAccount);
    });
}

std::vector<HolderCandidate> RightsKeeper::Candidates(timing::Instant aNow) const
{
  std::vector<HolderCandidate> candidates;
  for (const auto& [name, entry] : mState.mEntries) {
    if (mState.IsLive(entry, aNow) && !mState.mVms.IsLeaving(entry.mVm)) {
      candidates.push_back({ name, entry.mIncarnation, entry.mAvailabilityZone });
    }
  }
  return candidates;
}

void RightsKeeper::NoteAccepted(timing::Instant aNow)
{
  const units::Version current = mState.mRightsRecord.mVersion;
  if (mAccepted < current &&
      mState.mFreshnessTracker.IsAcknowledged(
        mState.mRoster, mState.Self(), mState.Versions(), { {}, {}, current })) {
    mAccepted = current;
    mAcceptedAt = aNow;
  }
  const limits::ShareTimes& times = mState.mSettings.mTimes;
  if (mSettled < mAccepted &&
      aNow - mAcceptedAt >= times.mInTouch + 2 * times.mGrantLife) {
    mSettled = mAccepted;
  }
}

bool RightsKeeper::WantsAnswers() const
{
  return mAccepted < mState.mRightsRecord.mVersion;
}

void RightsKeeper::BeginHandOver(timing::Instant aNow)
{
  mHandOverBegan = aNow;
}

bool RightsKeeper::IsHandOverDone(timing::Instant aNow) const
{
  if (!mHandOverBegan) {
    return false;
  }
  if (aNow - *mHandOverBegan >= kHandOverTimeout) {
    return true;
  }
  return !mWriteBegan && mState.mRightsRecord.InStore() && mState.InTouch(aNow) &&
         !NextAtStop(aNow);
}

void RightsKeeper::OnReply(const PendingCall& aCall, timing::Instant aNow)
{
  if (mWriteBegan == aCall.mBegin) {
    mWriteBegan.reset();
    mWriteEnded = aNow;
  }
}

}
