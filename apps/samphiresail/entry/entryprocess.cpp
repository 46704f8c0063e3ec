#include "apps/samphiresail/entry/entryprocess.hpp"

#include <thread>
#include <utility>

#include "apps/samphiresail/entry/agentlink.hpp"
#include "apps/samphiresail/entry/agentprober.hpp"
#include "apps/samphiresail/entry/configurationpoller.hpp"
#include "apps/samphiresail/entry/entrycontext.hpp"
#include "apps/samphiresail/entry/httpfront.hpp"
#include "apps/samphiresail/entry/identifiers.hpp"
#include "apps/samphiresail/entry/loadondemand.hpp"
#include "apps/samphiresail/entry/operationlog.hpp"
#include "apps/samphiresail/entry/sharedstate.hpp"
#include "components/limits/creditpool.hpp"
#include "components/retry/retrybudget.hpp"
#include "components/routing/endpointtable.hpp"
#include "components/store/etcdstore.hpp"
#include "components/transport/peerclient.hpp"

namespace samphiresail::entry {

class EntryProcess::Parts
{
public:
  explicit Parts(const settings::EntrySettings& aSettings)
    : mSettings(aSettings)
    , mIncarnation(MakeRandomNumber())
    , mState(aSettings.mInTouch)
    , mControlStore(aSettings.mCommon.mStoreUrl)
    , mOperationStore(aSettings.mCommon.mStoreUrl)
    , mOperations(
        [this](const auto& aRequest, auto aTimeout) {
          return mOperationStore.Execute(aRequest, aTimeout);
        },
        aSettings.mCommon.mStoreTimeout)
    , mAgents(
        [this](const auto& aAddress, wire::Envelope&& aEnvelope) {
          SendToAgent(aAddress, std::move(aEnvelope));
        },
        [this](const auto& aAddress) { mClient.Reopen(aAddress); })
    , mProber(mState, mAgents, mEndpoints)
    , mPoller([this](const auto& aRequest,
                     auto aTimeout) { return mControlStore.Execute(aRequest, aTimeout); },
              aSettings.mCommon.mStoreTimeout,
              mState,
              mCredit)
    , mClient(
        aSettings.mCommon.mCurve,
        [this](const auto& aAddress, const wire::Envelope& aEnvelope) {
          OnEnvelope(aAddress, aEnvelope);
        },
        [this](const auto&, const wire::Envelope& aEnvelope) {
          mAgents.OnUnsent(aEnvelope);
        })
    , mContext{ mSettings, mIncarnation, mClock,  mState,      mCredit,
                mRetries,  mEndpoints,   mAgents, mOperations, mLoads }
    , mControl([this](const std::stop_token& aStop) { RunControl(aStop); })
    , mFront(mContext)
  {
  }

  void Stop()
  {
    mState.BeginStop();
    mFront.Drain(mSettings.mCommon.mStopTimeout);
  }

private:
  void SendToAgent(const transport::PeerAddress& aAddress, wire::Envelope aEnvelope)
  {
    aEnvelope.set_sender(mSettings.mCommon.mName.Str());
    aEnvelope.set_sender_incarnation(mIncarnation.Count());
    mClient.Send(aAddress, std::move(aEnvelope));
  }

  void OnEnvelope(const transport::PeerAddress& aAddress, const wire::Envelope& aEnvelope)
  {
    if (mAgents.OnEnvelope(aAddress, aEnvelope)) {
      return;
    }
    if (aEnvelope.has_load_report()) {
      mProber.OnReport(aAddress, aEnvelope, mClock.Now());
    }
  }

  void RunControl(const std::stop_token& aStop)
  {
    while (!aStop.stop_requested()) {
      mPoller.Tick(mClock);
      mProber.Tick(mClock.Now());
      std::this_thread::sleep_for(mSettings.mPollInterval);
    }
  }

  settings::EntrySettings mSettings;
  units::Incarnation mIncarnation;
  timing::SystemClock mClock;
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
  ConfigurationPoller mPoller;
  transport::PeerClient mClient;
  EntryContext mContext;
  std::jthread mControl;
  HttpFront mFront;
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
