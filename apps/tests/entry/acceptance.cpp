#include "apps/tests/entry/acceptance.hpp"

#include <algorithm>

#include "components/store/storekeys.hpp"

namespace samphiresail::tests {

using membership::Member;
using membership::Versions;

Acceptance::Acceptance(Fleet& aFleet)
  : mFleet(aFleet)
{
  mAccepted[timing::Instant()] = {};
}

void Acceptance::Observe()
{
  for (const Node& node : mFleet.Nodes()) {
    if (node.mAlive) {
      const std::pair key{ node.mMember.mName, node.mMember.mIncarnation };
      Versions& held = mHeld[key];
      const Versions now = node.mCore->State().Versions();
      if (!now.Covers(held)) {
        mViolations.push_back(node.mMember.mName.Str() + " went back to older versions");
      }
      held = now;
    }
  }
  NoteAccepted();
  for (std::size_t i = 0; i < mFleet.Nodes().size(); ++i) {
    CheckNode(i);
  }
}

void Acceptance::NoteAccepted()
{
  const auto roster = membership::DecodeRoster(mFleet.Store().Value(store::kRosterKey));
  if (!roster || roster->mMembers.empty()) {
    return;
  }
  const auto highest = [&](units::Version Versions::*aField) {
    units::Version best;
    for (const auto& [key, held] : mHeld) {
      const units::Version version = held.*aField;
      const bool accepted = membership::HasQuorum(*roster, [&](const Member& aMember) {
        const auto it = mHeld.find({ aMember.mName, aMember.mIncarnation });
        return it != mHeld.end() && it->second.*aField >= version;
      });
      best = accepted ? std::max(best, version) : best;
    }
    return best;
  };
  const Versions& last = mAccepted.rbegin()->second;
  const Versions now = Highest(
    last, { highest(&Versions::mConfiguration), {}, highest(&Versions::mRights) });
  if (now != last) {
    mAccepted[mFleet.Now()] = now;
  }
}

units::Version Acceptance::AcceptedBefore(timing::Instant aInstant) const
{
  return std::prev(mAccepted.lower_bound(aInstant))->second.mConfiguration;
}

void Acceptance::CheckNode(std::size_t aNode)
{
  if (!mFleet.Serves(aNode)) {
    return;
  }
  const Node& node = mFleet.Nodes()[aNode];
  const Versions known = std::prev(mAccepted.lower_bound(*node.mEvidence))->second;
  const Versions held = node.mSnapshot->mVersions;
  if (held.mConfiguration < known.mConfiguration || held.mRights < known.mRights) {
    mViolations.push_back(node.mMember.mName.Str() + " serves configuration " +
                          std::to_string(held.mConfiguration.Count()) + " after " +
                          std::to_string(known.mConfiguration.Count()) +
                          " was accepted, rights " +
                          std::to_string(held.mRights.Count()) + " after " +
                          std::to_string(known.mRights.Count()));
  }
}

}
