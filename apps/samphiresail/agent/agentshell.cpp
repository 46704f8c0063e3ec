#include "apps/samphiresail/agent/agentshell.hpp"

#include <future>
#include <random>
#include <utility>
#include <variant>

#include <caf/all.hpp>

#include "apps/samphiresail/agent/agentcore.hpp"
#include "apps/samphiresail/agent/backendcalls.hpp"
#include "apps/samphiresail/agent/backendcontrol.hpp"
#include "apps/samphiresail/agent/observer.hpp"
#include "components/concurrency/serialworker.hpp"
#include "components/store/etcdstore.hpp"
#include "components/transport/peerserver.hpp"

namespace samphiresail::agent {

struct EnvelopeArrived
{
  Route mRoute;
  wire::Envelope mEnvelope;
};

struct TickDue
{};

struct LeaveRequested
{};

/// Input of the control thread.
struct ControlInput
{
  std::variant<EnvelopeArrived, BackendEvent, StoreAnswer, TickDue, LeaveRequested> mItem;
};

}

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(samphiresail::agent::ControlInput)

namespace samphiresail::agent {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 50 };

std::uint64_t DrawNumber()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

AgentConfig MakeConfig(const settings::AgentSettings& aSettings)
{
  const settings::CommonSettings& common = aSettings.mCommon;
  AgentConfig config;
  config.mName = common.mName;
  config.mEndpoint = aSettings.mEndpoint;
  config.mPool = aSettings.mPool;
  config.mAvailabilityZone = common.mAvailabilityZone;
  config.mVm = common.mVm;
  config.mIncarnation = units::Incarnation(DrawNumber());
  config.mSeed = DrawNumber();
  config.mTicketLife = aSettings.mTicketLife;
  config.mProgressInterval = aSettings.mProgressInterval;
  config.mStopTimeout = common.mStopTimeout;
  return config;
}

caf::actor_system_config& ConfigureActors(caf::actor_system_config& aConfig)
{
  // Only the detached control actor runs; the scheduler stays idle.
  aConfig.set("scheduler.max-threads", 1);
  return aConfig;
}

}

class AgentShell::Carrier
{
public:
  Carrier(const settings::AgentSettings& aSettings, const timing::Clock& aClock)
    : mClock(aClock)
    , mConfig(MakeConfig(aSettings))
    , mObserver(mConfig, aSettings.mCommon, aClock)
    , mStoreTimeout(aSettings.mCommon.mStoreTimeout)
    , mSystem(ConfigureActors(mActorConfig))
    , mStore(aSettings.mCommon.mStoreUrl)
    , mCalls(aSettings.mBackendUrl,
             [this](BackendEvent aEvent) { Post(std::move(aEvent)); })
    , mControl(aSettings.mBackendUrl, aClock, [this](BackendEvent aEvent) {
      Post(std::move(aEvent));
    })
  {
    const auto onEnvelope = [this](const Route& aRoute, wire::Envelope aEnvelope) {
      Post(EnvelopeArrived{ aRoute, std::move(aEnvelope) });
    };
    const std::lock_guard lock(mReady);
    mServer.emplace(aSettings.mCommon.mPeer, aSettings.mCommon.mCurve, onEnvelope);
    const settings::SocketAddress& announced = aSettings.mCommon.mAnnounce;
    const settings::SocketAddress address =
      announced.mPort == 0 ? mServer->Address() : announced;
    mConfig.mAddress = address.mHost + ":" + std::to_string(address.mPort);
    if (aSettings.mQueue == settings::QueuePolicy::FirstInFirstOut) {
      mCore.emplace<FifoAgentCore>(mConfig, mClock.Now());
    } else {
      mCore.emplace<AgentCore>(mConfig, mClock.Now());
    }
    mActor = mSystem.spawn<caf::detached>(
      [this](caf::event_based_actor* aSelf) { return Behave(aSelf); });
    mObserver.Log().Info(
      "listening",
      { { "endpoint", mConfig.mEndpoint.Str() }, { "address", mConfig.mAddress } });
  }

  ~Carrier()
  {
    caf::anon_send_exit(mActor, caf::exit_reason::user_shutdown);
    mSystem.await_all_actors_done();
    mServer.reset();
  }

  template<typename Item>
  void Post(Item aItem)
  {
    const std::lock_guard lock(mReady);
    caf::anon_send(mActor, ControlInput{ std::move(aItem) });
  }

  bool WaitForExit(std::chrono::milliseconds aTimeout)
  {
    return mExited.wait_for(aTimeout) == std::future_status::ready;
  }

private:
  caf::behavior Behave(caf::event_based_actor* aSelf)
  {
    aSelf->delayed_send(aSelf, kTickInterval, ControlInput{ TickDue{} });
    return { [this, aSelf](ControlInput& aInput) {
      if (std::holds_alternative<TickDue>(aInput.mItem)) {
        aSelf->delayed_send(aSelf, kTickInterval, ControlInput{ TickDue{} });
      }
      std::visit([this](auto& aItem) { Handle(aItem); }, aInput.mItem);
    } };
  }

  void Handle(EnvelopeArrived& aItem)
  {
    mObserver.Timeline().Observe(aItem.mEnvelope.stamp());
    const timing::Instant now = mClock.Now();
    if (aItem.mEnvelope.has_timeline_request()) {
      wire::Envelope reply;
      *reply.mutable_timeline_reply() =
        mObserver.Timeline().Answer(aItem.mEnvelope.timeline_request());
      reply.mutable_timeline_reply()->set_nonce(
        aItem.mEnvelope.timeline_request().nonce());
      Answer(aItem.mRoute, std::move(reply));
    } else if (aItem.mEnvelope.has_status_request()) {
      wire::Envelope reply;
      reply.mutable_status_reply()->set_nonce(aItem.mEnvelope.status_request().nonce());
      reply.mutable_status_reply()->set_document(DescribeStatus(State(), now));
      Answer(aItem.mRoute, std::move(reply));
    } else {
      Perform(WithCore([&](auto& aCore) {
        return aCore.OnEnvelope(aItem.mRoute, std::move(aItem.mEnvelope), now);
      }));
    }
  }
  void Handle(BackendEvent& aItem)
  {
    Perform(WithCore(
      [&](auto& aCore) { return aCore.OnBackend(std::move(aItem), mClock.Now()); }));
  }
  void Handle(const StoreAnswer& aItem)
  {
    Perform(WithCore([&](auto& aCore) { return aCore.OnStore(aItem, mClock.Now()); }));
  }
  void Handle(const TickDue&)
  {
    const timing::Instant now = mClock.Now();
    Perform(WithCore([&](auto& aCore) { return aCore.Tick(now); }));
    mObserver.Update(State(), now);
  }
  void Handle(const LeaveRequested&)
  {
    Perform(WithCore([&](auto& aCore) { return aCore.Leave(mClock.Now()); }));
  }

  /// Sends an answer that the core has no part in.
  void Answer(const Route& aRoute, wire::Envelope aEnvelope)
  {
    aEnvelope.set_sender(mConfig.mName.Str());
    aEnvelope.set_sender_incarnation(mConfig.mIncarnation.Count());
    SendEnvelope item{ aRoute, std::move(aEnvelope) };
    Perform(item);
  }

  void Perform(Actions aActions)
  {
    for (Action& action : aActions) {
      std::visit([this](auto& aItem) { Perform(aItem); }, action);
    }
  }

  void Perform(SendEnvelope& aItem)
  {
    aItem.mEnvelope.set_stamp(mObserver.Timeline().NextStamp());
    mServer->Send(aItem.mRoute, std::move(aItem.mEnvelope));
  }
  void Perform(StartBackend& aItem) { mCalls.Start(std::move(aItem)); }
  void Perform(const CancelBackend& aItem) { mCalls.Cancel(aItem.mAttempt); }
  void Perform(const QueryHealth&) { mControl.QueryHealth(); }
  void Perform(const QueryResidentModels&) { mControl.QueryResidents(); }
  void Perform(const OrderBackend& aItem) { mControl.Send(aItem.mOrder); }
  void Perform(CallStore& aItem)
  {
    mStoreWorker.Post([this, call = std::move(aItem)] {
      Post(StoreAnswer{ call.mCall, mStore.Execute(call.mRequest, mStoreTimeout) });
    });
  }
  void Perform(const RecordEvent& aItem) { mObserver.Record(aItem); }
  void Perform(const Exit&) { mExit.set_value(); }

  /// Calls aUse with the core of the chosen queue; the core exists before any input.
  template<typename Use>
  Actions WithCore(Use aUse)
  {
    if (auto* fifo = std::get_if<FifoAgentCore>(&mCore)) {
      return aUse(*fifo);
    }
    return aUse(std::get<AgentCore>(mCore));
  }

  const AgentState& State() const
  {
    const auto* fifo = std::get_if<FifoAgentCore>(&mCore);
    return fifo != nullptr ? fifo->State() : std::get<AgentCore>(mCore).State();
  }

  const timing::Clock& mClock;
  AgentConfig mConfig;
  Observer mObserver;
  std::chrono::milliseconds mStoreTimeout;
  std::promise<void> mExit;
  std::future<void> mExited{ mExit.get_future() };
  std::variant<std::monostate, AgentCore, FifoAgentCore> mCore;
  caf::actor_system_config mActorConfig;
  caf::actor_system mSystem;
  /// Held while the control thread is not ready to take input.
  std::mutex mReady;
  caf::actor mActor;
  std::optional<transport::PeerServer> mServer;
  // The threads that post input end before the control thread's actor goes.
  store::EtcdStore mStore;
  concurrency::SerialWorker mStoreWorker;
  BackendCalls mCalls;
  BackendControl mControl;
};

AgentShell::AgentShell(const settings::AgentSettings& aSettings,
                       const timing::Clock& aClock)
  : mCarrier(std::make_unique<Carrier>(aSettings, aClock))
{
}

AgentShell::~AgentShell() = default;

void AgentShell::Leave()
{
  mCarrier->Post(LeaveRequested{});
}

bool AgentShell::WaitForExit(std::chrono::milliseconds aTimeout)
{
  return mCarrier->WaitForExit(aTimeout);
}

}
