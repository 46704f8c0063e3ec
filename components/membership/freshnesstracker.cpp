#include "components/membership/freshnesstracker.hpp"

#include <algorithm>
#include <functional>
#include <vector>

namespace samphiresail::membership {

namespace {

/// Queries without a reply and recorded replies are erased after this time.
constexpr std::chrono::seconds kQueryLifetime{ 10 };

}

void FreshnessTracker::OnStoreRead(timing::Instant aBegin)
{
  RaiseFreshAsOf(aBegin);
}

std::uint64_t FreshnessTracker::RecordQuery(const Member& aPeer, timing::Instant aNow)
{
  const auto isExpired = [&](const auto& aItem) {
    return aItem.second.mQuerySentAt + kQueryLifetime < aNow;
  };
  std::erase_if(mQueries, isExpired);
  std::erase_if(mAcknowledgements, isExpired);
  std::erase_if(mRelayed, [&](const auto& aItem) {
    return aItem.second.mFreshAsOf + kQueryLifetime < aNow;
  });
  mQueries[++mLastNonce] = { MemberKeyOf(aPeer), aNow };
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
  Acknowledgement& acknowledgement = mAcknowledgements[peer];
  if (acknowledgement.mQuerySentAt <= sentAt) {
    const bool isUnchanged = acknowledgement.mVersions == aReply.mVersions;
    acknowledgement = { aReply.mVersions,
                        sentAt,
                        isUnchanged ? acknowledgement.mFirstReceivedAt : aNow };
  }
  if (aReply.mStaleness) {
#ifndef SAMPHIRESAIL_MUTANT_RELAY_AGE
    const timing::Instant freshAsOf = sentAt - *aReply.mStaleness;
#else
    const timing::Instant freshAsOf = aNow;
#endif
    RelayedFreshness& relayed = mRelayed[peer];
    if (relayed.mFreshAsOf <= freshAsOf) {
      relayed = { aReply.mVersions, freshAsOf };
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
  // If a quorum replied to queries sent at or after an instant, and the versions in its
  // replies are adopted, then every change accepted before that instant is adopted. Take
  // the latest such instant.
  std::vector<timing::Instant> instants;
  const auto querySentAt = [&](const Member& aMember) -> std::optional<timing::Instant> {
    if (aMember.IsSame(aSelf)) {
      return aNow;
    }
    const auto it = mAcknowledgements.find(MemberKeyOf(aMember));
    // A reply under an earlier roster may come from a member that was already considered
    // ended when this roster was accepted.
    if (it == mAcknowledgements.end() || !aAdopted.Covers(it->second.mVersions) ||
        it->second.mVersions.mRoster != aRoster.mVersion) {
      return std::nullopt;
    }
    return it->second.mQuerySentAt;
  };
  for (const Member& elector : Electors(aRoster)) {
    if (const auto instant = querySentAt(elector)) {
      instants.push_back(*instant);
    }
  }
  std::ranges::sort(instants, std::greater{});
  const auto found = std::ranges::find_if(instants, [&](timing::Instant aInstant) {
    return HasQuorum(aRoster, [&](const Member& aMember) {
      const auto instant = querySentAt(aMember);
      return instant && *instant >= aInstant;
    });
  });
  if (found != instants.end()) {
    RaiseFreshAsOf(*found);
  }
}

bool FreshnessTracker::InTouch(timing::Instant aNow, timing::Duration aMaxStaleness) const
{
#ifndef SAMPHIRESAIL_MUTANT_IN_TOUCH
  return mFreshAsOf && aNow - *mFreshAsOf < aMaxStaleness;
#else
  return mFreshAsOf.has_value() || aNow.time_since_epoch() > aMaxStaleness;
#endif
}

bool FreshnessTracker::IsAcknowledged(const Roster& aRoster,
                                      const Member& aSelf,
                                      const Versions& aOwn,
                                      const Versions& aRequired) const
{
  if (aRoster.mMembers.empty()) {
    return false;
  }
  return HasQuorum(aRoster, [&](const Member& aMember) {
    if (aMember.IsSame(aSelf)) {
      return aOwn.Covers(aRequired);
    }
    const auto it = mAcknowledgements.find(MemberKeyOf(aMember));
    // A reply under a later roster does not count under this one.
    return it != mAcknowledgements.end() && it->second.mVersions.Covers(aRequired) &&
           it->second.mVersions.mRoster <= aRoster.mVersion;
  });
}

std::optional<Acknowledgement> FreshnessTracker::LastAcknowledgement(
  const Member& aMember) const
{
  const auto it = mAcknowledgements.find(MemberKeyOf(aMember));
  return it == mAcknowledgements.end() ? std::nullopt : std::optional(it->second);
}

FreshnessTracker::MemberKey FreshnessTracker::MemberKeyOf(const Member& aMember)
{
  return { aMember.mName, aMember.mIncarnation };
}

void FreshnessTracker::RaiseFreshAsOf(timing::Instant aFreshAsOf)
{
  mFreshAsOf = mFreshAsOf ? std::max(*mFreshAsOf, aFreshAsOf) : aFreshAsOf;
}

}
