#include "apps/samphiresail/entry/configurationpoller.hpp"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "components/catalogue/configurationcodec.hpp"
#include "components/store/storekeys.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

namespace {

constexpr std::chrono::seconds kGrantLife{ 1 };

std::vector<AgentRow> ReadAgents(const std::vector<store::KeyValue>& aRecords,
                                 const catalogue::Configuration& aConfiguration)
{
  std::vector<AgentRow> agents;
  for (const store::KeyValue& item : aRecords) {
    wire::AgentRecord record;
    if (!record.ParseFromString(item.mValue)) {
      continue;
    }
    AgentRow row{ .mEndpoint = ids::EndpointId(record.endpoint()),
                  .mPool = ids::PoolId(record.pool()),
                  .mAddress = record.address(),
                  .mIncarnation = units::Incarnation(record.incarnation()),
                  .mAvailabilityZone =
                    ids::AvailabilityZoneId(record.availability_zone()),
                  .mVm = ids::VmId(record.vm()) };
    row.mServing = std::ranges::none_of(
      aConfiguration.mCatalogue.mAvailabilityZones, [&](const auto& aZone) {
        return aZone.mOut && aZone.mName == row.mAvailabilityZone;
      });
    agents.push_back(std::move(row));
  }
  return agents;
}

}

ConfigurationPoller::ConfigurationPoller(Execute aExecute,
                                         std::chrono::milliseconds aTimeout,
                                         SharedState& aState,
                                         limits::CreditPool& aCredit)
  : mExecute(std::move(aExecute))
  , mTimeout(aTimeout)
  , mState(aState)
  , mCredit(aCredit)
{
}

void ConfigurationPoller::Tick(const timing::Clock& aClock)
{
  const timing::Instant begin = aClock.Now();
  const auto read = mExecute(store::RangeRequest{ store::kConfigurationKey }, mTimeout);
  const auto agents = mExecute(
    store::RangeRequest{ store::kAgentPrefix, store::PrefixEnd(store::kAgentPrefix) },
    mTimeout);
  if (read.mOutcome != store::StoreOutcome::Answered || read.mRecords.empty() ||
      agents.mOutcome != store::StoreOutcome::Answered) {
    return;
  }
  catalogue::Configuration configuration =
    catalogue::DecodeConfiguration(read.mRecords.front().mValue);
  auto rows = ReadAgents(agents.mRecords, configuration);
  for (const auto& account : configuration.mCatalogue.mClientAccounts) {
    mCredit.AddGrant(account.mName, { {}, ++mNonce }, account.mBurst, begin + kGrantLife);
  }
  if (agents.mRevision != mRevision || !mState.Snapshot()) {
    mRevision = agents.mRevision;
    mState.Publish(
      std::make_shared<RoutingSnapshot>(std::move(configuration), std::move(rows)));
  }
  mState.SetEvidence(begin);
}

}
