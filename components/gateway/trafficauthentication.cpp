#include "components/gateway/trafficcontrol.hpp"

namespace samphiresail::gateway {

std::variant<const ClientAccount*, Refusal> TrafficControl::Authenticate(
  const RequestMetadata& aMetadata,
  const Route& aRoute,
  timing::Instant aNow)
{
  const bool hasAccounts = !mConfiguration->mAccounts.empty();
  bool isOpen = !hasAccounts;
#ifndef SAMPHIRESAIL_MUTANT_ACCOUNTS_BEFORE
  isOpen = isOpen && mKeyRequirement.IsOpen();
#endif
  if (aRoute.mPublic || isOpen) {
    return nullptr;
  }
  if (!mStoreFreshness.AreKeysFresh(aNow)) {
    return RefuseInOutage("keys may be out of date");
  }
  const ClientAccount* account = mConfiguration->FindAccountOfKey(aMetadata.mKey);
  if (account != nullptr) {
    return account;
  }
  if (!mStoreFreshness.IsConfigurationCurrent(aNow)) {
    return RefuseInOutage("the configuration may be out of date");
  }
  if (!hasAccounts && !mKeyRequirement.IsRequired()) {
    return RefuseInOutage("it is not known whether the route needs a key");
  }
  return Refusal{ 401, "the key is not known", {}, aRoute.mName, {}, 0.0 };
}

}
