#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_QUOTALEDGER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_QUOTALEDGER_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "components/gateway/servingconfiguration.hpp"
#include "components/gateway/slidingsum.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Condition by which tokens were rejected.
enum class QuotaCondition
{
  /// All entries together used the account's tokens.
  OverRate,
  /// The account has tokens, but other entries may be using them.
  Contended,
};

/// Result of a request for tokens.
struct QuotaDecision
{
  bool mAdmitted{ false };
  /// If rejected: time until the condition that rejected the tokens is expected to end,
  /// greater than 0.
  timing::Duration mRetryAfter{ 0 };
  /// Only if rejected.
  QuotaCondition mCondition{ QuotaCondition::OverRate };
};

/// How an account's limits are enforced: in any window it may use rate x window + burst
/// over all entries. Beyond that, mOverage times this amount and mSlackTokens are
/// tolerated.
struct QuotaTerms
{
  timing::Duration mWindow{ std::chrono::seconds(8) };
  double mOverage{ 0.0 };
  double mSlackTokens{ 0.0 };
};

/// Latest report on an account, of another entry or of the entries of a zone together.
struct PeerQuota
{
  ids::ProcessId mProcess;
  std::uint64_t mIncarnation{ 0 };
  timing::Instant mReceivedAt{};
  /// Tokens that it admitted since its start.
  double mAdmitted{ 0.0 };
  /// The report is a zone's sum. A change of mIncarnation then only means that another
  /// entry of the zone reports it, which counts from another start.
  bool mIsSum{ false };
  /// Number of entries that the report includes.
  std::size_t mEntries{ 1 };
};

/// Workload: an account whose requests come unevenly over the entries, sometimes at
/// several times its rate.
///
/// Each entry keeps a token bucket of what all entries together may admit: the account's
/// rate, and its burst and a part of the tolerance as size. It is charged with the
/// entry's own count and with the counts in the others' peer reports, extrapolated at
/// their rates. The window's bound holds as long as the bucket that is charged with the
/// true counts stays above the negative rest of the tolerance. An entry therefore admits
/// what the bucket holds if one of these rules allows it:
/// - The rest of the tolerance covers what the others may have admitted since their
///   reports at kSurge times the account's rate.
/// - While all entries receive reports of all others: the request is within this entry's
///   part, by demand, of what the bucket held when the reports were applied. Where
///   reports are rare for the account's rate, also one request between two of them while
///   the bucket is half full.
/// - Otherwise: it is within this entry's share, a bucket with a part, by the last known
///   demand, of what the common bucket held for certain and of the rate.
class QuotaLedger
{
public:
  /// Fraction of the tolerance that is added to the size of the common bucket, so that
  /// errors of the estimate reject no request that the account's own bucket holds.
  static constexpr double kCommonToleranceFraction = 0.4;
  /// Fraction of the tolerance that is added to the size of all shares together.
  static constexpr double kShareToleranceFraction = 0.8;
  /// Part of the rest of the tolerance that the rules use; it leaves a margin for what
  /// reports leave out while they are on their way.
  static constexpr double kUsedRestFraction = 0.8;
  /// Part of the rest that entries may use beyond their parts by demand.
  static constexpr double kDebtFraction = 0.3;
  /// Multiple of its rate at which an account may begin to send at any time.
  static constexpr double kSurge = 6.0;
  /// Fraction of a new bucket's size that it holds, so that restarts give no bursts.
  static constexpr double kInitialLevelFraction = 0.05;
  /// Fraction of the common bucket that is divided equally; the rest is by demand.
  static constexpr double kEqualFraction = 0.3;

  void SetTerms(const QuotaTerms& aTerms) { mTerms = aTerms; }

  /// Applies a configuration; a known account keeps its level, limited to the new size.
  void Configure(const ServingConfiguration& aConfiguration, timing::Instant aNow);

  /// Applies the other entries' reports on an account. aEntries counts all entries.
  /// aAllPeersFresh is true if every entry has fresh reports of all others, except for
  /// aUncovered entries, which are assumed to use their equal shares.
  void SetPeers(const ids::ClientAccountId& aAccount,
                const std::vector<PeerQuota>& aPeers,
                std::size_t aEntries,
                bool aAllPeersFresh,
                timing::Instant aNow,
                std::size_t aUncovered = 0);

  /// Applies reports of entries that SetPeers named, as soon as they arrive. The parts
  /// of the entries do not change.
  void ApplyReports(const ids::ClientAccountId& aAccount,
                    const std::vector<PeerQuota>& aPeers,
                    timing::Instant aNow);

  /// Admits the tokens, or returns when enough of them will be available.
  QuotaDecision TryConsume(const ids::ClientAccountId& aAccount,
                           double aTokens,
                           timing::Instant aNow);

  /// Refunds the tokens of a request that was never forwarded.
  void Refund(const ids::ClientAccountId& aAccount, double aTokens);

  /// Returns the tokens that this entry admitted since its start.
  double Admitted(const ids::ClientAccountId& aAccount) const;

private:
  struct Bucket
  {
    double mLevel{ 0.0 };
    double mSize{ 0.0 };
    double mRate{ 0.0 };
    void Refill(double aSeconds);
    void Resize(double aSize, double aRate);
  };
  struct Peer
  {
    std::uint64_t mIncarnation{ 0 };
    timing::Instant mReceivedAt{};
    double mAdmitted{ 0.0 };
    /// Tokens a second, averaged over short and long times.
    double mRate{ 0.0 };
    double mDemand{ 0.0 };
    /// Tokens charged in expectation of its next report.
    double mChargedAhead{ 0.0 };
    std::size_t mEntries{ 1 };
    bool mIsSum{ false };
  };
  struct DemandSample
  {
    timing::Instant mAt{};
    /// Tokens a second.
    double mDemand{ 0.0 };
  };
  struct Account
  {
    Bucket mCommon;
    Bucket mShare;
    /// Size of the shares of all entries together.
    double mSharesSize{ 0.0 };
    /// Rest of the tolerance, below the common bucket.
    double mRest{ 0.0 };
    /// What all entries admitted in the last window, as far as it is known; a report
    /// counts from its arrival.
    SlidingSum mWindow{ std::chrono::seconds(8) };
    /// When mWindow includes what was admitted before the start.
    timing::Instant mWindowKnownFrom{};
    double mWindowLimit{ 0.0 };
    timing::Instant mLastRefill{};
    double mAdmitted{ 0.0 };
    /// Tokens admitted since reports were last applied.
    double mSinceApplied{ 0.0 };
    /// Own count when reports were last applied, and its average increase a second.
    double mAdmittedWhenApplied{ 0.0 };
    double mDemand{ 0.0 };
    std::deque<DemandSample> mSamples;
    /// Part of the common bucket for this entry.
    double mPart{ 1.0 };
    std::size_t mEntries{ 1 };
    std::size_t mUncovered{ 0 };
    bool mAllPeersFresh{ false };
    /// All peers have been fresh since the start.
    bool mJoined{ false };
    /// When all peers were last fresh.
    timing::Instant mCompleteAt{};
    /// When reports were last applied, and the time between the last two such times.
    timing::Instant mAppliedAt{};
    timing::Duration mAppliedInterval{ 0 };
    std::map<ids::ProcessId, Peer> mPeers;
  };

  void Advance(Account& aAccount, timing::Instant aNow) const;
  /// Begins to use the share alone.
  static void StopSharing(Account& aAccount);
  static void ApplyPeerReport(Account& aAccount,
                              const PeerQuota& aQuota,
                              bool aFirstReports);
  static void UpdatePart(Account& aAccount, double aSeconds);
  /// Returns how much the others may have admitted since their reports.
  static double Unseen(const Account& aAccount, timing::Instant aNow);
  /// Returns how much may be admitted without exceeding the tolerance, whatever the
  /// others admitted since their reports: by the bucket's level alone, and by the level or
  /// the window.
  static double RoomByLevel(const Account& aAccount, timing::Instant aNow);
  static double Room(Account& aAccount, timing::Instant aNow);
  /// Returns how many tokens this entry's part allows.
  static double PartLeft(const Account& aAccount);
  /// Returns the time until the tokens can no longer be rejected because other entries
  /// may be using them.
  static timing::Duration UncontendedAfter(const Account& aAccount,
                                           double aNeeded,
                                           timing::Instant aNow);

  QuotaTerms mTerms;
  std::unordered_map<ids::ClientAccountId, Account> mAccounts;
};

}

#endif
