#include "apps/samphiresail/gateway/gatewayprocess.hpp"

namespace samphiresail::gatewayapp {

void GatewayProcess::OnStoreRestored()
{
  mLogger.Warn(
    "store restored from a backup",
    { { "generation", mStore.Generation() },
      { "lease", mLeadership.Lease() },
      { "token", mLeadership.Token(mClock.Now()).value_or(0) },
      { "version", mControl.Configuration() ? mControl.Configuration()->mVersion : 0 } });
  mMetrics.mStoreRestores.Increment();
  mReadsRestored = true;
  mStoreWatcher.OnRestored();
}

void GatewayProcess::OnRestoredRead()
{
  mReadsRestored = false;
}

}
