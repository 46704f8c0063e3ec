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

/// Picks one holder per availability zone, preferably one that already holds shares.
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

/// Raises a share. The holder may keep using the former amount if it adopted the record
/// that assigned it.
void RaiseShare(LimitShare& aShare,
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
                     units::Version aReleasedVersion,
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
    share.mReclaimed = share.mReclaimed && aReleasedVersion < share.mSince;
    return share;
  }
  if (it != aCurrent.mShares.end()) {
    LimitShare share = *it;
    RaiseShare(share, aMillionths, true, aVersion);
    return share;
  }
  const bool isFirst = std::ranges::none_of(aCurrent.mShares, isAccount);
  return { aAccount, aHolder.mName, aHolder.mIncarnation, aMillionths, !isFirst,
           aVersion, isFirst };
}

/// Moves a share to the first successor that has no share of the account or whose share
/// is not marked as reclaimed. Returns false if there is none.
bool TransferShare(ShareRecord& aNext,
                   LimitShare& aTransferred,
                   const std::vector<HolderCandidate>& aSuccessors)
{
  for (const HolderCandidate& successor : aSuccessors) {
    const auto held = std::ranges::find_if(aNext.mShares, [&](const LimitShare& aShare) {
      return aShare.mAccount == aTransferred.mAccount && Holds(aShare, successor);
    });
    if (held == aNext.mShares.end()) {
      aTransferred = { aTransferred.mAccount,
                       successor.mName,
                       successor.mIncarnation,
                       aTransferred.mMillionths,
                       false,
                       aNext.mVersion,
                       false };
      return true;
    }
    if (!held->mReclaimed) {
      RaiseShare(
        *held, held->mMillionths + aTransferred.mMillionths, false, aNext.mVersion);
      aTransferred.mMillionths = 0;
      return true;
    }
  }
  return false;
}

/// Returns one holder's share, in millionths, of the loads that may be in progress at
/// once. Only whole loads are assigned; the remainder goes to the first holders.
std::uint32_t PermitMillionths(std::uint32_t aMaxLoadsAtOnce,
                               std::size_t aIndex,
                               std::size_t aCount)
{
  if (aMaxLoadsAtOnce == 0) {
    return 0;
  }
  const std::uint64_t slots =
    aMaxLoadsAtOnce / aCount + (aIndex < aMaxLoadsAtOnce % aCount ? 1 : 0);
  return static_cast<std::uint32_t>(slots * kMillion / aMaxLoadsAtOnce);
}

void AddSharesOf(ShareRecord& aNext,
                 const ShareRecord& aCurrent,
                 const ids::ClientAccountId& aAccount,
                 const std::vector<HolderCandidate>& aHolders,
                 units::Version aReleasedVersion,
                 std::uint32_t aMaxLoadsAtOnce)
{
  for (std::size_t i = 0; i < aHolders.size(); ++i) {
    const std::uint32_t millionths =
      aAccount.Empty() ? PermitMillionths(aMaxLoadsAtOnce, i, aHolders.size())
                       : kMillion / static_cast<std::uint32_t>(aHolders.size());
    aNext.mShares.push_back(PlanShare(
      aCurrent, aAccount, aHolders[i], millionths, aReleasedVersion, aNext.mVersion));
  }
}

}

std::optional<ShareRecord> PlanShares(const ShareRecord& aCurrent,
                                      const catalogue::Catalogue& aCatalogue,
                                      const std::vector<HolderCandidate>& aCandidates,
                                      units::Version aReleasedVersion)
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
    AddSharesOf(next,
                aCurrent,
                account,
                holders,
                aReleasedVersion,
                aCatalogue.mWeightStore.mLoadsAtOnce);
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
  const HolderCandidate& aStopping,
  const std::vector<HolderCandidate>& aCandidates,
  const std::function<bool(const ids::ClientAccountId&)>& aMayTransfer)
{
  std::vector<HolderCandidate> others = aCandidates;
  std::erase_if(others, [&](const HolderCandidate& aCandidate) {
    return aCandidate.mName == aStopping.mName;
  });
  const auto rank = [&](const HolderCandidate& aCandidate) {
    return std::tuple(aCandidate.mAvailabilityZone == aStopping.mAvailabilityZone,
                      !HoldsAny(aCurrent, aCandidate),
                      random::RendezvousWeight(aCandidate.mName.Str(),
                                               aCandidate.mAvailabilityZone.Str()));
  };
  std::ranges::sort(others, std::greater{}, rank);
  ShareRecord next{ aCurrent.mVersion + units::Version(1), {} };
  bool changed = false;
  next.mShares = aCurrent.mShares;
  for (LimitShare& transferred : next.mShares) {
    if (transferred.mMillionths == 0 || !Holds(transferred, aStopping) ||
        !aMayTransfer(transferred.mAccount)) {
      continue;
    }
    changed = TransferShare(next, transferred, others) || changed;
  }
  std::erase_if(next.mShares, [&](const LimitShare& aShare) {
    return aShare.mMillionths == 0 && Holds(aShare, aStopping);
  });
  return changed ? std::optional(next) : std::nullopt;
}

}
