#include "apps/tests/agent/agentworld.hpp"

#include <algorithm>
#include <utility>

#include "components/catalogue/configurationcodec.hpp"

namespace samphiresail::tests {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kTick{ 20 };
constexpr char kProbeRoute[] = "probe";

std::string ChunkOf(const std::string& aBody, int aChunk)
{
  return aBody + "#" + std::to_string(aChunk) + ";";
}

}

std::string AnswerTo(const std::string& aBody, int aChunks)
{
  std::string text;
  for (int n = 0; n < aChunks; ++n) {
    text += ChunkOf(aBody, n);
  }
  return text;
}

WorldOptions MakeOptions(std::uint64_t aSeed)
{
  WorldOptions options;
  options.mSeed = aSeed;
  options.mPool.mName = ids::PoolId("pool");
  options.mPool.mKind = catalogue::PoolKind::Service;
  options.mPool.mInFlight = 6;
  options.mPool.mQueue = 40;
  options.mPool.mMemory = units::Bytes(100);
  options.mPool.mLongestOrder = 3s;
  return options;
}

AgentWorld::AgentWorld(const WorldOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mStore(mClock)
  , mEngine(aOptions.mPool.mMemory, aOptions.mPool.mChecksFencing)
{
  StartAgent();
}

void AgentWorld::StartAgent()
{
  agent::AgentConfig config;
  config.mName = ids::ProcessId("agent");
  config.mEndpoint = ids::EndpointId("endpoint");
  config.mPool = mOptions.mPool.mName;
  config.mIncarnation = units::Incarnation(++mIncarnation);
  config.mSeed = mRandom();
  mCore = std::make_unique<agent::AgentCore>(config, Now());
  mNextTick = Now();
  Probe();
}

void AgentWorld::Run(timing::Duration aTime)
{
  const timing::Instant end = Now() + aTime;
  while (Now() < end) {
    const timing::Instant next =
      std::min({ end, mNextTick, mEvents.empty() ? end : mEvents.begin()->first });
    mClock.Advance(std::max(next - Now(), timing::Duration::zero()));
    while (!mEvents.empty() && mEvents.begin()->first <= Now()) {
      const auto step = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      step();
      if (mObserver) {
        mObserver();
      }
    }
    if (Now() >= mNextTick) {
      mNextTick = Now() + kTick;
      Perform(mCore->Tick(Now()));
    }
  }
}

void AgentWorld::Send(const std::string& aRoute, const wire::Envelope& aEnvelope)
{
  const int copies = (Chance(mFaults.mDrop) ? 0 : 1) + (Chance(mFaults.mRepeat) ? 1 : 0);
  for (int n = 0; n < copies; ++n) {
    At(LinkDelay(), [this, aRoute, aEnvelope] {
      Perform(mCore->OnEnvelope(aRoute, aEnvelope, Now()));
    });
  }
}

void AgentWorld::Listen(const std::string& aRoute, PeerHandler aHandler)
{
  mPeers[aRoute] = std::move(aHandler);
}

wire::LoadReport AgentWorld::Probe()
{
  catalogue::Configuration configuration;
  configuration.mVersion = units::Version(1);
  configuration.mCatalogue.mPools = { mOptions.mPool };
  configuration.mCatalogue.mModels = mOptions.mModels;
  wire::Envelope envelope;
  envelope.mutable_probe()->set_want_models(true);
  envelope.mutable_probe()->set_pool_document(
    catalogue::EncodeConfiguration(configuration));
  wire::LoadReport report;
  for (agent::Action& action : mCore->OnEnvelope(kProbeRoute, envelope, Now())) {
    if (auto* sent = std::get_if<agent::SendEnvelope>(&action)) {
      report = sent->mEnvelope.load_report();
    } else {
      std::visit([this](const auto& aItem) { Perform(aItem); }, action);
    }
  }
  return report;
}

wire::Envelope AgentWorld::MakeSubmit(const std::string& aAttempt,
                                      const std::string& aBody)
{
  wire::Envelope envelope;
  envelope.set_configuration_version(1);
  wire::Submit& submit = *envelope.mutable_submit();
  submit.set_request_id("request-" + aBody);
  submit.set_attempt_id(aAttempt);
  submit.set_agent_incarnation(mIncarnation);
  submit.set_ticket(Probe().ticket());
  submit.set_configuration_version(1);
  submit.set_client_account("account");
  submit.set_request_class(wire::SHORT);
  submit.set_body(aBody);
  submit.set_path("/call");
  return envelope;
}

void AgentWorld::Leave()
{
  Perform(mCore->Leave(Now()));
}

void AgentWorld::RestartAgent()
{
  // The kernel closes the connections of a process that ends, and the engine cancels.
  for (const ids::AttemptId& attempt : mEngine.Running()) {
    mEngine.EndCall(attempt);
  }
  StartAgent();
}

void AgentWorld::RestartEngine()
{
  mEngineRestartedAt = Now();
  const auto broken = mEngine.InFlight() > 0;
  mEngine.Restart(Now() + mOptions.mCold);
  if (broken) {
    // The calls that ran end when their next step finds the engine gone.
    mToldOfBreakAt = timing::Instant();
  }
}

void AgentWorld::At(timing::Duration aDelay, std::function<void()> aStep)
{
  mEvents.emplace(Now() + aDelay, std::move(aStep));
}

void AgentWorld::ForAgent(timing::Duration aDelay, std::function<void()> aStep)
{
  At(aDelay, [this, step = std::move(aStep), incarnation = mIncarnation] {
    if (incarnation == mIncarnation) {
      step();
    }
  });
}

bool AgentWorld::Chance(double aProbability)
{
  return aProbability > 0 && std::bernoulli_distribution(aProbability)(mRandom);
}

int AgentWorld::Pick(int aFrom, int aTo)
{
  return std::uniform_int_distribution<int>(aFrom, aTo)(mRandom);
}

timing::Duration AgentWorld::Short()
{
  return std::chrono::microseconds(Pick(100, 5000));
}

timing::Duration AgentWorld::LinkDelay()
{
  return Chance(mFaults.mDelay)
           ? timing::Duration(std::chrono::milliseconds(Pick(100, 4000)))
           : Short();
}

void AgentWorld::Perform(const agent::Actions& aActions)
{
  for (const agent::Action& action : aActions) {
    std::visit([this](const auto& aItem) { Perform(aItem); }, action);
  }
}

void AgentWorld::Perform(const agent::SendEnvelope& aItem)
{
  const int copies = (Chance(mFaults.mDrop) ? 0 : 1) + (Chance(mFaults.mRepeat) ? 1 : 0);
  for (int n = 0; n < copies; ++n) {
    At(LinkDelay(), [this, aItem] {
      const auto peer = mPeers.find(aItem.mRoute);
      if (peer != mPeers.end()) {
        peer->second(aItem.mEnvelope);
      }
    });
  }
}

void AgentWorld::Deliver(agent::BackendEvent aEvent, timing::Duration aDelay)
{
  ForAgent(aDelay, [this, event = std::move(aEvent)] {
    Perform(mCore->OnBackend(event, Now()));
  });
}

void AgentWorld::Perform(const agent::StartBackend& aItem)
{
  At(Short(), [this, aItem, incarnation = mIncarnation] {
    mEngine.BeginCall(aItem.mAttempt, aItem.mCall.mBody);
    if (incarnation != mIncarnation) {
      mEngine.EndCall(aItem.mAttempt);
      return;
    }
    const std::uint64_t generation = mEngine.Generation();
    const auto step = mOptions.mService / (mOptions.mChunksPerAnswer + 1);
    for (int n = 0; n < mOptions.mChunksPerAnswer; ++n) {
      const std::string chunk = ChunkOf(aItem.mCall.mBody, n);
      At(step * (n + 1), [this, aItem, generation, chunk] {
        if (generation == mEngine.Generation() && mEngine.IsRunning(aItem.mAttempt)) {
          Deliver(agent::BackendChunk{ aItem.mAttempt, chunk, 200, "text/plain" }, 0ms);
        }
      });
    }
    At(mOptions.mService, [this, aItem, generation] {
      if (generation == mEngine.Generation() && mEngine.IsRunning(aItem.mAttempt)) {
        FinishCall(aItem.mAttempt, agent::BackendOutcome::Answered);
      }
    });
    // A connection of an engine that ended breaks at once.
    for (int n = 1; n <= 20; ++n) {
      At(mOptions.mService * n / 20, [this, aItem, generation] {
        if (generation != mEngine.Generation()) {
          FinishCall(aItem.mAttempt, agent::BackendOutcome::Broken);
        }
      });
    }
  });
}

void AgentWorld::FinishCall(const ids::AttemptId& aAttempt,
                            agent::BackendOutcome aOutcome)
{
  mEngine.EndCall(aAttempt);
  if (aOutcome == agent::BackendOutcome::Broken) {
    mToldOfBreakAt = Now();
  }
  Deliver(agent::BackendDone{ .mAttempt = aAttempt,
                              .mOutcome = aOutcome,
                              .mHttpStatus = 200,
                              .mContentType = "text/plain" },
          0ms);
}

void AgentWorld::Perform(const agent::CancelBackend& aItem)
{
  At(Short(), [this, aItem] {
    if (mEngine.IsRunning(aItem.mAttempt)) {
      FinishCall(aItem.mAttempt, agent::BackendOutcome::Cancelled);
    }
  });
}

void AgentWorld::Perform(const agent::QueryHealth&)
{
  const timing::Instant askedAt = Now();
  if (Chance(mFaults.mQueryLost)) {
    Deliver(agent::HealthAnswer{ agent::BackendState::Silent, askedAt }, 800ms);
    return;
  }
  At(Short(), [this, askedAt] {
    const bool cold = mEngine.IsCold(Now());
    Deliver(
      agent::HealthAnswer{ cold ? agent::BackendState::Cold : agent::BackendState::Ready,
                           askedAt },
      Short());
  });
}

void AgentWorld::Perform(const agent::QueryResidentModels&)
{
  const timing::Instant askedAt = Now();
  const bool lost = Chance(mFaults.mQueryLost);
  At(LinkDelay(), [this, askedAt, lost] {
    Deliver(agent::ResidentAnswer{ !lost, mEngine.Residents(), askedAt }, LinkDelay());
  });
}

void AgentWorld::Perform(const agent::OrderBackend& aItem)
{
  const ledger::Order order = aItem.mOrder;
  const auto most =
    std::chrono::duration_cast<std::chrono::milliseconds>(mOptions.mPool.mLongestOrder);
  const auto answer = [this, order](ledger::OrderOutcome aOutcome) {
    Deliver(agent::OrderAnswer{ order.mFencing, aOutcome }, Short());
  };
  const bool answerLost = Chance(mFaults.mOrderAnswerLost);
  const auto carryOut = [this, order, answer, answerLost](bool aFirst) {
    const bool accepted = mEngine.Begin(order);
    const auto load = std::chrono::milliseconds(Pick(20, 300));
    At(load, [=, this] {
      if (accepted) {
        mEngine.End(order);
      }
      if (aFirst && !answerLost) {
        answer(accepted ? ledger::OrderOutcome::Confirmed
                        : ledger::OrderOutcome::Refused);
      }
    });
  };
  const bool lost = Chance(mFaults.mOrderLost);
  if (!lost) {
    const int latest = static_cast<int>(most.count()) - 400;
    const auto delay = std::chrono::milliseconds(
      Chance(mFaults.mOrderLate) ? Pick(50, latest) : Pick(1, 20));
    At(delay, [carryOut] { carryOut(true); });
    if (Chance(mFaults.mOrderRepeated)) {
      At(std::chrono::milliseconds(Pick(50, latest)), [carryOut] { carryOut(false); });
    }
  }
  if (lost || answerLost) {
    At(std::chrono::milliseconds(Pick(10, 500)),
       [answer] { answer(ledger::OrderOutcome::Unknown); });
  }
}

void AgentWorld::Perform(const agent::CallStore& aItem)
{
  const bool down = Chance(mFaults.mStoreDown);
  const bool lost = Chance(mFaults.mStoreAnswerLost);
  const auto answer = [this, call = aItem.mCall](store::StoreReply aReply) {
    ForAgent(Short(), [this, call, reply = std::move(aReply)] {
      Perform(mCore->OnStore({ call, reply }, Now()));
    });
  };
  if (down) {
    answer({ .mOutcome = store::StoreOutcome::NotSent });
    return;
  }
  At(Short(), [this, aItem, answer, lost] {
    store::StoreReply reply = mStore.Execute(aItem.mRequest, 1s);
    if (lost) {
      reply = { .mOutcome = store::StoreOutcome::Unknown };
    }
    answer(std::move(reply));
  });
}

}
