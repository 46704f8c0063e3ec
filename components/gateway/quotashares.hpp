#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_QUOTASHARES_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_QUOTASHARES_HPP

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

/// What a tolerant reading of an account's limits allows over all entries: in any window no
/// more than (rate x window + burst) x (1 + mOverage) + mSlackTokens.
struct QuotaTolerance
{
  timing::Duration mWindow{ std::chrono::seconds(8) };
  double mOverage{ 0.0 };
  double mSlackTokens{ 0.0 };
};

/// Load answered: an account that sends several times its rate through unevenly loaded
/// entries. Each entry holds a token bucket with its part of each account's rate and burst.
/// While every entry hears every other one, the parts follow the entries' demands by
/// max-min fairness; else each part is an equal one, which is safe whoever is cut off.
class QuotaShares
{
public:
  /// Tokens a second that each entry's callers of an account ask for.
  using Demands = std::vector<double>;

  /// Part of the tolerance by which the buckets of all entries together are larger than the
  /// burst: a large request at one entry must not fail while another one has tokens left.
  /// The rest covers the time that entries need to learn of each other's demands. The rate
  /// itself is never exceeded.
  static constexpr double kUsedTolerance = 0.7;

  void SetTolerance(const QuotaTolerance& aTolerance) { mTolerance = aTolerance; }

  /// Follows a configuration; the level of a bucket is kept, cut to its new capacity.
  void Configure(const ServingConfiguration& aConfiguration, timing::Instant aNow);

  /// Sets this entry's part of an account. aPeers holds the demands of the other entries;
  /// aEntries counts all of them; with aAllHeard false the part is an equal one.
  void SetPart(const ids::ClientAccountId& aAccount,
               const Demands& aPeers,
               std::size_t aEntries,
               bool aAllHeard,
               timing::Instant aNow);

  /// Takes the tokens from the account's bucket or says when they will be there.
  QuotaDecision Take(const ids::ClientAccountId& aAccount,
                     double aTokens,
                     timing::Instant aNow);

  /// Returns tokens of a request that was never sent on.
  void Return(const ids::ClientAccountId& aAccount, double aTokens);

  /// Returns what this entry's callers ask for, in tokens a second.
  double Demand(const ids::ClientAccountId& aAccount, timing::Instant aNow);

private:
  struct Bucket
  {
    double mRate{ 0.0 };
    double mBurst{ 0.0 };
    double mPart{ 0.0 };
    double mLevel{ 0.0 };
    timing::Instant mLast{};
    double mDemand{ 0.0 };
    timing::Instant mDemandAt{};
  };
  static void Refill(Bucket& aBucket, timing::Instant aNow);
  static void DecayDemand(Bucket& aBucket, timing::Instant aNow);

  QuotaTolerance mTolerance;
  std::unordered_map<ids::ClientAccountId, Bucket> mBuckets;
};

/// Returns how much of aTotal a holder gets that asks for aOwn beside aOthers: max-min fair,
/// and what nobody asks for in equal parts.
double MaxMinShare(double aTotal, double aOwn, std::vector<double> aOthers);

}

#endif
