#ifndef SAMPHIRESAIL_COMPONENTS_ADMISSION_ACCOUNTSHARES_HPP
#define SAMPHIRESAIL_COMPONENTS_ADMISSION_ACCOUNTSHARES_HPP

#include <cstddef>
#include <cstdint>
#include <map>

#include "components/ids/ids.hpp"

namespace samphiresail::admission {

/// Follows how much of an endpoint each client account got for its weight, over all
/// classes, while others waited. The virtual time is that of the waiting account that got
/// the least; an account that is idle loses what it did not use.
class AccountShares
{
public:
  void Arrived(const ids::ClientAccountId& aAccount, std::uint32_t aWeight);
  /// Notes that an item of the account left the queue without being served.
  void Left(const ids::ClientAccountId& aAccount);
  void Served(const ids::ClientAccountId& aAccount, double aCost);

  /// Returns true unless the account got much more for its weight than one that waits.
  bool InShare(const ids::ClientAccountId& aAccount) const;

private:
  struct Use
  {
    double mWeight{ 1.0 };
    /// Cost served over the weight, on the scale of the virtual time.
    double mTime{ 0.0 };
    std::size_t mWaiting{ 0 };
  };

  void AdvanceVirtualTime();

  std::map<ids::ClientAccountId, Use> mUses;
  double mVirtualTime{ 0.0 };
  double mMeanCost{ 0.0 };
};

}

#endif
