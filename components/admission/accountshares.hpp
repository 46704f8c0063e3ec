#ifndef SAMPHIRESAIL_COMPONENTS_ADMISSION_ACCOUNTSHARES_HPP
#define SAMPHIRESAIL_COMPONENTS_ADMISSION_ACCOUNTSHARES_HPP

#include <cstddef>
#include <cstdint>
#include <map>

#include "components/ids/ids.hpp"

namespace samphiresail::admission {

/// Tracks the cost served for each client account divided by its weight, over all classes
/// of an endpoint's queue. The virtual time is the smallest such value among the
/// accounts with waiting items; an idle account does not accumulate credit.
class AccountShares
{
public:
  void RecordArrival(const ids::ClientAccountId& aAccount, std::uint32_t aWeight);
  /// Records that an item of the account was removed without being served.
  void RecordRemoval(const ids::ClientAccountId& aAccount);
  void RecordServed(const ids::ClientAccountId& aAccount, double aCost);

  /// Returns false if the served cost of the account, divided by its weight, is far ahead
  /// of the virtual time.
  bool IsWithinFairShare(const ids::ClientAccountId& aAccount) const;

private:
  struct Usage
  {
    double mWeight{ 1.0 };
    /// Served cost divided by the weight, on the scale of the virtual time.
    double mNormalisedCost{ 0.0 };
    std::size_t mWaiting{ 0 };
  };

  void AdvanceVirtualTime();

  std::map<ids::ClientAccountId, Usage> mUsages;
  double mVirtualTime{ 0.0 };
  double mMeanCost{ 0.0 };
};

}

#endif
