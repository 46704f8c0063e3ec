#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ADMISSIONCHARGE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ADMISSIONCHARGE_HPP

#include <optional>

#include "apps/samphiresail/entry/callerrequest.hpp"
#include "apps/samphiresail/entry/entrycontext.hpp"
#include "components/limits/creditpool.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::entry {

/// Tokens charged for one request. What the request did not use is returned when it
/// settles; a charge that nobody settles stays spent.
class AdmissionCharge
{
public:
  /// Charges the full cost, waiting for credit for a short time. Throws ApiError if the
  /// account has none left or the cost can never fit its burst.
  AdmissionCharge(EntryContext& aContext,
                  const CallerRequest& aRequest,
                  const RoutingSnapshot& aSnapshot);

  /// Returns all that was charged, because nothing has run.
  void SettleUnused();

  /// Keeps the tokens that were used and returns the others.
  void SettleUsed(units::Tokens aUsed);

private:
  EntryContext& mContext;
  std::optional<limits::Charge> mCharge;
};

}

#endif
