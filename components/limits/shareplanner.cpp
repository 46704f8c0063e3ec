#include "components/limits/shareplanner.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <tuple>

#include "components/random/rendezvous.hpp"

namespace samphiresail::limits {

namespace {

constexpr std::uint32_t kMillion = 1000000;

bool Holds(const LimitShare& aShare, const HolderCandidate& aCandidate)
{
  return aShare.mHolder == aCandidate.mName &&
         aShare.mIncarnation == aCandidate.mIncarnation;
}

bool HoldsAny(const ShareRecord& aRecord, const HolderCandidate& aCandidate)
{
  return std::ranges::any_of(
    aRecord.mShares, [&](const LimitShare& aShare) { return Holds(aShare, aCandidate); });
}

/// Picks one holder per availability zone and prefers those that hold shares already.
std::vector<HolderCandidate> PickHolders(const ShareRecord& aRecord,
                                         const std::vector<HolderCandidate>& aCandidates)
{
  std::map<ids::AvailabilityZoneId, HolderCandidate> picked;
  const auto rank = [&](const HolderCandidate& aCandidate) {
    return std::pair(HoldsAny(aRecord, aCandidate),
                     random::RendezvousWeight(aCandidate.mName.Str(),
                                              aCandidate.mAvailabilityZone.Str()));
  };
  for (const HolderCandidate& candidate : aCandidates) {
    const auto [it, isNew] = picked.try_emplace(candidate.mAvailabilityZone, candidate);
    if (!isNew && rank(candidate) > rank(it->second)) {
      it->second = candidate;
    }
  }
  std::vector<HolderCandidate> holders(picked.size());
  std::ranges::transform(
    picked, holders.begin(), [](const auto& aItem) { return aItem.second; });
  return holders;
}

/// Raises a share; its holder keeps what it has if it knows the version it has it from.
void Raise(LimitShare& aShare,
           std::uint32_t aMillionths,
           bool aReclaimed,
           units::Version aVersion)
{
  aShare.mKeptMillionths = aShare.mMillionths;
  aShare.mKeptSince = aShare.mSince;
  aShare.mMillionths = aMillionths;
  aShare.mReclaimed = aReclaimed;
  aShare.mSince = aVersion;
  aShare.mStartsFull = false;
}

LimitShare PlanShare(const ShareRecord& aCurrent,
                     const ids::ClientAccountId& aAccount,
                     const HolderCandidate& aHolder,
                     std::uint32_t aMillionths,
                     units::Version aSettled,
                     units::Version aVersion)
{
  const auto isAccount = [&](const LimitShare& aShare) {
    return aShare.mAccount == aAccount;
  };
  const auto it = std::ranges::find_if(aCurrent.mShares, [&](const LimitShare& aShare) {
    return isAccount(aShare) && Holds(aShare, aHolder);
  });
  if (it != aCurrent.mShares.end() && aMillionths <= it->mMillionths) {
    LimitShare share = *it;
    share.mMillionths = aMillionths;
    share.mReclaimed = share.mReclaimed && aSettled < share.mSince;
    return share;
  }
  if (it != aCurrent.mShares.end()) {
    LimitShare share = *it;
    Raise(share, aMillionths, true, aVersion);
    return share;
  }
  const bool first = std::ranges::none_of(aCurrent.mShares, isAccount);
  return { aAccount, aHolder.mName, aHolder.mIncarnation, aMillionths, !first,
           aVersion, first };
}

/// Moves a share to the first entry whose own share is not still waiting.
bool GiveShare(ShareRecord& aNext,
               LimitShare& aGiven,
               const std::vector<HolderCandidate>& aSuccessors)
{
  for (const HolderCandidate& successor : aSuccessors) {
    const auto held = std::ranges::find_if(aNext.mShares, [&](const LimitShare& aShare) {
      return aShare.mAccount == aGiven.mAccount && Holds(aShare, successor);
    });
    if (held == aNext.mShares.end()) {
      aGiven = { aGiven.mAccount,
                 successor.mName,
                 successor.mIncarnation,
                 aGiven.mMillionths,
                 false,
                 aNext.mVersion,
                 false };
      return true;
    }
    if (!held->mReclaimed) {
      Raise(*held, held->mMillionths + aGiven.mMillionths, false, aNext.mVersion);
      aGiven.mMillionths = 0;
      return true;
    }
  }
  return false;
}

/// Splits the permits of the weight store that may be in use at once.
std::uint32_t PermitMillionths(std::uint32_t aAtOnce,
                               std::size_t aIndex,
                               std::size_t aCount)
{
  if (aAtOnce == 0) {
    return 0;
  }
  const std::uint64_t slots = aAtOnce / aCount + (aIndex < aAtOnce % aCount ? 1 : 0);
  return static_cast<std::uint32_t>(slots * kMillion / aAtOnce);
}

void AddShares(ShareRecord& aNext,
               const ShareRecord& aCurrent,
               const ids::ClientAccountId& aAccount,
               const std::vector<HolderCandidate>& aHolders,
               units::Version aSettled,
               std::uint32_t aAtOnce)
{
  for (std::size_t i = 0; i < aHolders.size(); ++i) {
    const std::uint32_t millionths =
      aAccount.Empty() ? PermitMillionths(aAtOnce, i, aHolders.size())
                       : kMillion / static_cast<std::uint32_t>(aHolders.size());
    aNext.mShares.push_back(
      PlanShare(aCurrent, aAccount, aHolders[i], millionths, aSettled, aNext.mVersion));
  }
}

}

std::optional<ShareRecord> PlanShares(const ShareRecord& aCurrent,
                                      const catalogue::Catalogue& aCatalogue,
                                      const std::vector<HolderCandidate>& aCandidates,
                                      units::Version aSettled)
{
  const std::vector<HolderCandidate> holders = PickHolders(aCurrent, aCandidates);
  if (holders.empty()) {
    return std::nullopt;
  }
  ShareRecord next{ aCurrent.mVersion + units::Version(1), {} };
  std::set<ids::ClientAccountId> accounts{ ids::ClientAccountId() };
  for (const catalogue::ClientAccount& account : aCatalogue.mClientAccounts) {
    accounts.insert(account.mName);
  }
  for (const ids::ClientAccountId& account : accounts) {
    AddShares(
      next, aCurrent, account, holders, aSettled, aCatalogue.mWeightStore.mLoadsAtOnce);
  }
  for (const LimitShare& share : aCurrent.mShares) {
    if (accounts.insert(share.mAccount).second) {
      next.mShares.push_back({ share.mAccount, {}, {}, 0, false, share.mSince, false });
    }
  }
  if (next.mShares == aCurrent.mShares) {
    return std::nullopt;
  }
  return next;
}

std::optional<ShareRecord> PlanShareTransfer(
  const ShareRecord& aCurrent,
  const HolderCandidate& aLeaving,
  const std::vector<HolderCandidate>& aCandidates,
  const std::function<bool(const ids::ClientAccountId&)>& aMayGive)
{
  std::vector<HolderCandidate> others = aCandidates;
  std::erase_if(others, [&](const HolderCandidate& aCandidate) {
    return aCandidate.mName == aLeaving.mName;
  });
  const auto rank = [&](const HolderCandidate& aCandidate) {
    return std::tuple(aCandidate.mAvailabilityZone == aLeaving.mAvailabilityZone,
                      !HoldsAny(aCurrent, aCandidate),
                      random::RendezvousWeight(aCandidate.mName.Str(),
                                               aCandidate.mAvailabilityZone.Str()));
  };
  std::ranges::sort(others, std::greater{}, rank);
  ShareRecord next{ aCurrent.mVersion + units::Version(1), {} };
  bool changed = false;
  next.mShares = aCurrent.mShares;
  for (LimitShare& given : next.mShares) {
    if (given.mMillionths == 0 || !Holds(given, aLeaving) || !aMayGive(given.mAccount)) {
      continue;
    }
    changed = GiveShare(next, given, others) || changed;
  }
  std::erase_if(next.mShares, [&](const LimitShare& aShare) {
    return aShare.mMillionths == 0 && Holds(aShare, aLeaving);
  });
  return changed ? std::optional(next) : std::nullopt;
}

}
