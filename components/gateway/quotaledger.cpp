#include "components/gateway/quotaledger.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace samphiresail::gateway {

namespace {

/// Longest time for which a peer that is not heard may send without a limit of its own:
/// it detects within the first part that its reports are stale and then uses its share.
constexpr double kMaxSurgeSeconds = 4.0;
/// Parts by demand do not change later than this after all peers were last fresh.
constexpr timing::Duration kMaxPartAge = std::chrono::milliseconds(1000);
/// Age of the own demand in a part: the others' counts are at most as old.
constexpr timing::Duration kDemandLag = std::chrono::milliseconds(3000);
/// Age at which a report is stale; its sender then uses its share at most.
constexpr double kStaleSeconds = 1.2;
/// Time of its rate by which the account may be further below its bucket than the
/// tolerance allows, while its window leaves room.
constexpr double kMaxDepthSeconds = 2.0;
/// Fraction of its share's rate that an entry uses until it has heard all others.
constexpr double kJoiningRateFraction = 0.5;
/// Fraction of its size from which the common bucket is full enough for one request of
/// each entry between two applications of reports, however large it is.
constexpr double kAmpleLevelFraction = 0.5;
/// Multiple of its equal part of the rate that a zone is assumed to admit while another
/// entry begins to report its sums.
constexpr double kMaxUnknownRates = 1.5;
/// Time constants of the averages of a peer's rate and of demand.
constexpr double kRateSeconds = 1.0;
constexpr double kDemandSeconds = 4.0;
/// Time that reports are on their way and wait for the receiver.
constexpr double kReportDelaySeconds = 0.05;

/// Time after which applied reports no longer allow use of the common bucket; they are
/// applied at the interval of the reports.
constexpr timing::Duration kMaxAppliedAge = std::chrono::milliseconds(1500);

double Seconds(timing::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Returns the weight of a value that was observed for some time in an average.
double WeightOf(double aSeconds, double aTimeConstant)
{
  return 1.0 - std::exp(-aSeconds / aTimeConstant);
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
    const double common = kCommonToleranceFraction * tolerance;
    const double size = item.mBurstTokens + common;
    account.mRest = tolerance - common;
    account.mWindowLimit = limit + kUsedRestFraction * tolerance;
    account.mCommon.Resize(size, item.mTokensPerSecond);
    account.mSharesSize = item.mBurstTokens + kShareToleranceFraction * tolerance;
    account.mPart = known == mAccounts.end() ? 1.0 / static_cast<double>(account.mEntries)
                                             : account.mPart;
    account.mShare.Resize(account.mPart * account.mSharesSize,
                          account.mPart * account.mCommon.mRate);
    if (known == mAccounts.end()) {
      account.mWindow = SlidingSum(mTerms.mWindow);
      account.mWindowKnownFrom = aNow + mTerms.mWindow;
      account.mLastRefill = aNow;
      account.mCompleteAt = aNow;
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
  account.mCommon.mLevel = std::max(account.mCommon.mLevel, -account.mWindowLimit);
  if (aAllPeersFresh && !account.mJoined) {
    // The common bucket was not charged with what entries admitted before their first
    // reports. If all had a similar load, their shares have as much left as this entry's.
    account.mCommon.mLevel =
      std::min(account.mCommon.mLevel,
               std::max(account.mShare.mLevel, 0.0) / std::max(account.mPart, 1e-9));
    account.mJoined = true;
  }
  if (!aAllPeersFresh && account.mAllPeersFresh) {
    StopSharing(account);
  }
  account.mAllPeersFresh = aAllPeersFresh;
  const timing::Duration interval = std::min(aNow - account.mAppliedAt, kMaxAppliedAge);
  account.mAppliedAt = aNow;
  if (aAllPeersFresh) {
    account.mCompleteAt = aNow;
  }
  if (account.mJoined && aNow - account.mCompleteAt <= kMaxPartAge) {
    UpdatePart(account, Seconds(interval));
  } else if (!account.mJoined) {
    account.mPart = 1.0 / static_cast<double>(account.mEntries);
  }
  account.mAdmittedWhenApplied = account.mAdmitted;
  account.mAppliedInterval = interval;
  account.mSinceApplied = 0.0;
  // What the others admitted before the start is not known yet.
  const double known = account.mJoined ? 1.0 : kJoiningRateFraction;
  account.mShare.Resize(account.mPart * account.mSharesSize,
                        known * account.mPart * account.mCommon.mRate);
}

void QuotaLedger::ApplyReports(const ids::ClientAccountId& aAccount,
                               const std::vector<PeerQuota>& aPeers,
                               timing::Instant aNow)
{
  const auto it = mAccounts.find(aAccount);
  if (it == mAccounts.end() || it->second.mPeers.empty()) {
    return;
  }
  Advance(it->second, aNow);
  for (const PeerQuota& quota : aPeers) {
    if (it->second.mPeers.contains(quota.mProcess)) {
      ApplyPeerReport(it->second, quota, false);
    }
  }
  it->second.mCommon.mLevel =
    std::max(it->second.mCommon.mLevel, -it->second.mWindowLimit);
}

void QuotaLedger::UpdatePart(Account& aAccount, double aSeconds)
{
  // The own count of the time before reports were last applied: what the others know.
  const double own =
    (aAccount.mAdmitted - aAccount.mAdmittedWhenApplied) / std::max(aSeconds, 0.01);
  aAccount.mDemand += WeightOf(aSeconds, kDemandSeconds) * (own - aAccount.mDemand);
  double all = aAccount.mDemand;
  // An older value than the others' counts keeps the sum of all entries' parts below 1
  // when demand rises everywhere.
  std::deque<DemandSample>& samples = aAccount.mSamples;
  samples.push_back({ aAccount.mAppliedAt, std::max(aAccount.mDemand, 0.0) });
  while (samples.size() > 1 && samples[1].mAt + kDemandLag <= aAccount.mAppliedAt) {
    samples.pop_front();
  }
  const bool lagged = samples.front().mAt + kDemandLag <= aAccount.mAppliedAt;
  for (const auto& [process, peer] : aAccount.mPeers) {
    all += peer.mDemand;
  }
  const double equal = 1.0 / static_cast<double>(aAccount.mEntries);
  aAccount.mPart = all > 0 && lagged ? kEqualFraction * equal +
                                         (1.0 - kEqualFraction) *
                                           std::min(samples.front().mDemand / all, 1.0)
                                     : equal;
}

void QuotaLedger::ApplyPeerReport(Account& aAccount,
                                  const PeerQuota& aQuota,
                                  bool aFirstReports)
{
  const auto [it, added] = aAccount.mPeers.try_emplace(aQuota.mProcess);
  Peer& peer = it->second;
  if (added || peer.mIncarnation != aQuota.mIncarnation) {
    // What a new entry admitted before its first report has not been charged here.
    // Reports that arrive while this entry knows no peer are not charged: the low initial
    // level of a new bucket allows for what the others admitted before.
    if (!aQuota.mIsSum && !aFirstReports) {
      aAccount.mCommon.mLevel -= std::min(aQuota.mAdmitted, aAccount.mCommon.mSize);
    }
    double charged = std::max(aQuota.mAdmitted, 0.0);
    if (aQuota.mIsSum) {
      // What the zone admitted since the last report of its former sender stays unknown.
      const double age = added ? 0.0 : Seconds(aQuota.mReceivedAt - peer.mReceivedAt);
      const auto entries = static_cast<double>(std::max(peer.mEntries, aQuota.mEntries));
      const double most = kMaxUnknownRates * entries * age * aAccount.mCommon.mRate /
                          static_cast<double>(aAccount.mEntries);
      charged = std::max(most, peer.mChargedAhead);
      aAccount.mCommon.mLevel -= charged - peer.mChargedAhead;
    }
    aAccount.mWindow.Add(charged, aQuota.mReceivedAt);
    peer.mIncarnation = aQuota.mIncarnation;
    peer.mReceivedAt = aQuota.mReceivedAt;
    peer.mAdmitted = aQuota.mAdmitted;
    peer.mChargedAhead = 0.0;
    peer.mEntries = aQuota.mEntries;
    peer.mIsSum = aQuota.mIsSum;
    return;
  }
  if (aQuota.mReceivedAt <= peer.mReceivedAt) {
    return;
  }
  const double admittedSince = aQuota.mAdmitted - peer.mAdmitted;
  aAccount.mCommon.mLevel -= admittedSince - peer.mChargedAhead;
  const double seconds = std::max(Seconds(aQuota.mReceivedAt - peer.mReceivedAt), 0.01);
  const double rate = std::max(admittedSince, 0.0) / seconds;
  aAccount.mWindow.Add(std::max(admittedSince, 0.0), aQuota.mReceivedAt);
  peer.mRate += WeightOf(seconds, kRateSeconds) * (rate - peer.mRate);
  peer.mDemand += WeightOf(seconds, kDemandSeconds) * (rate - peer.mDemand);
  peer.mReceivedAt = aQuota.mReceivedAt;
  peer.mAdmitted = aQuota.mAdmitted;
  peer.mChargedAhead = 0.0;
  peer.mEntries = aQuota.mEntries;
}

void QuotaLedger::StopSharing(Account& aAccount)
{
  aAccount.mAllPeersFresh = false;
  // Own requests that the others do not know of yet are charged to the share.
  aAccount.mShare.mLevel =
    std::min(aAccount.mShare.mLevel, aAccount.mPart * aAccount.mCommon.mLevel);
}

double QuotaLedger::Unseen(const Account& aAccount, timing::Instant aNow)
{
  const double surge =
    kSurge * aAccount.mCommon.mRate / static_cast<double>(aAccount.mEntries);
  const auto unseen = [&](timing::Instant aSince, double aDelay) {
    const double age = Seconds(aNow - aSince) + aDelay;
    const double silent = std::max(age - kMaxSurgeSeconds, 0.0);
    return surge * (age - silent) + surge / kSurge * silent;
  };
  double sum = 0.0;
  std::size_t heard = 1;
  for (const auto& [process, peer] : aAccount.mPeers) {
    const double delay = kReportDelaySeconds +
                         (peer.mIsSum ? 0.5 * Seconds(aAccount.mAppliedInterval) : 0.0);
    sum += static_cast<double>(peer.mEntries) * unseen(peer.mReceivedAt, delay);
    heard += peer.mEntries;
  }
  if (heard < aAccount.mEntries) {
    sum += static_cast<double>(aAccount.mEntries - heard) *
           unseen(aAccount.mCompleteAt, kStaleSeconds);
  }
  return sum;
}

double QuotaLedger::RoomByLevel(const Account& aAccount, timing::Instant aNow)
{
  double level = aAccount.mCommon.mLevel;
  for (const auto& [process, peer] : aAccount.mPeers) {
    level += peer.mChargedAhead;
  }
  return level + kUsedRestFraction * aAccount.mRest - Unseen(aAccount, aNow);
}

double QuotaLedger::Room(Account& aAccount, timing::Instant aNow)
{
  const double byLevel = RoomByLevel(aAccount, aNow);
  if (aNow < aAccount.mWindowKnownFrom) {
    return byLevel;
  }
  const double byWindow =
    aAccount.mWindowLimit - aAccount.mWindow.Sum(aNow) - Unseen(aAccount, aNow);
  const double depth = kMaxDepthSeconds * aAccount.mCommon.mRate;
  return std::max(byLevel, std::min(byWindow, byLevel + depth));
}

double QuotaLedger::PartLeft(const Account& aAccount)
{
  const double rest = kUsedRestFraction * aAccount.mRest;
  const double debt = kDebtFraction * rest / static_cast<double>(aAccount.mEntries);
  // All parts together exceed the level by no more than the rest of the tolerance.
  const double factor = 1.0 + (1.0 - kDebtFraction) * rest / aAccount.mCommon.mSize;
  const double level = std::max(aAccount.mCommon.mLevel + aAccount.mSinceApplied, 0.0);
  return factor * aAccount.mPart * level + debt - aAccount.mSinceApplied;
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
  aAccount.mCommon.mLevel -= static_cast<double>(aAccount.mUncovered) /
                             static_cast<double>(aAccount.mEntries) *
                             aAccount.mCommon.mRate * seconds;
  for (auto& [process, peer] : aAccount.mPeers) {
    const double age = Seconds(aNow - peer.mReceivedAt);
    const double silent = std::max(age - kStaleSeconds, 0.0);
    const double shares = static_cast<double>(peer.mEntries) * aAccount.mCommon.mRate /
                          static_cast<double>(aAccount.mEntries);
    const double expected =
      peer.mRate * (age - silent) + std::min(peer.mRate, shares) * silent;
    aAccount.mCommon.mLevel -= expected - peer.mChargedAhead;
    peer.mChargedAhead = expected;
  }
  aAccount.mCommon.mLevel = std::max(aAccount.mCommon.mLevel, -aAccount.mWindowLimit);
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
  const Bucket& common = account.mCommon;
  // A request larger than the bucket is admitted when the bucket is full.
  const double needed = std::min(aTokens, common.mSize);
  const bool surgeSafe = account.mJoined && Room(account, aNow) >= aTokens;
  // Reports that are rare for the account's rate leave no room that is certain.
  const double between = kReportDelaySeconds + Seconds(account.mAppliedInterval);
  const bool rarelyReported =
    kSurge * common.mRate * between > common.mSize + kUsedRestFraction * account.mRest;
  const bool ample = rarelyReported && account.mSinceApplied <= 0 &&
                     common.mLevel - needed >= kAmpleLevelFraction * common.mSize;
  const bool inPart = account.mAllPeersFresh ? ample || aTokens <= PartLeft(account)
                                             : aTokens <= account.mShare.mLevel;
  const bool held = common.mLevel >= needed;
  if (held && (surgeSafe || inPart)) {
    account.mSinceApplied += aTokens;
    account.mWindow.Add(aTokens, aNow);
    account.mCommon.mLevel -= aTokens;
    account.mShare.mLevel =
      std::max(account.mShare.mLevel - aTokens, -account.mPart * account.mWindowLimit);
    account.mAdmitted += aTokens;
    return { true, {} };
  }
  const timing::Duration refill = RefillTime(needed - common.mLevel, common.mRate);
  if (surgeSafe || inPart) {
    return { false, refill, QuotaCondition::OverRate };
  }
  return { false,
           std::max(refill, UncontendedAfter(account, aTokens, aNow)),
           held ? QuotaCondition::Contended : QuotaCondition::OverRate };
}

timing::Duration QuotaLedger::UncontendedAfter(const Account& aAccount,
                                               double aNeeded,
                                               timing::Instant aNow)
{
  const timing::Duration untilReports =
    std::max(aAccount.mAppliedAt + aAccount.mAppliedInterval - aNow, timing::Duration(1));
  const Bucket& share = aAccount.mShare;
  if (!aAccount.mAllPeersFresh && aNeeded <= share.mSize) {
    return RefillTime(aNeeded - share.mLevel, share.mRate);
  }
  const double lacking = aNeeded - RoomByLevel(aAccount, aNow);
  return std::max(untilReports, RefillTime(lacking, aAccount.mCommon.mRate));
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
