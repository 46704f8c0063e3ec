#include "apps/samphiresail/gateway/gatewayprocess.hpp"

#include <algorithm>
#include <utility>

#include "apps/samphiresail/gateway/recordkeys.hpp"
#include "components/frontend/quarantinelog.hpp"
#include "components/gateway/peercodec.hpp"

namespace samphiresail::gatewayapp {

using std::chrono::milliseconds;

namespace {

/// How far the clocks of two machines may differ.
constexpr std::chrono::seconds kClockTolerance{ 10 };

}

void GatewayProcess::OnConfiguration(
  std::shared_ptr<gateway::ServingConfiguration> aConfiguration)
{
  const auto& current = mControl.Configuration();
  const bool isRewritten = !mReadsRestored && mReportedRevision > mRestoredRevision;
  if (isRewritten && current && aConfiguration->mVersion >= current->mVersion) {
    mControl.mStoreFreshness.RecordRewrite();
  }
  if (current && aConfiguration->mVersion <= current->mVersion) {
    if (aConfiguration->mVersion < current->mVersion) {
      mLogger.Warn(
        "configuration ignored: it is older than the one in force",
        { { "version", aConfiguration->mVersion }, { "in_force", current->mVersion } });
    }
    return;
  }
  mLogger.Info("configuration",
               { { "version", aConfiguration->mVersion },
                 { "routes", aConfiguration->mRoutes.size() },
                 { "accounts", aConfiguration->mAccounts.size() } });
  for (const gateway::ClientAccount& account : aConfiguration->mAccounts) {
    const gateway::ClientAccount* known =
      current ? current->FindAccount(account.mName) : nullptr;
    if (known == nullptr || known->mTokensPerSecond != account.mTokensPerSecond ||
        known->mKeys != account.mKeys) {
      mLogger.Info("account",
                   { { "account", account.mName.Str() },
                     { "keys", account.mKeys.size() },
                     { "tokens_per_second", account.mTokensPerSecond },
                     { "burst_tokens", account.mBurstTokens },
                     { "version", aConfiguration->mVersion } });
    }
  }
  if (current) {
    for (const gateway::ClientAccount& account : current->mAccounts) {
      if (aConfiguration->FindAccount(account.mName) == nullptr) {
        mLogger.Info("account removed",
                     { { "account", account.mName.Str() },
                       { "version", aConfiguration->mVersion } });
      }
    }
  }
  mControl.mStoreFreshness.RecordConfiguration(true);
  mControl.SetConfiguration(std::move(aConfiguration), mClock.Now());
  UpdateShares(mClock.Now());
}

void GatewayProcess::OnConfigurationUnreadable(
  std::shared_ptr<const gateway::ServingConfiguration> aReadable)
{
  mControl.mStoreFreshness.RecordConfiguration(false);
  const auto& current = mControl.Configuration();
  if (current && aReadable) {
    mControl.SetConfiguration(std::make_shared<gateway::ServingConfiguration>(
                                gateway::WithoutWithdrawn(*current, *aReadable)),
                              mClock.Now());
  }
}

void GatewayProcess::OnZoneOut(const ids::AvailabilityZoneId& aZone, bool aOut)
{
  mControl.mDirectory.SetZoneOut(aZone, aOut, mClock.Now());
}

void GatewayProcess::OnEndpoint(gateway::EndpointReport aReport)
{
  const gateway::Endpoint* known = mControl.mDirectory.Find(aReport.mId);
  if (known == nullptr || known->mReport.mDraining != aReport.mDraining ||
      known->mReport.mIncarnation != aReport.mIncarnation) {
    mLogger.Info("endpoint",
                 { { "endpoint", aReport.mId.Str() },
                   { "zone", aReport.mZone.Str() },
                   { "draining", aReport.mDraining },
                   { "cold_ms", aReport.mColdRemaining.count() },
                   { "models", aReport.mModels.size() },
                   { "incarnation", aReport.mIncarnation } });
  }
  if (known != nullptr && known->mReport.mIncarnation != aReport.mIncarnation) {
    mControl.ForgetEndpoint(aReport.mId);
  }
  const auto latestStart = std::chrono::duration_cast<milliseconds>(
    mClock.WallNow().time_since_epoch() + kClockTolerance);
  mControl.mDirectory.Update(std::move(aReport), mClock.Now(), latestStart.count());
}

void GatewayProcess::OnEndpointGone(const ids::EndpointId& aId)
{
  const timing::Instant now = mClock.Now();
  const bool lapse = mControl.mStoreFreshness.RecordsMayHaveLapsed(now);
  mLogger.Info("endpoint gone",
               { { "endpoint", aId.Str() }, { "may_have_lapsed", lapse } });
  mControl.mDirectory.Remove(aId, lapse, now);
}

void GatewayProcess::OnEndpointLeaving(const gateway::EndpointReport& aEndpoint)
{
  if (mControl.mDirectory.MarkLeaving(
        aEndpoint.mId, aEndpoint.mIncarnation, mClock.Now())) {
    mLogger.Info("endpoint is leaving", { { "endpoint", aEndpoint.mId.Str() } });
  }
}

void GatewayProcess::OnFullReading(const gateway::FullReading& aReading)
{
  const timing::Instant now = mClock.Now();
  mControl.mDirectory.RetainOnly(
    aReading.mEndpoints, mControl.mStoreFreshness.RecordsMayHaveLapsed(now), now);
  mControl.mDirectory.RetainZonesOut(
    aReading.mZonesOut, mControl.mStoreFreshness.RewriteEnd(), now);
  for (const std::string_view key : { kAccountsKey, kNoAccountsKey }) {
    if (!aReading.mOwnKeys.contains(std::string(key))) {
      OnKeyRecord(key, std::nullopt);
    }
  }
  mControl.mKeyRequirement.OnRead(aReading.mRevision);
  LogKeyRequirement();
  if (!aReading.mOwnKeys.contains(std::string(kLeaderKey))) {
    OnLeaderRecord({});
  }
  RetainRegistrations(aReading, now);
  std::set<std::uint64_t> quarantined;
  for (const std::string& key : aReading.mOwnKeys) {
    if (const auto verdict = QuarantineVerdictOf(key)) {
      quarantined.insert(*verdict);
    }
  }
  mControl.mQuarantine.RetainRecords(quarantined, now);
  mQuarantineWriters.RetainOnly(quarantined);
  if (mUsageDuty) {
    mUsageDuty->RetainRecords(aReading.mOwnKeys);
  }
  if (aReading.mRestored) {
    OnRestoredRead(aReading);
  }
  if (!std::exchange(mEndpointsRead, true) && mStore.StatesGeneration()) {
    const std::size_t entries = std::max(mPeers.KnownEntries(), mPeers.RecordedEntries());
    mControl.mStoreFreshness.RecordStart(entries > 1, now);
  }
  UpdateShares(now);
}

void GatewayProcess::OnLeaderRecord(const gateway::LeaderRecord& aRecord)
{
  const gateway::LeaderClaim& claim = aRecord.mClaim;
  mLeadership.SetGeneration(mStore.Generation());
  mLogger.Info("leader record",
               { { "holder", aRecord.mPresent ? claim.mProcess.Str() : "none" },
                 { "incarnation", claim.mIncarnation },
                 { "generation", claim.mGeneration },
                 { "revision", aRecord.mRevision },
                 { "lease", aRecord.mLease },
                 { "own_lease", mLeadership.Lease() } });
  mLeader = claim.mProcess;
  mLeadership.OnLeaderRecord(aRecord);
}

void GatewayProcess::OnOwnRecord(const gateway::OwnRecord& aRecord)
{
  const timing::Instant now = mClock.Now();
  const std::string& key = aRecord.mKey;
  const std::optional<std::string>& value = aRecord.mValue;
  if (key == kLeaderKey) {
    OnLeaderRecord({ value.has_value(),
                     gateway::ParseLeaderClaim(value.value_or(std::string())),
                     aRecord.mLease,
                     aRecord.mModRevision });
  } else if (key == kEntryCountKey) {
    OnEntryCountRecord(ParseEntryCount(value.value_or(std::string())));
  } else if (key == kAccountsKey || key == kNoAccountsKey) {
    OnKeyRecord(key, value);
    LogKeyRequirement();
  } else if (const auto verdict = QuarantineVerdictOf(key)) {
    const QuarantineRecord record = ParseQuarantineRecord(value.value_or(std::string()));
    if (!IsRecordOf(record, *verdict)) {
      mLogger.Warn("quarantine record cannot be read", { { "key", key } });
      return;
    }
    mQuarantineWriters.Set(
      *verdict, ids::ProcessId(record.mWriter), aRecord.mCreateRevision);
    mControl.mQuarantine.OnRecord(*verdict,
                                  value.has_value(),
                                  record.mWriter == mSettings.mName.Str(),
                                  now,
                                  record.mCauses);
    frontend::LogVerdictRecord(
      mLogger, mControl.mQuarantine, *verdict, record.mWriter, now);
  } else if (mUsageDuty && (key.starts_with(kUsagePrefix) || key == kUsageDoneKey)) {
    mUsageDuty->OnRecord(key, value);
  } else if (key.starts_with(kMemberPrefix)) {
    const ids::ProcessId process(key.substr(kMemberPrefix.size()));
    mLogger.Info("entry record",
                 { { "entry", process.Str() }, { "present", value.has_value() } });
    if (process == mSettings.mName) {
      mLeadership.OnMemberRecord(value ? aRecord.mLease : 0, now);
    }
    mAwaitedRegistrations.erase(process);
    if (!value) {
      mPeers.Unregister(process, now);
    } else if (const auto member = gateway::DecodeMember(*value)) {
      mPeers.Register(process, member->mAddress, member->mCores, now, member->mZone);
    }
  }
}

void GatewayProcess::OnAnswered(timing::Instant aBegan)
{
  mControl.mStoreFreshness.RecordResponse(aBegan, mClock.Now());
}

void GatewayProcess::OnConfirmed(timing::Instant aAsOf)
{
  mControl.mStoreFreshness.ConfirmUpTo(aAsOf);
  mControl.mDirectory.ConfirmZones(aAsOf, mClock.Now());
}

void GatewayProcess::OnContactLost(const std::string& aReason)
{
  mLogger.Warn("contact with the store lost",
               { { "reason", aReason },
                 { "age_ms",
                   std::chrono::duration_cast<milliseconds>(
                     mControl.mStoreFreshness.Staleness(mClock.Now()))
                     .count() } });
}

}
