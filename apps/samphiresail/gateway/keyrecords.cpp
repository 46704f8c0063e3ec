#include "apps/samphiresail/gateway/gatewayprocess.hpp"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apps/samphiresail/gateway/recordkeys.hpp"

namespace samphiresail::gatewayapp {

namespace {

/// Time after which an entry that does not lead writes a record that the store lacks.
constexpr std::chrono::seconds kKeyRecordDelay{ 5 };

}

bool GatewayProcess::WantsEveryVersion() const
{
  return !mControl.mKeyRequirement.IsRequired();
}

void GatewayProcess::OnConfigurationVersion(const gateway::ConfigurationVersion& aVersion)
{
  mReportedRevision = aVersion.mRevision;
  mControl.mKeyRequirement.OnVersion(aVersion);
}

void GatewayProcess::OnHistory(gateway::StoreRevision aAfter,
                               gateway::StoreRevision aThrough)
{
  mControl.mKeyRequirement.OnHistory(aAfter, aThrough);
  LogKeyRequirement();
}

std::optional<gateway::StoreRevision> GatewayProcess::TakeReplayStart()
{
  return mControl.mKeyRequirement.TakeReplayStart();
}

void GatewayProcess::OnKeyRecord(std::string_view aKey,
                                 const std::optional<std::string>& aValue)
{
  gateway::KeyRequirement& requirement = mControl.mKeyRequirement;
  if (aKey == kAccountsKey) {
    requirement.SetAccountsRecorded(aValue.has_value());
  } else {
    requirement.SetNoAccountsRecorded(
      ParseWholeNumber<gateway::StoreRevision>(aValue.value_or(std::string())));
  }
}

void GatewayProcess::LogKeyRequirement()
{
  const gateway::KeyRequirement& requirement = mControl.mKeyRequirement;
  constexpr std::string_view kUnknown = "unknown";
  const std::string_view now = requirement.IsRequired() ? "yes"
                               : requirement.IsOpen()   ? "no"
                                                        : kUnknown;
  if (mReadsRestored || !mControl.Configuration() || now == mLoggedKeyRequirement) {
    return;
  }
  mLoggedKeyRequirement = now;
  const auto version = mControl.Configuration()->mVersion;
  if (now == kUnknown) {
    mLogger.Warn("routes that are not public are closed",
                 { { "reason",
                     "versions of the configuration were missed, and none that "
                     "is known held accounts" },
                   { "version", version } });
  } else {
    mLogger.Info("keys of routes that are not public",
                 { { "needed", now }, { "version", version } });
  }
}

void GatewayProcess::StoreKeyRequirement(timing::Instant aNow)
{
  if (mReadsRestored) {
    return;
  }
  const gateway::KeyRequirement& requirement = mControl.mKeyRequirement;
  const auto through = requirement.LacksNoAccountsRecord();
  if (!requirement.LacksAccountsRecord() && !through) {
    mKeyRecordLacks.reset();
    return;
  }
  mKeyRecordLacks = mKeyRecordLacks.value_or(aNow);
  if (!mLeading && aNow - *mKeyRecordLacks < kKeyRecordDelay) {
    return;
  }
  // If the write fails, it is due again; the watch shows that it succeeded.
  mKeyRecordLacks = aNow;
  store::TransactionRequest write;
  if (through) {
    write.mWrites.emplace_back(
      store::PutOperation{ std::string(kNoAccountsKey), std::to_string(*through), 0 });
  } else {
    const std::string key(kAccountsKey);
    write.mCompares.push_back({ key, 0 });
    write.mWrites.emplace_back(store::PutOperation{ key, mSettings.mName.Str(), 0 });
  }
  boost::asio::co_spawn(
    mIo,
    [this, request = std::move(write)]() -> boost::asio::awaitable<void> {
      store::StoreRequest call = request;
      co_await mStore.Execute(std::move(call), kStoreTimeout);
    },
    boost::asio::detached);
}

}
