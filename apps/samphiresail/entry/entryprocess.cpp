#include "apps/samphiresail/entry/entryprocess.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "apps/samphiresail/entry/agentlink.hpp"
#include "apps/samphiresail/entry/agentprober.hpp"
#include "apps/samphiresail/entry/control/controlthread.hpp"
#include "apps/samphiresail/entry/entrycontext.hpp"
#include "apps/samphiresail/entry/entrytelemetry.hpp"
#include "apps/samphiresail/entry/httpfront.hpp"
#include "apps/samphiresail/entry/identifiers.hpp"
#include "apps/samphiresail/entry/loadondemand.hpp"
#include "apps/samphiresail/entry/operationlog.hpp"
#include "apps/samphiresail/entry/peerservice.hpp"
#include "apps/samphiresail/entry/sharedstate.hpp"
#include "apps/samphiresail/entry/vmlistclient.hpp"
#include "components/limits/creditpool.hpp"
#include "components/retry/retrybudget.hpp"
#include "components/routing/endpointtable.hpp"
#include "components/store/etcdstore.hpp"
#include "components/transport/peerclient.hpp"
#include "components/transport/peerserver.hpp"

namespace samphiresail::entry {

namespace {

constexpr std::chrono::seconds kVmListInterval{ 2 };
constexpr std::chrono::milliseconds kProbeTick{ 50 };
/// Longest wait for another entry to take over the shares of a stopping one.
constexpr std::chrono::seconds kHandOverTimeout{ 5 };
constexpr std::chrono::seconds kLeaveTimeout{ 8 };

std::string Text(const settings::SocketAddress& aAddress)
{
  return aAddress.mHost + ":" + std::to_string(aAddress.mPort);
}

AgentRow ReadAgent(const AgentInfo& aAgent)
{
  return { .mEndpoint = aAgent.mEndpoint,
           .mPool = aAgent.mPool,
           .mAddress = aAgent.mAddress,
           .mIncarnation = aAgent.mIncarnation,
           .mAvailabilityZone = aAgent.mAvailabilityZone,
           .mVm = aAgent.mVm,
           .mServing = !aAgent.mLeaving };
}

ControlSettings MakeControlSettings(const settings::EntrySettings& aSettings,
                                    units::Incarnation aIncarnation,
                                    const std::string& aPeerAddress)
{
  ControlSettings control;
  control.mSelf = { .mName = aSettings.mCommon.mName,
                    .mIncarnation = aIncarnation,
                    .mAddress = aPeerAddress,
                    .mAvailabilityZone = aSettings.mCommon.mAvailabilityZone,
                    .mVm = aSettings.mCommon.mVm };
  control.mTimes = { .mInTouch = aSettings.mInTouch, .mGrantLife = aSettings.mGrantLife };
  control.mPollInterval = aSettings.mPollInterval;
  return control;
}

}

class EntryProcess::Parts
{
public:
  explicit Parts(const settings::EntrySettings& aSettings)
    : mSettings(aSettings)
    , mIncarnation(MakeRandomNumber())
    , mTelemetry(mSettings, mIncarnation, mClock)
    , mState(aSettings.mInTouch)
    , mCredit([this] { OnCreditDemand(); })
    , mControlStore(aSettings.mCommon.mStoreUrl)
    , mOperationStore(aSettings.mCommon.mStoreUrl)
    , mOperations(
        [this](const auto& aRequest, auto aTimeout) {
          return mOperationStore.Execute(aRequest, aTimeout);
        },
        aSettings.mCommon.mStoreTimeout)
    , mAgents(
        [this](const auto& aAddress, wire::Envelope&& aEnvelope) {
          SendTo(aAddress, std::move(aEnvelope));
        },
        [this](const auto& aAddress) { mClient->Reopen(aAddress); })
    , mProber(mState, mAgents, mEndpoints)
    , mContext{ mSettings,  mIncarnation, mClock,      mState, mCredit,   mRetries,
                mEndpoints, mAgents,      mOperations, mLoads, mTelemetry }
  {
    StartTransport();
    StartControl();
    mVms =
      std::make_unique<VmListClient>(mSettings.mVmListUrl,
                                     kVmListInterval,
                                     mSettings.mCommon.mStoreTimeout,
                                     [this](std::vector<membership::ListedVm> aList) {
                                       mControl->OnVms(std::move(aList));
                                     });
    mProbes = std::jthread([this](const std::stop_token& aStop) { RunProbes(aStop); });
    mFront = std::make_unique<HttpFront>(mContext);
    mTelemetry.Log().Info(
      "entry started",
      { { "http_port", mFront->Port() }, { "peer", Text(mServer->Address()) } });
  }

  ~Parts()
  {
    mFront.reset();
    mVms.reset();
    mProbes.request_stop();
    mProbes.join();
    // The transport threads take the mutex, so they must not be waited for under it.
    TakeControl().reset();
    // The threads of the transport send through mServer and mClient until they are
    // joined, so that these pointers must not be emptied here.
  }

  void Stop()
  {
    mTelemetry.Log().Info("stop begins");
    mState.BeginStop();
    mFront->Drain(mSettings.mCommon.mStopTimeout);
    mControl->HandOver(kHandOverTimeout);
    mControl->Leave(kLeaveTimeout);
    mTelemetry.Log().Info("stop ends");
  }

private:
  std::unique_ptr<ControlThread> TakeControl()
  {
    const std::lock_guard lock(mControlMutex);
    return std::move(mControl);
  }

  void StartTransport()
  {
    const settings::CommonSettings& common = mSettings.mCommon;
    mClient = std::make_unique<transport::PeerClient>(
      common.mCurve,
      [this](const auto& aAddress, wire::Envelope&& aEnvelope) {
        OnEnvelope(aAddress, std::move(aEnvelope));
      },
      [this](const auto&, const wire::Envelope& aEnvelope) {
        mAgents.OnUnsent(aEnvelope);
      });
    mServer = std::make_unique<transport::PeerServer>(
      common.mPeer,
      common.mCurve,
      [this](const auto& aRoute, wire::Envelope&& aEnvelope) {
        OnQuestion(aRoute, std::move(aEnvelope));
      });
  }

  settings::SocketAddress AnnouncedAddress() const
  {
    const settings::SocketAddress& announced = mSettings.mCommon.mAnnounce;
    return announced.mPort == 0 ? mServer->Address() : announced;
  }

  void StartControl()
  {
    ControlPorts ports{
      .mSend =
        [this](SendToPeer aItem) {
          if (aItem.mEnvelope.has_placement()) {
            mProber.ProbeSoon(aItem.mAddress, mClock.Now());
          }
          SendTo(aItem.mAddress, std::move(aItem.mEnvelope));
        },
      .mReply =
        [this](ReplyToPeer aItem) { Reply(aItem.mRoute, std::move(aItem.mEnvelope)); },
      .mExecute =
        [this](const store::StoreRequest& aRequest) {
          return mControlStore.Execute(aRequest, mSettings.mCommon.mStoreTimeout);
        },
      .mPublish = [this](const auto& aSnapshot) { Publish(*aSnapshot); },
      .mEvidence = [this](timing::Instant aSince) { mState.SetEvidence(aSince); },
      .mWanted = [this] { return mLoads.Take(); },
      .mNote =
        [this](const NoteEvent& aEvent) {
          mTelemetry.Timeline().Record(aEvent.mKind, { .mDetail = aEvent.mDetail });
          mTelemetry.Log().Info(aEvent.mKind, { { "detail", aEvent.mDetail } });
        },
    };
    auto control = std::make_unique<ControlThread>(
      MakeControlSettings(mSettings, mIncarnation, Text(AnnouncedAddress())),
      mCredit,
      mClock,
      std::move(ports));
    const std::lock_guard lock(mControlMutex);
    mControl = std::move(control);
  }

  wire::Envelope Stamp(wire::Envelope aEnvelope)
  {
    aEnvelope.set_sender(mSettings.mCommon.mName.Str());
    aEnvelope.set_sender_incarnation(mIncarnation.Count());
    aEnvelope.set_stamp(mTelemetry.Timeline().NextStamp());
    return aEnvelope;
  }

  void SendTo(const transport::PeerAddress& aAddress, wire::Envelope aEnvelope)
  {
    mClient->Send(aAddress, Stamp(std::move(aEnvelope)));
  }

  void Reply(const transport::Route& aRoute, wire::Envelope aEnvelope)
  {
    mServer->Send(aRoute, Stamp(std::move(aEnvelope)));
  }

  /// Takes an answer on a connection that this entry opened.
  void OnEnvelope(const transport::PeerAddress& aAddress, wire::Envelope aEnvelope)
  {
    mTelemetry.Timeline().Observe(aEnvelope.stamp());
    if (mAgents.OnEnvelope(aAddress, aEnvelope)) {
      return;
    }
    timing::Instant askedAt;
    if (aEnvelope.has_load_report()) {
      askedAt = mProber.OnReport(aAddress, aEnvelope, mClock.Now());
    }
    const std::lock_guard lock(mControlMutex);
    if (!mControl) {
      return;
    }
    if (aEnvelope.has_load_report() || aEnvelope.has_placement_reply()) {
      mControl->OnAgent(std::move(aEnvelope), askedAt);
    } else {
      mControl->OnPeer({}, std::move(aEnvelope));
    }
  }

  /// Takes a message on a connection that another process opened.
  void OnQuestion(const transport::Route& aRoute, wire::Envelope aEnvelope)
  {
    mTelemetry.Timeline().Observe(aEnvelope.stamp());
    if (auto answer = AnswerOperator(mContext, aEnvelope)) {
      Reply(aRoute, *std::move(answer));
      return;
    }
    ToControl(aRoute, std::move(aEnvelope));
  }

  void ToControl(const std::string& aRoute, wire::Envelope aEnvelope)
  {
    const std::lock_guard lock(mControlMutex);
    if (mControl) {
      mControl->OnPeer(aRoute, std::move(aEnvelope));
    }
  }

  void OnCreditDemand()
  {
    const std::lock_guard lock(mControlMutex);
    if (mControl) {
      mControl->OnDemand();
    }
  }

  void Publish(const ControlSnapshot& aSnapshot)
  {
    if (!aSnapshot.mConfiguration) {
      return;
    }
    if (aSnapshot.mHasCredit) {
      mState.SetHasCredit();
    }
    std::vector<AgentRow> agents(aSnapshot.mAgents.size());
    std::ranges::transform(aSnapshot.mAgents, agents.begin(), ReadAgent);
    mState.Publish(
      std::make_shared<RoutingSnapshot>(aSnapshot.mConfiguration, std::move(agents)));
  }

  void RunProbes(const std::stop_token& aStop)
  {
    std::mutex mutex;
    std::condition_variable_any wake;
    while (!aStop.stop_requested()) {
      mProber.Tick(mClock.Now());
      std::unique_lock lock(mutex);
      wake.wait_for(lock, aStop, kProbeTick, [] { return false; });
    }
  }

  settings::EntrySettings mSettings;
  units::Incarnation mIncarnation;
  timing::SystemClock mClock;
  EntryTelemetry mTelemetry;
  SharedState mState;
  limits::CreditPool mCredit;
  retry::RetryBudget mRetries;
  routing::EndpointTable mEndpoints;
  LoadOnDemand mLoads;
  store::EtcdStore mControlStore;
  store::EtcdStore mOperationStore;
  OperationLog mOperations;
  AgentLink mAgents;
  AgentProber mProber;
  EntryContext mContext;
  /// Guards the pointer to the control thread while it starts and ends.
  std::mutex mControlMutex;
  std::unique_ptr<ControlThread> mControl;
  std::unique_ptr<transport::PeerClient> mClient;
  std::unique_ptr<transport::PeerServer> mServer;
  std::unique_ptr<VmListClient> mVms;
  std::jthread mProbes;
  std::unique_ptr<HttpFront> mFront;
};

EntryProcess::EntryProcess(const settings::EntrySettings& aSettings)
  : mParts(std::make_unique<Parts>(aSettings))
{
}

EntryProcess::~EntryProcess() = default;

void EntryProcess::Stop()
{
  mParts->Stop();
}

}
