#include "apps/samphiresail/gateway/gatewayprocess.hpp"

#include <algorithm>

namespace samphiresail::gatewayapp {

namespace {

/// Time in which one entry gets a lease and writes its record, so that a large fleet does
/// not do so at the same time.
constexpr std::chrono::milliseconds kRegistrationTimePerEntry{ 10 };

}

void GatewayProcess::OnStoreRestored()
{
  const timing::Instant now = mClock.Now();
  mLogger.Warn(
    "store restored from a backup",
    { { "generation", mStore.Generation() },
      { "lease", mLeadership.Lease() },
      { "token", mLeadership.Token(now).value_or(0) },
      { "version", mControl.Configuration() ? mControl.Configuration()->mVersion : 0 } });
  mMetrics.mStoreRestores.Increment();
  mReadsRestored = true;
  const auto others = static_cast<std::int64_t>(mPeers.KnownEntries() - 1);
  std::uniform_int_distribution<std::int64_t> spread(
    0, kRegistrationTimePerEntry.count() * others);
  const std::chrono::milliseconds delay(spread(mRandom));
  mLeadership.OnStoreRestored(mStore.Generation(), delay, now);
  mControl.mStoreFreshness.RecordRestore(now);
  mControl.mKeyRequirement.OnStoreRestored();
  mControl.mDirectory.OnStoreRestored(now);
  mControl.mQuarantine.OnStoreRestored(now);
  if (mUsageDuty) {
    mUsageDuty->OnStoreRestored(delay, now);
  }
  mStoreWatcher.OnRestored();
  // Duties and orders end now, not with the next tick.
  PlaceModels(now);
}

void GatewayProcess::OnRestoredRead()
{
  mReadsRestored = false;
  mControl.mDirectory.OnRestoredRead();
}

}
