#include "apps/tests/entry/fleet.hpp"

#include <algorithm>

#include "components/catalogue/configurationcodec.hpp"
#include "components/store/storekeys.hpp"

namespace samphiresail::tests {

using namespace std::chrono_literals;

namespace {

constexpr timing::Duration kTickInterval = 50ms;
constexpr timing::Duration kListInterval = 2s;
constexpr timing::Duration kStoreTimeout = 1s;

catalogue::Configuration FirstConfiguration()
{
  catalogue::Configuration configuration;
  configuration.mVersion = units::Version(1);
  for (int i = 0; i < 3; ++i) {
    configuration.mCatalogue.mAvailabilityZones.push_back(
      { ids::AvailabilityZoneId("zone-" + std::to_string(i)), "platform", "zone", "" });
  }
  configuration.mCatalogue.mClientAccounts.push_back(
    { .mName = ids::ClientAccountId("north"),
      .mRate = units::TokensPerSecond(3000),
      .mBurst = units::Tokens(9000) });
  configuration.mCatalogue.mWeightStore = { 2.0, 6 };
  configuration.mKeys.push_back(
    { ids::KeyHash("key"), ids::ClientAccountId("north"), "key" });
  return configuration;
}

}

Fleet::Fleet(std::uint64_t aSeed, std::size_t aNodes)
  : mRandom(aSeed)
  , mStore(mClock)
  , mCarrier(aSeed + 1)
  , mNodes(aNodes)
{
  const store::TransactionRequest put{
    {},
    { store::PutOperation{ store::kConfigurationKey,
                           catalogue::EncodeConfiguration(FirstConfiguration()),
                           0 } }
  };
  mStore.Execute(put, 1s);
  for (int i = 0; i < 3; ++i) {
    wire::AgentRecord agent;
    agent.set_endpoint("endpoint-" + std::to_string(i));
    agent.set_availability_zone("zone-" + std::to_string(i));
    const store::TransactionRequest add{
      {},
      { store::PutOperation{
        store::kAgentPrefix + agent.endpoint(), agent.SerializeAsString(), 0 } }
    };
    mStore.Execute(add, 1s);
  }
  for (std::size_t i = 0; i < aNodes; ++i) {
    Start(i);
  }
}

void Fleet::Start(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  const std::string number = std::to_string(aNode);
  const ids::VmId vm = node.mMember.mVm.Empty()
                         ? ids::VmId("vm-" + std::to_string(++mLastVm))
                         : node.mMember.mVm;
  node = Node{};
  node.mMember = { ids::ProcessId("entry-" + number),
                   units::Incarnation(++mLastIncarnation),
                   "10.0.0." + number + ":7000",
                   ids::AvailabilityZoneId("zone-" + std::to_string(aNode % 3)),
                   vm };
  node.mPool = std::make_unique<limits::CreditPool>();
  entry::ControlSettings settings;
  settings.mSelf = node.mMember;
  settings.mTimes = { kInTouch, kGrantLife };
  node.mCore = std::make_unique<entry::EntryCore>(settings, *node.mPool);
  node.mAlive = true;
}

void Fleet::Kill(std::size_t aNode)
{
  mNodes[aNode].mAlive = false;
  mCarrier.Forget(mNodes[aNode].mMember.mName.Str());
}

void Fleet::Freeze(std::size_t aNode, bool aFrozen)
{
  const std::string& name = mNodes[aNode].mMember.mName.Str();
  aFrozen ? mCarrier.Freeze(name) : mCarrier.Thaw(name);
}

bool Fleet::IsFrozen(std::size_t aNode) const
{
  return mCarrier.IsFrozen(mNodes[aNode].mMember.mName.Str());
}

void Fleet::ReplaceVm(std::size_t aNode)
{
  Kill(aNode);
  mNodes[aNode].mMember.mVm = ids::VmId();
}

void Fleet::Isolate(std::size_t aNode)
{
  for (const Node& other : mNodes) {
    mCarrier.Cut(mNodes[aNode].mMember.mName.Str(), other.mMember.mName.Str());
    mCarrier.Cut(other.mMember.mName.Str(), mNodes[aNode].mMember.mName.Str());
  }
}

void Fleet::MendAll()
{
  mCarrier.MendAll();
  mCarrier.Faults() = {};
  mStore.SetDown(false);
  mStore.SetLoseAnswers(false);
  mStoreSlow = false;
  mListDown = false;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    Freeze(i, false);
    CutStore(i, false);
  }
}

void Fleet::Run(timing::Duration aTime, const std::function<void()>& aEachStep)
{
  const timing::Instant end = Now() + aTime;
  while (Now() < end) {
    Step();
    if (aEachStep) {
      aEachStep();
    }
  }
}

void Fleet::Step()
{
  mClock.Advance(kStep);
  while (!mEvents.empty() && mEvents.begin()->first <= Now()) {
    const auto event = std::move(mEvents.begin()->second);
    mEvents.erase(mEvents.begin());
    event();
  }
  Deliver();
  const bool list = !mListDown && Now() - mLastList >= kListInterval;
  std::vector<membership::ListedVm> vms;
  for (const Node& node : mNodes) {
    if (!node.mMember.mVm.Empty()) {
      vms.push_back({ node.mMember.mVm, false });
    }
  }
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    Node& node = mNodes[i];
    if (!node.mAlive || IsFrozen(i)) {
      continue;
    }
    if (list) {
      mLastList = Now();
      Apply(i, node.mCore->OnVms(vms, Now()));
    }
    if (Now() - node.mLastTick >= kTickInterval) {
      node.mLastTick = Now();
      Apply(i, node.mCore->Tick(Now()));
    }
  }
}

void Fleet::Deliver()
{
  for (const auto& delivery : mCarrier.Arrivals(Now())) {
    const std::size_t to = IndexOf(delivery.mTo);
    if (mNodes[to].mAlive) {
      Apply(to, mNodes[to].mCore->OnPeer(delivery.mFrom, delivery.mMessage, Now()));
    }
  }
}

void Fleet::Apply(std::size_t aNode, const entry::Actions& aActions)
{
  Node& node = mNodes[aNode];
  const std::string& name = node.mMember.mName.Str();
  for (const entry::Action& action : aActions) {
    if (const auto* send = std::get_if<entry::SendToPeer>(&action)) {
      mCarrier.Send(name, send->mTo.Str(), send->mEnvelope, Now());
    } else if (const auto* reply = std::get_if<entry::ReplyToPeer>(&action)) {
      mCarrier.Send(name, reply->mRoute, reply->mEnvelope, Now());
    } else if (const auto* call = std::get_if<entry::StoreCall>(&action)) {
      Carry(aNode, *call);
    } else if (const auto* publish = std::get_if<entry::PublishSnapshot>(&action)) {
      node.mSnapshot = publish->mSnapshot;
    } else if (const auto* evidence = std::get_if<entry::PublishEvidence>(&action)) {
      node.mEvidence = evidence->mSince;
    } else if (std::holds_alternative<entry::HandOverDone>(action)) {
      node.mHandOverDone = true;
    } else if (std::holds_alternative<entry::LeaveDone>(action)) {
      node.mLeaveDone = true;
    }
  }
}

void Fleet::Carry(std::size_t aNode, const entry::StoreCall& aCall)
{
  const units::Incarnation incarnation = mNodes[aNode].mMember.mIncarnation;
  std::uniform_int_distribution<int> quick(1, 4);
  std::uniform_int_distribution<int> slow(100, 3000);
  const auto arrival =
    std::chrono::milliseconds(mStoreSlow ? slow(mRandom) : quick(mRandom));
  const timing::Instant sent = Now();
  if (mNodes[aNode].mStoreCut) {
    At(sent + kStoreTimeout, [=, this] {
      FinishCall(
        aNode, incarnation, aCall.mId, { .mOutcome = store::StoreOutcome::Unknown });
    });
    return;
  }
  At(sent + arrival, [=, this] {
    // A call that takes too long still has its effect.
    const store::StoreReply reply = mStore.Execute(aCall.mRequest, 1s);
    const bool late = Now() - sent >= kStoreTimeout;
    const bool lost = late || reply.mOutcome == store::StoreOutcome::Unknown;
    At(lost ? std::max(Now(), sent + kStoreTimeout) : Now() + 1ms, [=, this] {
      const store::StoreReply unknown{ .mOutcome = store::StoreOutcome::Unknown };
      FinishCall(aNode, incarnation, aCall.mId, lost ? unknown : reply);
    });
  });
}

void Fleet::FinishCall(std::size_t aNode,
                       units::Incarnation aIncarnation,
                       std::uint64_t aId,
                       const store::StoreReply& aReply)
{
  Node& node = mNodes[aNode];
  if (!node.mAlive || node.mMember.mIncarnation != aIncarnation) {
    return;
  }
  if (IsFrozen(aNode)) {
    At(Now() + 20ms, [=, this] { FinishCall(aNode, aIncarnation, aId, aReply); });
    return;
  }
  Apply(aNode, node.mCore->OnStoreReply(aId, aReply, Now()));
}

void Fleet::At(timing::Instant aWhen, std::function<void()> aEvent)
{
  mEvents.emplace(aWhen, std::move(aEvent));
}

std::size_t Fleet::IndexOf(const std::string& aName) const
{
  const auto it = std::ranges::find_if(
    mNodes, [&](const Node& aNode) { return aNode.mMember.mName.Str() == aName; });
  return static_cast<std::size_t>(it - mNodes.begin());
}

bool Fleet::Serves(std::size_t aNode) const
{
  const Node& node = mNodes[aNode];
  return node.mAlive && !IsFrozen(aNode) && node.mSnapshot &&
         node.mSnapshot->mConfiguration && node.mCore->State().InTouch(Now()) &&
         node.mEvidence;
}

bool Fleet::ServesKey(std::size_t aNode, const std::string& aKey) const
{
  return Serves(aNode) &&
         std::ranges::any_of(mNodes[aNode].mSnapshot->mConfiguration->mKeys,
                             [&](const catalogue::IssuedKey& aIssued) {
                               return aIssued.mHash.Str() == aKey;
                             });
}

bool Fleet::RoutesTo(std::size_t aNode, const std::string& aEndpoint) const
{
  return Serves(aNode) &&
         std::ranges::any_of(
           mNodes[aNode].mSnapshot->mAgents, [&](const entry::AgentInfo& aAgent) {
             return aAgent.mEndpoint.Str() == aEndpoint && !aAgent.mLeaving;
           });
}

catalogue::Configuration Fleet::StoredConfiguration()
{
  return catalogue::DecodeConfiguration(mStore.Value(store::kConfigurationKey));
}

bool Fleet::Change(const std::function<void(catalogue::Configuration&)>& aChange)
{
  const store::StoreReply read =
    mStore.Execute(store::RangeRequest{ store::kConfigurationKey, {}, 0 }, 1s);
  if (read.mOutcome != store::StoreOutcome::Answered || read.mRecords.empty()) {
    return false;
  }
  catalogue::Configuration configuration =
    catalogue::DecodeConfiguration(read.mRecords.front().mValue);
  aChange(configuration);
  configuration.mVersion += units::Version(1);
  const store::TransactionRequest write{
    { { store::kConfigurationKey, read.mRecords.front().mModRevision } },
    { store::PutOperation{
      store::kConfigurationKey, catalogue::EncodeConfiguration(configuration), 0 } }
  };
  const store::StoreReply reply = mStore.Execute(write, 1s);
  return reply.mOutcome == store::StoreOutcome::Answered && reply.mSucceeded;
}

}
