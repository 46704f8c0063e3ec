#include "apps/samphiresail/entry/control/entrycore.hpp"

#include <algorithm>
#include <utility>

namespace samphiresail::entry {

namespace {

/// A stop does not wait longer for the roster to change.
constexpr std::chrono::seconds kLeaveTimeout{ 6 };
/// A new entry does not wait longer for holders of rate credit before it is ready.
constexpr std::chrono::seconds kCreditTimeout{ 5 };

}

EntryCore::EntryCore(ControlSettings aSettings, limits::CreditPool& aPool)
  : mState(std::move(aSettings))
  , mOutbox(mState.Self())
  , mRightsHolder(mState.Self().mName,
                  mState.Self().mIncarnation,
                  mState.mSettings.mTimes)
  , mPermitHolder(mState.Self().mName,
                  mState.Self().mIncarnation,
                  mState.mSettings.mTimes.mInTouch,
                  mState.mSettings.mPermitLife)
  , mPoller(mState, mOutbox)
  , mFreshness(mState, mOutbox)
  , mRegistration(mState, mOutbox)
  , mRosterKeeper(mState, mOutbox)
  , mRightsKeeper(mState, mOutbox, mRightsHolder)
  , mCredit(mState, mOutbox, mRightsHolder, aPool)
  , mPermits(mState, mOutbox, mPermitHolder)
{
}

Actions EntryCore::Tick(timing::Instant aNow)
{
  mPoller.Tick(aNow);
  mRegistration.Tick(aNow);
  mRosterKeeper.Tick(aNow);
  mRightsKeeper.Tick(aNow);
  AdoptRights(aNow);
  mFreshness.Tick(mRosterKeeper.WantsAnswers(aNow) || mRightsKeeper.WantsAnswers(), aNow);
  mCredit.Tick(aNow);
  mPermits.Tick(aNow);
  TickStop(aNow);
  return Finish(aNow);
}

Actions EntryCore::OnDemand(timing::Instant aNow)
{
  mCredit.Tick(aNow);
  return Finish(aNow);
}

Actions EntryCore::OnPeer(const std::string& aRoute,
                          const wire::Envelope& aEnvelope,
                          timing::Instant aNow)
{
  Dispatch({ aRoute, aEnvelope }, aNow);
  return Finish(aNow);
}

void EntryCore::Dispatch(const PeerMessage& aMessage, timing::Instant aNow)
{
  switch (aMessage.mEnvelope.body_case()) {
    case wire::Envelope::kFreshness:
      return mFreshness.OnQuestion(aMessage, aNow);
    case wire::Envelope::kFreshnessReply:
      return mFreshness.OnAnswer(aMessage, aNow);
    case wire::Envelope::kRecordRequest:
      return mFreshness.OnRecordRequest(aMessage);
    case wire::Envelope::kRecordReply:
      return mFreshness.OnRecordReply(aMessage);
    case wire::Envelope::kCreditRequest:
      return mCredit.OnRequest(aMessage, aNow);
    case wire::Envelope::kCreditGrant:
      return mCredit.OnGrant(aMessage, aNow);
    case wire::Envelope::kCreditRefund:
      return mCredit.OnRefund(aMessage, aNow);
    case wire::Envelope::kPermitRequest:
      return mPermits.OnRequest(aMessage, aNow);
    case wire::Envelope::kPermitGrant:
      return mPermits.OnGrant(aMessage, aNow);
    case wire::Envelope::kPermitRelease:
      return mPermits.OnRelease(aMessage);
    default:
      return;
  }
}

Actions EntryCore::OnStoreReply(std::uint64_t aId,
                                const store::StoreReply& aReply,
                                timing::Instant aNow)
{
  const auto call = mOutbox.Finish(aId);
  if (!call) {
    return Finish(aNow);
  }
  switch (call->mPurpose) {
    case StorePurpose::WriteRoster:
      mRosterKeeper.OnReply(*call, aNow);
      mPoller.PollSoon();
      break;
    case StorePurpose::WriteRights:
      mRightsKeeper.OnReply(*call, aNow);
      mPoller.PollSoon();
      break;
    case StorePurpose::GrantLease:
    case StorePurpose::Register:
    case StorePurpose::KeepLease:
    case StorePurpose::RevokeLease:
      mRegistration.OnReply(*call, aReply, aNow);
      break;
    default:
      mPoller.OnReply(*call, aReply, aNow);
      break;
  }
  return Finish(aNow);
}

Actions EntryCore::OnVms(const std::vector<membership::ListedVm>& aList,
                         timing::Instant aNow)
{
  std::vector<ids::VmId> wanted;
  for (const auto& [name, entry] : mState.mEntries) {
    wanted.push_back(entry.mVm);
  }
  for (const membership::Member& elector : membership::Electors(mState.mRoster)) {
    wanted.push_back(elector.mVm);
  }
  mState.mVms.OnVmList(aList, wanted, aNow);
  mState.mChanged = true;
  return Finish(aNow);
}

Actions EntryCore::RequestPermit(std::uint64_t aId, timing::Instant aNow)
{
  mPermits.Request(aId, aNow);
  return Finish(aNow);
}

Actions EntryCore::ReleasePermit(const std::string& aPermit, timing::Instant aNow)
{
  mPermits.Release(aPermit, aNow);
  return Finish(aNow);
}

Actions EntryCore::BeginStop(timing::Instant aNow)
{
  mStopping = true;
  mRightsHolder.Stop();
  mPermitHolder.Stop();
  mRightsKeeper.BeginHandOver(aNow);
  return Tick(aNow);
}

Actions EntryCore::Leave(timing::Instant aNow)
{
  mState.mLeaving = true;
  mLeaveBegan = aNow;
  mRegistration.Leave(aNow);
  return Tick(aNow);
}

void EntryCore::TickStop(timing::Instant aNow)
{
  if (mStopping && !mHandOverDone && mRightsKeeper.IsHandOverDone(aNow)) {
    mHandOverDone = true;
    mOutbox.Add(HandOverDone{});
  }
  if (!mLeaveBegan || mLeaveDone) {
    return;
  }
  const auto electors = membership::Electors(mState.mRoster);
  const bool last = std::ranges::none_of(mState.mEntries, [&](const auto& aItem) {
    return !aItem.second.IsSame(mState.Self());
  });
  const bool left =
    mRegistration.HasLeft() && (last || !membership::Contains(electors, mState.Self()));
  if (left || aNow - *mLeaveBegan >= kLeaveTimeout) {
    mLeaveDone = true;
    mOutbox.Add(LeaveDone{});
  }
}

void EntryCore::AdoptRights(timing::Instant aNow)
{
  const membership::Versions versions = mState.Versions();
  if (mState.mConfiguration && versions != mRightsBasis) {
    mRightsBasis = versions;
    const catalogue::Catalogue& catalogue = mState.mConfiguration->mCatalogue;
    mRightsHolder.Adopt(mState.mRights, mRightsKeeper.Accepted(), catalogue, aNow);
    mPermitHolder.Adopt(
      mState.mRights, mRightsKeeper.Accepted(), catalogue.mWeightStore, aNow);
  }
  mRightsHolder.Tick(mRightsKeeper.Accepted(), aNow);
  mPermitHolder.Tick(mRightsKeeper.Accepted(), aNow);
}

Actions EntryCore::Finish(timing::Instant aNow)
{
  if (mState.mRosterRecord.mVersion != mRosterSeen) {
    mRosterSeen = mState.mRosterRecord.mVersion;
    mState.mRosterAdoptedAt = aNow;
  }
  AdoptRights(aNow);
  mState.mFreshnessTracker.Evaluate(
    mState.Versions(), mState.mRoster, mState.Self(), aNow);
  mOutbox.SetVersions(mState.Versions());
  NoteCredit(aNow);
  Publish();
  return mOutbox.Take();
}

void EntryCore::NoteCredit(timing::Instant aNow)
{
  if (mState.mHasCredit || !mState.mConfiguration || !mState.InTouch(aNow)) {
    return;
  }
  if (!mCreditAwaitedSince) {
    mCreditAwaitedSince = aNow;
  }
  const bool granted =
    mState.RightsCoverAccounts() && mRightsKeeper.Accepted() >= mState.mRights.mVersion;
  if (granted || aNow - *mCreditAwaitedSince >= kCreditTimeout) {
    mState.mHasCredit = true;
    mState.mChanged = true;
  }
}

void EntryCore::Publish()
{
  if (!mState.mWithdrawn.empty()) {
    mOutbox.Add(WithdrawKeys{ std::exchange(mState.mWithdrawn, {}) });
  }
  if (std::exchange(mState.mChanged, false)) {
    mOutbox.Add(PublishSnapshot{ mState.MakeSnapshot() });
  }
  // After the snapshot: evidence must not be stated before what it covers is in force.
  if (mState.mFreshnessTracker.FreshAsOf() != mPublishedEvidence) {
    mPublishedEvidence = mState.mFreshnessTracker.FreshAsOf();
    mOutbox.Add(PublishEvidence{ *mPublishedEvidence });
  }
}

}
