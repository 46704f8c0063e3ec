#include "apps/samphiresail/entry/control/rosterkeeper.hpp"

#include "components/store/storekeys.hpp"

namespace samphiresail::entry {

using membership::Member;
using membership::Roster;
using membership::Versions;

namespace {

constexpr std::chrono::seconds kWriteTimeout{ 5 };

}

RosterKeeper::RosterKeeper(ControlState& aState, Outbox& aOutbox)
  : mState(aState)
  , mOutbox(aOutbox)
{
}

void RosterKeeper::Tick(timing::Instant aNow)
{
  if (mWriteBegan && aNow - *mWriteBegan >= kWriteTimeout) {
    mWriteBegan.reset();
  }
  // Decides only on a read of the store that began after the last write ended.
  const bool hasRead = mState.mLastStoreRead && *mState.mLastStoreRead >= mWriteEnded &&
                       mState.InTouch(aNow) && mState.mRosterRecord.InStore();
  if (mWriteBegan || !hasRead || !mState.IsPlanner(aNow)) {
    return;
  }
  const std::optional<Roster> next = Next(aNow);
  if (!next) {
    return;
  }
  mWriteBegan = aNow;
  const store::TransactionRequest write{
    { { store::kRosterKey, mState.mRosterRecord.mStoreRevision } },
    { store::PutOperation{ store::kRosterKey, membership::EncodeRoster(*next), 0 } }
  };
  mOutbox.Call(StorePurpose::WriteRoster, write, aNow);
}

std::optional<Roster> RosterKeeper::Next(timing::Instant aNow) const
{
  const Roster& roster = mState.mRoster;
  if (roster.mMembers.empty()) {
    return Roster{ units::Version(1), { mState.Self() }, {}, true };
  }
  if (!roster.mAccepted) {
    return MayAccept(aNow) ? std::optional(membership::AcceptedRoster(roster))
                           : std::nullopt;
  }
  std::vector<Member> entries;
  for (const auto& [name, entry] : mState.mEntries) {
    entries.push_back(entry);
  }
  return membership::PlanRoster(
    roster, entries, [&](const Member& aMember) { return mState.IsLive(aMember, aNow); });
}

bool RosterKeeper::MayAccept(timing::Instant aNow) const
{
  const Roster& roster = mState.mRoster;
  const Versions own = mState.Versions();
  const Versions rosterOnly{ {}, own.mRoster, {} };
  const bool previous = HasMajority(roster.mPrevious, [&](const Member& aMember) {
#ifndef SAMPHIRESAIL_MUTANT_OLD_MAJORITY
    return mState.HasEnded(aMember, aNow) || HasAcknowledged(aMember, rosterOnly);
#else
    return true;
#endif
  });
  // What an elector stated, and what the store held after it did, is what may have been
  // accepted before; the new majority must hold all of it. A member that has ended never
  // answers under this roster, so it cannot stand in the place of one that holds it.
  return previous && own.Covers(mState.mFreshnessTracker.HighestReported()) &&
         HasMajority(roster.mMembers, [&](const Member& aMember) {
           return mState.HasEnded(aMember, aNow) || HasAcknowledged(aMember, own);
         });
}

bool RosterKeeper::HasAcknowledged(const Member& aMember, const Versions& aWanted) const
{
  if (aMember.IsSame(mState.Self())) {
    return true;
  }
  const auto last = mState.mFreshnessTracker.LastAcknowledgement(aMember);
  return last && last->mVersions.Covers(aWanted) &&
         last->mFirstReceivedAt <= *mState.mLastStoreRead;
}

bool RosterKeeper::WantsAnswers(timing::Instant aNow) const
{
  return !mState.mRoster.mAccepted && mState.IsPlanner(aNow);
}

void RosterKeeper::OnReply(const PendingCall& aCall, timing::Instant aNow)
{
  if (mWriteBegan == aCall.mBegin) {
    mWriteBegan.reset();
    mWriteEnded = aNow;
  }
}

}
