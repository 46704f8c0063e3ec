#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONFIGURATIONPOLLER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONFIGURATIONPOLLER_HPP

#include <functional>

#include "apps/samphiresail/entry/sharedstate.hpp"
#include "components/limits/creditpool.hpp"
#include "components/store/keyvaluestore.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::entry {

/// Reads configuration and agents from the platform's store and publishes them.
class ConfigurationPoller
{
public:
  using Execute = std::function<store::StoreReply(const store::StoreRequest&,
                                                  std::chrono::milliseconds)>;

  ConfigurationPoller(Execute aExecute,
                      std::chrono::milliseconds aTimeout,
                      SharedState& aState,
                      limits::CreditPool& aCredit);

  void Tick(const timing::Clock& aClock);

private:
  Execute mExecute;
  std::chrono::milliseconds mTimeout;
  SharedState& mState;
  limits::CreditPool& mCredit;
  std::int64_t mRevision{ 0 };
  std::uint64_t mNonce{ 0 };
};

}

#endif
