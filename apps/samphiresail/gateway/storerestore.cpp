#include "apps/samphiresail/gateway/gatewayprocess.hpp"

#include <algorithm>

#include "apps/samphiresail/gateway/recordkeys.hpp"

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

void GatewayProcess::OnRestoredRead(const gateway::FullReading& aReading)
{
  mReadsRestored = false;
  mRestoredRevision = aReading.mRevision;
  mControl.mDirectory.OnRestoredRead();
  mEntryCountLost =
    mEntryCountLost || (mPeers.RecordedEntries() > 0 &&
                        !aReading.mOwnKeys.contains(std::string(kEntryCountKey)));
}

void GatewayProcess::RetainRegistrations(const gateway::FullReading& aReading,
                                         timing::Instant aNow)
{
  for (const ids::ProcessId& process : mPeers.Registered()) {
    if (!aReading.mOwnKeys.contains(std::string(kMemberPrefix) + process.Str())) {
      mAwaitedRegistrations.insert(process);
    }
  }
  if (!aReading.mOwnKeys.contains(std::string(kMemberPrefix) + mSettings.mName.Str())) {
    mLeadership.OnMemberRecord(0, aNow);
  }
  EndAwaitedRegistrations(aNow);
}

void GatewayProcess::EndAwaitedRegistrations(timing::Instant aNow)
{
  if (aNow < mControl.mStoreFreshness.RewriteEnd()) {
    return;
  }
  for (const ids::ProcessId& process : mAwaitedRegistrations) {
    mPeers.Unregister(process, aNow);
  }
  mAwaitedRegistrations.clear();
}

void GatewayProcess::CompareWithPeers(timing::Instant aNow)
{
  if (!mEndpointsRead || !mControl.Configuration()) {
    return;
  }
  gateway::StoreFreshness& freshness = mControl.mStoreFreshness;
  const std::uint64_t own = mControl.Configuration()->mVersion;
  const std::uint64_t peers = mPeers.NewestConfiguration(aNow);
  if (peers != 0) {
    freshness.RecordPeers(peers > own, mPeers.LongestRewrite(aNow), aNow);
  }
  const bool isOutdated = freshness.IsOutdated(aNow);
  if (isOutdated != mLoggedOutdated) {
    mLoggedOutdated = isOutdated;
    mLogger.Info(isOutdated ? "what was read of the store may be a backup"
                            : "what was read of the store is believed",
                 { { "version", own }, { "other_entries", peers } });
  }
}

void GatewayProcess::OnEntryCountRecord(std::optional<std::size_t> aEntries)
{
  const bool isRestored = mClock.Now() < mControl.mStoreFreshness.RewriteEnd();
  if (isRestored && aEntries.value_or(0) < mPeers.RecordedEntries()) {
    mEntryCountLost = true;
  } else if (aEntries) {
    mPeers.SetRecordedEntries(*aEntries);
    mEntryCountLost = false;
  }
}

}
