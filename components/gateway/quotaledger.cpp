#include "components/gateway/quotaledger.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphiresail::gateway {

namespace {

/// Longest time for which the usage of a peer is extrapolated from its last report; by
/// then that report is stale.
constexpr double kMaxExtrapolationSeconds = 1.2;
/// Time without a report after which a peer is assumed to use at least its equal share,
/// and a zone those of all its entries, since it may be partitioned.
constexpr double kSilentAfterSeconds = 0.8;
/// Number of equal shares of the common bucket that one entry may use between two reports
/// of the others.
constexpr double kMaxSharesBetweenReports = 2.0;
/// Fraction of its size from which the common bucket is full enough for one large
/// request.
constexpr double kAmpleLevelFraction = 0.6;

/// Time after which applied reports no longer allow use of the common bucket; they are
/// applied at the interval of the reports.
constexpr timing::Duration kMaxAppliedAge = std::chrono::milliseconds(1300);

double Seconds(timing::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Returns the time in which a bucket gains the tokens, greater than 0.
timing::Duration RefillTime(double aTokens, double aRate)
{
  const std::chrono::duration<double> time(aTokens / std::max(aRate, 1.0));
  return std::max(std::chrono::duration_cast<timing::Duration>(time),
                  timing::Duration(1));
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
    const double size =
      (1.0 - kRefillFraction) * limit + kCommonToleranceFraction * tolerance;
    const double rate = kRefillFraction * limit / window;
    const auto entries = static_cast<double>(account.mEntries);
    account.mCommon.Resize(size, rate);
    account.mSharesSize =
      (1.0 - kRefillFraction) * limit + kShareToleranceFraction * tolerance;
    account.mShare.Resize(account.mSharesSize / entries, rate / entries);
    if (known == mAccounts.end()) {
      account.mLastRefill = aNow;
      account.mCommon.mLevel = kInitialLevelFraction * size;
      account.mShare.mLevel = kInitialLevelFraction * account.mShare.mSize;
    }
    accounts.emplace(item.mName, std::move(account));
  }
  mAccounts = std::move(accounts);
}

void QuotaLedger::SetPeers(const ids::ClientAccountId& aAccount,
                           const std::vector<PeerQuota>& aPeers,
                           std::size_t aEntries,
                           bool aAllPeersFresh,
                           timing::Instant aNow,
                           std::size_t aUncovered)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return;
  }
  Account& account = it->second;
  Advance(account, aNow);
  const bool sums = std::ranges::any_of(aPeers, &PeerQuota::mIsSum);
  const bool hadSums = std::ranges::any_of(
    account.mPeers, [](const auto& aRow) { return aRow.second.mEntries > 1; });
  if (sums != hadSums && !account.mPeers.empty()) {
    // The fleet grew or shrank so that entries report by zone, or no longer do. The other
    // reports that begin now cover what was charged already.
    account.mPeers.clear();
  }
  const bool first = account.mPeers.empty();
  for (const PeerQuota& quota : aPeers) {
    ApplyPeerReport(account, quota, first);
  }
  std::erase_if(account.mPeers, [&aPeers](const auto& aRow) {
    return std::ranges::find(aPeers, aRow.first, &PeerQuota::mProcess) == aPeers.end();
  });
  account.mEntries = std::max<std::size_t>(aEntries, 1);
  account.mUncovered = aUncovered;
  const auto entries = static_cast<double>(account.mEntries);
  if (aAllPeersFresh && !account.mAllPeersFresh) {
    // The common bucket was not charged with what entries admitted before their first
    // reports. If all had a similar load, their shares have as much left as this entry's.
    account.mCommon.mLevel =
      std::min(account.mCommon.mLevel, std::max(account.mShare.mLevel, 0.0) * entries);
  } else if (!aAllPeersFresh && account.mAllPeersFresh) {
    StopSharing(account);
  }
  account.mAllPeersFresh = aAllPeersFresh;
  account.mAppliedInterval = std::min(aNow - account.mAppliedAt, kMaxAppliedAge);
  account.mAppliedAt = aNow;
  account.mBeyondShare = 0.0;
  account.mShare.Resize(account.mSharesSize / entries, account.mCommon.mRate / entries);
}

void QuotaLedger::ApplyPeerReport(Account& aAccount,
                                  const PeerQuota& aQuota,
                                  bool aFirstReports)
{
  const auto [it, added] = aAccount.mPeers.try_emplace(aQuota.mProcess);
  Peer& peer = it->second;
  if (aQuota.mIsSum && (added || peer.mIncarnation != aQuota.mIncarnation)) {
    // Until now the zone was charged at its last rate.
    peer =
      Peer{ aQuota.mIncarnation, aQuota.mReceivedAt, aQuota.mAdmitted, peer.mRate, 0.0,
            aQuota.mEntries };
    return;
  }
  if (added || peer.mIncarnation != aQuota.mIncarnation) {
    // What a new entry admitted before its first report has not been charged here.
    // Reports that arrive while this entry knows no peer are not charged: the low initial
    // level of a new bucket allows for what the others admitted before.
    if (!aFirstReports) {
      aAccount.mCommon.mLevel -= std::min(aQuota.mAdmitted, aAccount.mCommon.mSize);
    }
    peer = Peer{ aQuota.mIncarnation, aQuota.mReceivedAt, aQuota.mAdmitted, 0.0, 0.0 };
    return;
  }
  if (aQuota.mReceivedAt <= peer.mReceivedAt) {
    return;
  }
  const double admittedSince = aQuota.mAdmitted - peer.mAdmitted;
  aAccount.mCommon.mLevel -= admittedSince - peer.mChargedAhead;
  peer.mRate = std::max(admittedSince, 0.0) /
               std::max(Seconds(aQuota.mReceivedAt - peer.mReceivedAt), 0.01);
  peer.mReceivedAt = aQuota.mReceivedAt;
  peer.mAdmitted = aQuota.mAdmitted;
  peer.mChargedAhead = 0.0;
  peer.mEntries = aQuota.mEntries;
}

void QuotaLedger::StopSharing(Account& aAccount)
{
  // This entry's share was not charged with what the others used of the common bucket.
  aAccount.mAllPeersFresh = false;
  aAccount.mShare.mLevel =
    std::min(aAccount.mShare.mLevel,
             aAccount.mCommon.mLevel / static_cast<double>(aAccount.mEntries));
}

void QuotaLedger::Advance(Account& aAccount, timing::Instant aNow) const
{
  if (aAccount.mAllPeersFresh && aNow - aAccount.mAppliedAt > kMaxAppliedAge) {
    // The process was paused: what the others used meanwhile is not known.
    StopSharing(aAccount);
  }
  const double seconds = Seconds(aNow - aAccount.mLastRefill);
  aAccount.mLastRefill = aNow;
  aAccount.mCommon.Refill(seconds);
  aAccount.mShare.Refill(seconds);
  const double shareRate =
    aAccount.mCommon.mRate / static_cast<double>(aAccount.mEntries);
  aAccount.mCommon.mLevel -=
    static_cast<double>(aAccount.mUncovered) * shareRate * seconds;
  for (auto& [process, peer] : aAccount.mPeers) {
    const double age =
      std::min(Seconds(aNow - peer.mReceivedAt), kMaxExtrapolationSeconds);
    const double silent = std::max(age - kSilentAfterSeconds, 0.0);
    const double shares = shareRate * static_cast<double>(peer.mEntries);
    const double expected =
      peer.mRate * (age - silent) + std::max(peer.mRate, shares) * silent;
    aAccount.mCommon.mLevel -= expected - peer.mChargedAhead;
    peer.mChargedAhead = expected;
  }
}

QuotaDecision QuotaLedger::TryConsume(const ids::ClientAccountId& aAccount,
                                      double aTokens,
                                      timing::Instant aNow)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end()) {
    return { true, {} };
  }
  Account& account = it->second;
  Advance(account, aNow);
  const Bucket& bucket = account.mAllPeersFresh ? account.mCommon : account.mShare;
  // A request larger than the bucket is admitted when the bucket is full.
  const double needed = std::min(aTokens, bucket.mSize);
  // Other entries may use the same tokens at the same time: beyond its own share, an
  // entry uses only a fraction of what is left until their next reports.
  const double fraction =
    std::min(1.0, kMaxSharesBetweenReports / static_cast<double>(account.mEntries));
  const bool beyondShare = account.mAllPeersFresh && account.mShare.mLevel < needed;
  const bool ample =
    account.mBeyondShare <= 0 && bucket.mLevel >= kAmpleLevelFraction * bucket.mSize;
  const bool exceedsFraction =
    beyondShare && !ample &&
    account.mBeyondShare + needed > fraction * (bucket.mLevel + account.mBeyondShare);
  if (bucket.mLevel >= needed && !exceedsFraction) {
    account.mBeyondShare += beyondShare ? aTokens : 0.0;
    account.mCommon.mLevel -= aTokens;
    account.mShare.mLevel =
      std::max(account.mShare.mLevel - aTokens, -account.mShare.mSize);
    account.mAdmitted += aTokens;
    return { true, {} };
  }
  const QuotaCondition condition =
    bucket.mLevel < needed ? QuotaCondition::OverRate : QuotaCondition::Contended;
  timing::Duration wait = RefillTime(needed - bucket.mLevel, bucket.mRate);
  if (account.mAllPeersFresh) {
    wait = std::max(wait, UncontendedAfter(account, needed, fraction, aNow));
  }
  return { false, wait, condition };
}

timing::Duration QuotaLedger::UncontendedAfter(const Account& aAccount,
                                               double aNeeded,
                                               double aFraction,
                                               timing::Instant aNow)
{
  const Bucket& common = aAccount.mCommon;
  const timing::Duration untilReports =
    aAccount.mAppliedAt + aAccount.mAppliedInterval - aNow;
  const double level = std::min(aNeeded / aFraction, kAmpleLevelFraction * common.mSize);
  const timing::Duration byLevel =
    std::max(untilReports, RefillTime(level - common.mLevel, common.mRate));
  const Bucket& share = aAccount.mShare;
  return aNeeded <= share.mSize
           ? std::min(byLevel, RefillTime(aNeeded - share.mLevel, share.mRate))
           : byLevel;
}

void QuotaLedger::Refund(const ids::ClientAccountId& aAccount, double aTokens)
{
  const auto it = mAccounts.find(aAccount);
  if (it != mAccounts.end()) {
    Account& account = it->second;
    account.mCommon.mLevel =
      std::min(account.mCommon.mLevel + aTokens, account.mCommon.mSize);
    account.mShare.mLevel =
      std::min(account.mShare.mLevel + aTokens, account.mShare.mSize);
    account.mAdmitted -= aTokens;
  }
}

double QuotaLedger::Admitted(const ids::ClientAccountId& aAccount) const
{
  const auto it = mAccounts.find(aAccount);
  return it == mAccounts.end() ? 0.0 : it->second.mAdmitted;
}

}
