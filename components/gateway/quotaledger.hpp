#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_QUOTALEDGER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_QUOTALEDGER_HPP

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "components/gateway/servingconfiguration.hpp"
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

/// Workload: an account that sends several times its rate through unevenly loaded
/// entries. Each entry keeps a token bucket of what all entries together may admit. It is
/// charged with the entry's own count and with the counts in the others' peer reports,
/// extrapolated at their last rates. A second bucket holds this entry's equal share and
/// alone decides while the reports of some entry are stale; this keeps the bound under
/// any network partition. Buckets start nearly empty, so that a restart does not give a
/// second burst.
class QuotaLedger
{
public:
  /// Fraction of a window's limit that refills the buckets at a constant rate; the rest
  /// may be used at once.
  static constexpr double kRefillFraction = 0.88;
  /// Fraction of the tolerance that is added to the size of the common bucket, for
  /// requests that several entries admit before they receive each other's reports.
  static constexpr double kCommonToleranceFraction = 0.2;
  /// Level of a new bucket as a fraction of its size.
  static constexpr double kInitialLevelFraction = 0.15;
  /// Fraction of the tolerance that is added to the size of the equal shares, which do
  /// not depend on reports.
  static constexpr double kShareToleranceFraction = 0.5;

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
    /// Tokens a second between its last two reports.
    double mRate{ 0.0 };
    /// Tokens charged in expectation of its next report.
    double mChargedAhead{ 0.0 };
    std::size_t mEntries{ 1 };
  };
  struct Account
  {
    Bucket mCommon;
    Bucket mShare;
    /// Bucket size of the equal shares of all entries together.
    double mSharesSize{ 0.0 };
    timing::Instant mLastRefill{};
    double mAdmitted{ 0.0 };
    /// Tokens admitted beyond this entry's share since reports were last applied.
    double mBeyondShare{ 0.0 };
    std::size_t mEntries{ 1 };
    std::size_t mUncovered{ 0 };
    bool mAllPeersFresh{ false };
    /// When reports were last applied, and the time between the last two such times.
    timing::Instant mAppliedAt{};
    timing::Duration mAppliedInterval{ 0 };
    std::map<ids::ProcessId, Peer> mPeers;
  };

  void Advance(Account& aAccount, timing::Instant aNow) const;
  /// Returns the time until the tokens can no longer be rejected because other entries
  /// may be using them.
  static timing::Duration UncontendedAfter(const Account& aAccount,
                                           double aNeeded,
                                           double aFraction,
                                           timing::Instant aNow);
  /// Begins to use the equal share alone.
  static void StopSharing(Account& aAccount);
  static void ApplyPeerReport(Account& aAccount,
                              const PeerQuota& aQuota,
                              bool aFirstReports);

  QuotaTerms mTerms;
  std::unordered_map<ids::ClientAccountId, Account> mAccounts;
};

}

#endif
