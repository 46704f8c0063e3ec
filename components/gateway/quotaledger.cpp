#include "components/gateway/quotaledger.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphiresail::gateway {

namespace {

/// A peer that fell silent is not carried forward for longer, in seconds; by then it
/// counts as not heard.
constexpr double kCarryMost = 1.2;
/// A peer that was not heard for so long, in seconds, is taken to use its equal part at
/// least: it may be cut off.
constexpr double kSilent = 0.8;
/// Equal shares of the common bucket that one entry may take before it hears of the
/// others.
constexpr double kHastyShare = 2.0;
/// Part of its size from which the common bucket is full enough for one large request.
constexpr double kAmple = 0.6;

double Seconds(timing::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

}

void QuotaLedger::Bucket::Refill(double aSeconds)
{
  mLevel = std::min(mLevel + aSeconds * mRate, mSize);
}

void QuotaLedger::Bucket::Resize(double aSize, double aRate)
{
  mSize = aSize;
  mRate = aRate;
  mLevel = std::min(mLevel, aSize);
}

void QuotaLedger::Configure(const ServingConfiguration& aConfiguration,
                            timing::Instant aNow)
{
  std::unordered_map<ids::ClientAccountId, Account> accounts;
  const double window = Seconds(mTerms.mWindow);
  for (const ClientAccount& item : aConfiguration.mAccounts) {
    if (item.mTokensPerSecond <= 0) {
      continue;
    }
    const auto known = mAccounts.find(item.mName);
    Account account;
    if (known != mAccounts.end()) {
      account = std::move(known->second);
      Advance(account, aNow);
    }
    const double limit = item.mTokensPerSecond * window + item.mBurstTokens;
    const double tolerance = limit * mTerms.mOverage + mTerms.mSlackTokens;
    const double size = (1.0 - kEvenPart) * limit + kUsedTolerance * tolerance;
    const double rate = kEvenPart * limit / window;
    const auto entries = static_cast<double>(account.mEntries);
    account.mAll.Resize(size, rate);
    account.mPartsSize = (1.0 - kEvenPart) * limit + kPartTolerance * tolerance;
    account.mPart.Resize(account.mPartsSize / entries, rate / entries);
    if (known == mAccounts.end()) {
      account.mLast = aNow;
      account.mAll.mLevel = kFirstLevel * size;
      account.mPart.mLevel = kFirstLevel * account.mPart.mSize;
    }
    accounts.emplace(item.mName, std::move(account));
  }
  mAccounts = std::move(accounts);
}

void QuotaLedger::SetPeers(const ids::ClientAccountId& aAccount,
                           const std::vector<PeerQuota>& aPeers,
                           std::size_t aEntries,
                           bool aAllHeard,
                           timing::Instant aNow)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return;
  }
  Account& account = it->second;
  Advance(account, aNow);
  const bool first = account.mPeers.empty();
  for (const PeerQuota& quota : aPeers) {
    Hear(account, quota, first);
  }
  std::erase_if(account.mPeers, [&aPeers](const auto& aRow) {
    return std::ranges::find(aPeers, aRow.first, &PeerQuota::mProcess) == aPeers.end();
  });
  account.mEntries = std::max<std::size_t>(aEntries, 1);
  const auto entries = static_cast<double>(account.mEntries);
  if (aAllHeard && !account.mAllHeard) {
    // What entries admitted before they were first heard is not in the common bucket. If
    // all had about the same to do, their parts have as much left as this one's.
    account.mAll.mLevel =
      std::min(account.mAll.mLevel, std::max(account.mPart.mLevel, 0.0) * entries);
  } else if (!aAllHeard && account.mAllHeard) {
    // What the others took from the common bucket is not in this entry's part.
    account.mPart.mLevel = std::min(account.mPart.mLevel, account.mAll.mLevel / entries);
  }
  account.mAllHeard = aAllHeard;
  account.mHasty = 0.0;
  account.mPart.Resize(account.mPartsSize / entries, account.mAll.mRate / entries);
}

void QuotaLedger::Hear(Account& aAccount, const PeerQuota& aQuota, bool aFirst)
{
  const auto [it, added] = aAccount.mPeers.try_emplace(aQuota.mProcess);
  Peer& peer = it->second;
  if (added || peer.mIncarnation != aQuota.mIncarnation) {
    // What a new entry admitted before it was heard was not charged here. The level of a
    // new bucket allows for what the others did before.
    if (!aFirst) {
      aAccount.mAll.mLevel -= std::min(aQuota.mAdmitted, aAccount.mAll.mSize);
    }
    peer = Peer{ aQuota.mIncarnation, aQuota.mHeard, aQuota.mAdmitted, 0.0, 0.0 };
    return;
  }
  if (aQuota.mHeard <= peer.mHeard) {
    return;
  }
  const double grown = aQuota.mAdmitted - peer.mAdmitted;
  aAccount.mAll.mLevel -= grown - peer.mCharged;
  peer.mRate =
    std::max(grown, 0.0) / std::max(Seconds(aQuota.mHeard - peer.mHeard), 0.01);
  peer.mHeard = aQuota.mHeard;
  peer.mAdmitted = aQuota.mAdmitted;
  peer.mCharged = 0.0;
}

void QuotaLedger::Advance(Account& aAccount, timing::Instant aNow) const
{
  const double seconds = Seconds(aNow - aAccount.mLast);
  aAccount.mLast = aNow;
  aAccount.mAll.Refill(seconds);
  aAccount.mPart.Refill(seconds);
  const double partRate = aAccount.mAll.mRate / static_cast<double>(aAccount.mEntries);
  for (auto& [process, peer] : aAccount.mPeers) {
    const double age = std::min(Seconds(aNow - peer.mHeard), kCarryMost);
    const double silent = std::max(age - kSilent, 0.0);
    const double expected =
      peer.mRate * (age - silent) + std::max(peer.mRate, partRate) * silent;
    aAccount.mAll.mLevel -= expected - peer.mCharged;
    peer.mCharged = expected;
  }
}

QuotaDecision QuotaLedger::Take(const ids::ClientAccountId& aAccount,
                                double aTokens,
                                timing::Instant aNow)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return { true, {} };
  }
  Account& account = it->second;
  Advance(account, aNow);
  const Bucket& bucket = account.mAllHeard ? account.mAll : account.mPart;
  // A request larger than the bucket passes when the bucket is full.
  const double needed = std::min(aTokens, bucket.mSize);
  // The others may be about to use the same tokens: beyond its own part an entry takes a
  // share of what is left before it hears of them again.
  const double share = std::min(1.0, kHastyShare / static_cast<double>(account.mEntries));
  const bool beyondPart = account.mAllHeard && account.mPart.mLevel < needed;
  const bool ample = account.mHasty <= 0 && bucket.mLevel >= kAmple * bucket.mSize;
  const bool early = beyondPart && !ample &&
                     account.mHasty + needed > share * (bucket.mLevel + account.mHasty);
  if (bucket.mLevel >= needed && !early) {
    account.mHasty += beyondPart ? aTokens : 0.0;
    account.mAll.mLevel -= aTokens;
    account.mPart.mLevel = std::max(account.mPart.mLevel - aTokens, -account.mPart.mSize);
    account.mAdmitted += aTokens;
    return { true, {} };
  }
  const double rate = std::max(bucket.mRate, 1.0);
  return { false,
           std::chrono::duration_cast<timing::Duration>(
             std::chrono::duration<double>((needed - bucket.mLevel) / rate)) };
}

void QuotaLedger::Return(const ids::ClientAccountId& aAccount, double aTokens)
{
  const auto it = mAccounts.find(aAccount);
  if (it != mAccounts.end()) {
    Account& account = it->second;
    account.mAll.mLevel = std::min(account.mAll.mLevel + aTokens, account.mAll.mSize);
    account.mPart.mLevel = std::min(account.mPart.mLevel + aTokens, account.mPart.mSize);
    account.mAdmitted -= aTokens;
  }
}

double QuotaLedger::Admitted(const ids::ClientAccountId& aAccount) const
{
  const auto it = mAccounts.find(aAccount);
  return it == mAccounts.end() ? 0.0 : it->second.mAdmitted;
}

}
