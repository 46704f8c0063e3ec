#include "apps/load/capacity/corefleet.hpp"

#include <algorithm>
#include <ctime>

#include "components/catalogue/configurationcodec.hpp"
#include "components/store/storekeys.hpp"

namespace samphiresail::load {

namespace {

using namespace std::chrono_literals;

constexpr timing::Duration kTickInterval = 20ms;
constexpr timing::Duration kListInterval = 2s;
constexpr timing::Duration kOneWay = 1500us;
constexpr timing::Duration kStoreDelay = 3ms;
constexpr std::int64_t kRequestTokens = 300;
constexpr double kAccountRate = 1e9;
/// Frames and headers of one message beside the envelope.
constexpr std::size_t kFrameBytes = 16;

double ThreadSeconds()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  constexpr double kNanoseconds = 1e9;
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / kNanoseconds;
}

std::string Number(const char* aPrefix, std::size_t aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

catalogue::Configuration MakeConfiguration(const FleetSize& aSize)
{
  catalogue::Configuration configuration;
  configuration.mVersion = units::Version(1);
  auto& catalogue = configuration.mCatalogue;
  for (std::size_t it = 0; it < aSize.mZones; ++it) {
    catalogue.mAvailabilityZones.push_back(
      { ids::AvailabilityZoneId(Number("zone-", it)), "platform", "standard", "region" });
  }
  for (std::size_t it = 0; it < aSize.mAccounts; ++it) {
    const ids::ClientAccountId account(Number("account-", it));
    catalogue.mClientAccounts.push_back(
      { .mName = account,
        .mOwner = "owner",
        .mRate = units::TokensPerSecond(kAccountRate),
        .mBurst = units::Tokens(static_cast<std::int64_t>(kAccountRate)) });
    configuration.mKeys.push_back({ ids::KeyHash(std::string(64, 'a') + account.Str()),
                                    account,
                                    Number("key-", it) });
  }
  catalogue.mPools.push_back({ .mName = ids::PoolId("pool"), .mOwner = "owner" });
  for (std::size_t it = 0; it < aSize.mModels; ++it) {
    catalogue.mModels.push_back({ .mName = ids::ModelId(Number("model-", it)),
                                  .mOwner = "owner",
                                  .mPool = ids::PoolId("pool"),
                                  .mMemory = units::Bytes(1 << 30),
                                  .mKeepers = 2,
                                  .mKnee = 50 });
  }
  catalogue.mWeightStore = { 2.0, 6 };
  return configuration;
}

}

/// Clock of the store that shows the time of the event queue.
class CoreFleet::EventClock final : public timing::Clock
{
public:
  explicit EventClock(const EventQueue& aEvents)
    : mEvents(aEvents)
  {
  }
  timing::Instant Now() const override { return mEvents.Now(); }
  timing::WallTime WallNow() const override { return {}; }

private:
  const EventQueue& mEvents;
};

struct CoreFleet::Node
{
  membership::Member mMember;
  limits::CreditPool mPool;
  std::unique_ptr<entry::EntryCore> mCore;
  double mCpu{ 0.0 };
  std::uint64_t mMessages{ 0 };
  std::uint64_t mBytes{ 0 };
  units::Version mConfiguration;
};

CoreFleet::CoreFleet(const FleetSize& aSize)
  : mSize(aSize)
  , mClock(std::make_unique<EventClock>(mEvents))
  , mStore(*mClock)
{
  WriteFirstRecords();
  for (std::size_t it = 0; it < aSize.mEntries; ++it) {
    StartNode(it);
  }
  for (std::size_t it = 0; it < aSize.mEntries; ++it) {
    // Ticks of the entries lie spread over the interval.
    mEvents.After(kTickInterval * it / aSize.mEntries,
                  [this, it] { Tick(*mNodes.at(it)); });
  }
  ListVms();
  if (aSize.mRequests > 0.0) {
    Demand();
  }
}

CoreFleet::~CoreFleet() = default;

void CoreFleet::WriteFirstRecords()
{
  store::TransactionRequest put;
  put.mWrites.emplace_back(
    store::PutOperation{ store::kConfigurationKey,
                         catalogue::EncodeConfiguration(MakeConfiguration(mSize)),
                         0 });
  for (std::size_t it = 0; it < mSize.mAgents; ++it) {
    wire::AgentRecord agent;
    agent.set_endpoint(Number("endpoint-", it));
    agent.set_pool("pool");
    agent.set_address("10.1.0.1:7000");
    agent.set_incarnation(it + 1);
    agent.set_availability_zone(Number("zone-", it % mSize.mZones));
    agent.set_vm(Number("agent-vm-", it));
    put.mWrites.emplace_back(store::PutOperation{
      store::kAgentPrefix + agent.endpoint(), agent.SerializeAsString(), 0 });
  }
  mStore.Execute(put, 1s);
}

void CoreFleet::StartNode(std::size_t aNumber)
{
  auto node = std::make_unique<Node>();
  node->mMember = { ids::ProcessId(Number("entry-", aNumber)),
                    units::Incarnation(aNumber + 1),
                    "10.0.0.1:" + std::to_string(aNumber),
                    ids::AvailabilityZoneId(Number("zone-", aNumber % mSize.mZones)),
                    ids::VmId(Number("vm-", aNumber)) };
  entry::ControlSettings settings;
  settings.mSelf = node->mMember;
  settings.mTimes = { 2500ms, 2s };
  node->mCore = std::make_unique<entry::EntryCore>(settings, node->mPool);
  mNodes.push_back(std::move(node));
}

template<typename Call>
void CoreFleet::Run(Node& aNode, Call aCall)
{
  const double begin = ThreadSeconds();
  const entry::Actions actions = aCall(*aNode.mCore);
  const double used = ThreadSeconds() - begin;
  aNode.mCpu += used;
  mLongestCall = std::max(mLongestCall, used);
  Apply(aNode, actions);
}

void CoreFleet::Tick(Node& aNode)
{
  Run(aNode, [&](entry::EntryCore& aCore) { return aCore.Tick(mEvents.Now()); });
  mEvents.After(kTickInterval, [this, &aNode] { Tick(aNode); });
}

void CoreFleet::ListVms()
{
  std::vector<membership::ListedVm> vms;
  for (const auto& node : mNodes) {
    vms.push_back({ node->mMember.mVm, false });
  }
  for (std::size_t it = 0; it < mSize.mAgents; ++it) {
    vms.push_back({ ids::VmId(Number("agent-vm-", it)), false });
  }
  for (const auto& node : mNodes) {
    Run(*node, [&](entry::EntryCore& aCore) { return aCore.OnVms(vms, mEvents.Now()); });
  }
  mEvents.After(kListInterval, [this] { ListVms(); });
}

void CoreFleet::Demand()
{
  Node& node = *mNodes.at(mDemanded % mNodes.size());
  const ids::ClientAccountId account(
    Number("account-", mDemanded / mNodes.size() % mSize.mAccounts));
  ++mDemanded;
  const auto charge =
    node.mPool.TryCharge(account, units::Tokens(kRequestTokens), mEvents.Now());
  if (charge) {
    node.mPool.RefundUnused(*charge, units::Tokens(kRequestTokens / 3));
  } else {
    node.mPool.ChangeWaiting(account, units::Tokens(kRequestTokens));
    mEvents.After(20ms, [&node, account] {
      node.mPool.ChangeWaiting(account, units::Tokens(-kRequestTokens));
    });
    Run(node, [&](entry::EntryCore& aCore) { return aCore.OnDemand(mEvents.Now()); });
  }
  mEvents.After(std::chrono::duration_cast<timing::Duration>(
                  std::chrono::duration<double>(1.0 / mSize.mRequests)),
                [this] { Demand(); });
}

void CoreFleet::Apply(Node& aNode, const entry::Actions& aActions)
{
  for (const entry::Action& action : aActions) {
    if (const auto* send = std::get_if<entry::SendToPeer>(&action)) {
      Deliver(aNode, send->mTo.Str(), send->mEnvelope);
    } else if (const auto* reply = std::get_if<entry::ReplyToPeer>(&action)) {
      Deliver(aNode, reply->mRoute, reply->mEnvelope);
    } else if (const auto* call = std::get_if<entry::StoreCall>(&action)) {
      Carry(aNode, *call);
    } else if (const auto* publish = std::get_if<entry::PublishSnapshot>(&action)) {
      if (publish->mSnapshot->mConfiguration) {
        aNode.mConfiguration = publish->mSnapshot->mConfiguration->mVersion;
      }
    }
  }
}

void CoreFleet::Deliver(Node& aFrom,
                        const std::string& aTo,
                        const wire::Envelope& aEnvelope)
{
  const auto it = std::ranges::find_if(
    mNodes, [&](const auto& aNode) { return aNode->mMember.mName.Str() == aTo; });
  if (it == mNodes.end()) {
    return;
  }
  Node& to = **it;
  const std::size_t bytes = aEnvelope.ByteSizeLong() + kFrameBytes;
  for (Node* node : { &aFrom, &to }) {
    ++node->mMessages;
    node->mBytes += bytes;
  }
  const std::string route = aFrom.mMember.mName.Str();
  mEvents.After(kOneWay, [this, &to, route, aEnvelope] {
    Run(to, [&](entry::EntryCore& aCore) {
      return aCore.OnPeer(route, aEnvelope, mEvents.Now());
    });
  });
}

void CoreFleet::Carry(Node& aNode, const entry::StoreCall& aCall)
{
  const bool read = std::holds_alternative<store::RangeRequest>(aCall.mRequest);
  ++(read ? mReads : mWrites);
  mEvents.After(kStoreDelay, [this, &aNode, aCall] {
    const auto reply = mStore.Execute(aCall.mRequest, 1s);
    for (const auto& record : reply.mRecords) {
      aNode.mBytes += record.mKey.size() + record.mValue.size();
    }
    Run(aNode, [&](entry::EntryCore& aCore) {
      return aCore.OnStoreReply(aCall.mId, reply, mEvents.Now());
    });
  });
}

void CoreFleet::Reset()
{
  for (const auto& node : mNodes) {
    node->mCpu = 0.0;
    node->mMessages = 0;
    node->mBytes = 0;
  }
  mReads = 0;
  mWrites = 0;
  mLongestCall = 0.0;
}

ControlFigures CoreFleet::Measure(std::chrono::seconds aSettle,
                                  std::chrono::seconds aTime)
{
  mEvents.RunUntil(mEvents.Now() + aSettle);
  Reset();
  mEvents.RunUntil(mEvents.Now() + aTime);
  ControlFigures figures;
  const auto seconds = static_cast<double>(aTime.count());
  const auto count = static_cast<double>(mNodes.size());
  for (const auto& node : mNodes) {
    const auto messages = static_cast<double>(node->mMessages) / seconds;
    const auto bytes = static_cast<double>(node->mBytes) / seconds;
    figures.mMeanCpu += node->mCpu / seconds / count;
    figures.mMostCpu = std::max(figures.mMostCpu, node->mCpu / seconds);
    figures.mMeanMessages += messages / count;
    figures.mMostMessages = std::max(figures.mMostMessages, messages);
    figures.mMeanBytes += bytes / count;
    figures.mMostBytes = std::max(figures.mMostBytes, bytes);
  }
  figures.mStoreReads = static_cast<double>(mReads) / seconds;
  figures.mStoreWrites = static_cast<double>(mWrites) / seconds;
  figures.mLongestCallUs = mLongestCall * 1e6;
  figures.mConfigurationBytes = mStore.Value(store::kConfigurationKey).size();
  figures.mChangeSeconds = MeasureChange();
  return figures;
}

double CoreFleet::MeasureChange()
{
  auto configuration =
    catalogue::DecodeConfiguration(mStore.Value(store::kConfigurationKey));
  configuration.mVersion += units::Version(1);
  mStore.Execute(
    store::TransactionRequest{
      {},
      { store::PutOperation{
        store::kConfigurationKey, catalogue::EncodeConfiguration(configuration), 0 } } },
    1s);
  const timing::Instant begin = mEvents.Now();
  const auto adopted = [&](const auto& aNode) {
    return aNode->mConfiguration >= configuration.mVersion;
  };
  while (!std::ranges::all_of(mNodes, adopted) && mEvents.Now() < begin + 30s) {
    mEvents.RunUntil(mEvents.Now() + 10ms);
  }
  return std::chrono::duration<double>(mEvents.Now() - begin).count();
}

}
