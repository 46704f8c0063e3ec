#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ACCOUNTSHARES_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ACCOUNTSHARES_HPP

#include <optional>
#include <unordered_map>

#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Workload: one client account that sends several times its usual rate, so that the
/// engines of a model cannot serve all. Finds the accounts that use more than their fair
/// share of a model's engines, while requests find no room there. The fair share is
/// max-min: what accounts with little demand leave is divided among the others in
/// proportion to their weights. Each entry judges by its own callers, since the load
/// balancer spreads the connections of every account evenly.
class AccountShares
{
public:
  /// Records that an account asks for aWork, in seconds of an engine; not for callers
  /// that return.
  void RecordDemand(const ids::ModelId& aModel,
                    const ids::ClientAccountId& aAccount,
                    double aWeight,
                    double aWork,
                    timing::Instant aNow);
  /// Records that the work is sent to an engine.
  void RecordBegun(const ids::ModelId& aModel,
                   const ids::ClientAccountId& aAccount,
                   double aWork,
                   timing::Instant aNow);
  /// Records that a request for the model found no room.
  void RecordContention(const ids::ModelId& aModel, timing::Instant aNow);

  /// Returns true if requests for the model found no room lately and the account has used
  /// more than its fair share of what the engines took.
  bool IsOverShare(const ids::ModelId& aModel,
                   const ids::ClientAccountId& aAccount,
                   timing::Instant aNow) const;

  /// Erases accounts whose demand has become negligible.
  void Tick(timing::Instant aNow);

private:
  /// Exponentially averaged rate.
  struct Rate
  {
    double mValue{ 0.0 };
    timing::Instant mUpdatedAt{};
    double At(timing::Instant aNow) const;
    void Add(double aAmount, timing::Instant aNow);
  };
  struct Account
  {
    Rate mDemand;
    Rate mBegun;
    double mWeight{ 1.0 };
  };
  struct Model
  {
    std::unordered_map<ids::ClientAccountId, Account> mAccounts;
    std::optional<timing::Instant> mContendedAt;
    /// Mean work of a request, over the requests begun.
    double mMeanWork{ 0.0 };
    unsigned mBegun{ 0 };
  };

  /// Returns the share of an account of weight 1; none if all get what they ask for.
  static std::optional<double> FairLevel(const Model& aModel, timing::Instant aNow);

  std::unordered_map<ids::ModelId, Model> mModels;
};

}

#endif
