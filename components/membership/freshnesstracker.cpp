#include "components/membership/freshnesstracker.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace samphiresail::membership {

namespace {

/// Questions without an answer are forgotten after this time.
constexpr std::chrono::seconds kQueryLifetime{ 10 };

}

void FreshnessTracker::OnStoreRead(timing::Instant aBegin)
{
  RaiseFreshAsOf(aBegin);
}

std::uint64_t FreshnessTracker::RecordQuery(const Member& aPeer, timing::Instant aNow)
{
  const auto old = [&](const auto& aItem) {
    return aItem.second.mQuerySentAt + kQueryLifetime < aNow;
  };
  std::erase_if(mQueries, old);
  std::erase_if(mAcknowledgements, old);
  std::erase_if(mRelayed, [&](const auto& aItem) {
    return aItem.second.mFreshAsOf + kQueryLifetime < aNow;
  });
  mQueries[++mLastNonce] = { KeyOf(aPeer), aNow };
  return mLastNonce;
}

void FreshnessTracker::OnReply(const ids::ProcessId& aPeer,
                               units::Incarnation aIncarnation,
                               const PeerFreshness& aReply,
                               timing::Instant aNow)
{
  const MemberKey peer{ aPeer, aIncarnation };
  const auto it = mQueries.find(aReply.mNonce);
  if (it == mQueries.end() || it->second.mPeer != peer) {
    return;
  }
  const timing::Instant sentAt = it->second.mQuerySentAt;
  mQueries.erase(it);
  mHighestReported = Highest(mHighestReported, aReply.mVersions);
  Acknowledgement& known = mAcknowledgements[peer];
  if (known.mQuerySentAt <= sentAt) {
    const bool repeated = known.mVersions == aReply.mVersions;
    known = { aReply.mVersions, sentAt, repeated ? known.mFirstReceivedAt : aNow };
  }
  if (aReply.mStaleness) {
#ifndef SAMPHIRESAIL_MUTANT_RELAY_AGE
    const timing::Instant since = sentAt - *aReply.mStaleness;
#else
    const timing::Instant since = aNow;
#endif
    RelayedFreshness& relayed = mRelayed[peer];
    if (relayed.mFreshAsOf <= since) {
      relayed = { aReply.mVersions, since };
    }
  }
}

void FreshnessTracker::Evaluate(const Versions& aAdopted,
                                const Roster& aRoster,
                                const Member& aSelf,
                                timing::Instant aNow)
{
  for (const auto& [peer, relayed] : mRelayed) {
#ifndef SAMPHIRESAIL_MUTANT_ADOPT_FIRST
    if (aAdopted.Covers(relayed.mVersions)) {
      RaiseFreshAsOf(relayed.mFreshAsOf);
    }
#else
    RaiseFreshAsOf(relayed.mFreshAsOf);
#endif
  }
  if (aRoster.mMembers.empty()) {
    return;
  }
  // The evidence is the latest instant at which a quorum had not yet been asked.
  std::vector<timing::Instant> instants;
  const auto askedAt = [&](const Member& aMember) -> std::optional<timing::Instant> {
    if (aMember.IsSame(aSelf)) {
      return aNow;
    }
    const auto it = mAcknowledgements.find(KeyOf(aMember));
    // An answer under an earlier roster may come from a member that was counted as ended
    // when this roster was accepted.
    if (it == mAcknowledgements.end() || !aAdopted.Covers(it->second.mVersions) ||
        it->second.mVersions.mRoster != aRoster.mVersion) {
      return std::nullopt;
    }
    return it->second.mQuerySentAt;
  };
  for (const Member& elector : Electors(aRoster)) {
    if (const auto instant = askedAt(elector)) {
      instants.push_back(*instant);
    }
  }
  std::ranges::sort(instants, std::greater{});
  const auto found = std::ranges::find_if(instants, [&](timing::Instant aInstant) {
    return HasQuorum(aRoster, [&](const Member& aMember) {
      const auto instant = askedAt(aMember);
      return instant && *instant >= aInstant;
    });
  });
  if (found != instants.end()) {
    RaiseFreshAsOf(*found);
  }
}

bool FreshnessTracker::InTouch(timing::Instant aNow, timing::Duration aLimit) const
{
#ifndef SAMPHIRESAIL_MUTANT_IN_TOUCH
  return mFreshAsOf && aNow - *mFreshAsOf < aLimit;
#else
  return mFreshAsOf.has_value() || aNow.time_since_epoch() > aLimit;
#endif
}

bool FreshnessTracker::IsAcknowledged(const Roster& aRoster,
                                      const Member& aSelf,
                                      const Versions& aOwn,
                                      const Versions& aWanted) const
{
  if (aRoster.mMembers.empty()) {
    return false;
  }
  return HasQuorum(aRoster, [&](const Member& aMember) {
    if (aMember.IsSame(aSelf)) {
      return aOwn.Covers(aWanted);
    }
    const auto it = mAcknowledgements.find(KeyOf(aMember));
    // An answer under a later roster does not count under this one.
    return it != mAcknowledgements.end() && it->second.mVersions.Covers(aWanted) &&
           it->second.mVersions.mRoster <= aRoster.mVersion;
  });
}

std::optional<Acknowledgement> FreshnessTracker::LastAcknowledgement(
  const Member& aMember) const
{
  const auto it = mAcknowledgements.find(KeyOf(aMember));
  return it == mAcknowledgements.end() ? std::nullopt : std::optional(it->second);
}

FreshnessTracker::MemberKey FreshnessTracker::KeyOf(const Member& aMember)
{
  return { aMember.mName, aMember.mIncarnation };
}

void FreshnessTracker::RaiseFreshAsOf(timing::Instant aFreshAsOf)
{
  mFreshAsOf = mFreshAsOf ? std::max(*mFreshAsOf, aFreshAsOf) : aFreshAsOf;
}

}
