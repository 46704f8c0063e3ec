#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_QUOTALEDGER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_QUOTALEDGER_HPP

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "components/gateway/servingconfiguration.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Result of asking for tokens.
struct QuotaDecision
{
  bool mAdmitted{ false };
  /// When enough tokens will be there again, if refused.
  timing::Duration mRetryAfter{ 0 };
};

/// How limits are read: in any window an account may use rate x window + burst over all
/// entries. Beyond that, mOverage times as much and mSlackTokens are tolerated.
struct QuotaTerms
{
  timing::Duration mWindow{ std::chrono::seconds(8) };
  double mOverage{ 0.0 };
  double mSlackTokens{ 0.0 };
};

/// What another entry last said of an account.
struct PeerQuota
{
  ids::ProcessId mProcess;
  std::uint64_t mIncarnation{ 0 };
  timing::Instant mReceivedAt{};
  /// Tokens that it admitted since its start.
  double mAdmitted{ 0.0 };
};

/// Load answered: an account that sends several times its rate through unevenly loaded
/// entries. Each entry keeps a token bucket of what all entries together may admit, from
/// its own count and the counts in the others' digests, carried forward at their last
/// rates. A second bucket holds an equal part of it, and alone decides while some entry
/// is not heard, which is safe whoever is cut off. Buckets start nearly empty, so that a
/// restart gives no second burst.
class QuotaLedger
{
public:
  /// Part of a window's limit that flows in evenly; the rest may come at once.
  static constexpr double kRefillFraction = 0.88;
  /// Part of the tolerance by which the buckets are larger, for requests that several
  /// entries admit before they hear of each other.
  static constexpr double kCommonToleranceFraction = 0.2;
  /// Level of a new bucket as a part of its size.
  static constexpr double kInitialLevelFraction = 0.15;
  /// As kCommonToleranceFraction for the equal parts: what they give out needs no
  /// digests.
  static constexpr double kShareToleranceFraction = 0.5;

  void SetTerms(const QuotaTerms& aTerms) { mTerms = aTerms; }

  /// Follows a configuration; a known account keeps its level, cut to the new size.
  void Configure(const ServingConfiguration& aConfiguration, timing::Instant aNow);

  /// Takes what the other entries said of an account. aEntries counts all entries.
  void SetPeers(const ids::ClientAccountId& aAccount,
                const std::vector<PeerQuota>& aPeers,
                std::size_t aEntries,
                bool aAllPeersFresh,
                timing::Instant aNow);

  /// Admits the tokens or says when there will be enough.
  QuotaDecision TryConsume(const ids::ClientAccountId& aAccount,
                           double aTokens,
                           timing::Instant aNow);

  /// Returns tokens of a request that was never sent on.
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
    /// Tokens a second between its last two digests.
    double mRate{ 0.0 };
    /// Tokens charged ahead of its next digest.
    double mChargedAhead{ 0.0 };
  };
  struct Account
  {
    Bucket mCommon;
    Bucket mShare;
    /// Size of the equal parts of all entries together.
    double mSharesSize{ 0.0 };
    timing::Instant mLastRefill{};
    double mAdmitted{ 0.0 };
    /// Tokens admitted beyond the own part since the last exchange with the others.
    double mBeyondShare{ 0.0 };
    std::size_t mEntries{ 1 };
    bool mAllPeersFresh{ false };
    std::map<ids::ProcessId, Peer> mPeers;
  };

  void Advance(Account& aAccount, timing::Instant aNow) const;
  static void ApplyPeerReport(Account& aAccount,
                              const PeerQuota& aQuota,
                              bool aFirstReports);

  QuotaTerms mTerms;
  std::unordered_map<ids::ClientAccountId, Account> mAccounts;
};

}

#endif
