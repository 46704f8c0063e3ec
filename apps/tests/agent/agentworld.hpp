#ifndef SAMPHIRESAIL_APPS_TESTS_AGENT_AGENTWORLD_HPP
#define SAMPHIRESAIL_APPS_TESTS_AGENT_AGENTWORLD_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "apps/samphiresail/agent/agentcore.hpp"
#include "apps/tests/agent/fakeengine.hpp"
#include "apps/tests/support/memorystore.hpp"
#include "components/catalogue/catalogue.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::tests {

/// What goes wrong between the agent, its engine, the store and its peers; probabilities
/// from 0 to 1.
struct WorldFaults
{
  /// Messages of peers, each way.
  double mDrop{ 0 };
  double mRepeat{ 0 };
  double mDelay{ 0 };
  /// Orders to the engine and their answers.
  double mOrderLost{ 0 };
  double mOrderLate{ 0 };
  double mOrderRepeated{ 0 };
  double mOrderAnswerLost{ 0 };
  /// Calls of the store: answer lost after the effect, or not sent.
  double mStoreAnswerLost{ 0 };
  double mStoreDown{ 0 };
  double mQueryLost{ 0 };
};

struct WorldOptions
{
  std::uint64_t mSeed{ 1 };
  catalogue::EndpointPool mPool;
  std::vector<catalogue::Model> mModels;
  /// Time of a call at the engine.
  std::chrono::milliseconds mService{ 200 };
  std::chrono::milliseconds mCold{ 2000 };
  int mChunksPerAnswer{ 4 };
};

/// Pool and models that most tests use.
WorldOptions MakeOptions(std::uint64_t aSeed);

/// One agent core with a fake engine, a store in memory and peers, under injected time.
/// Everything that happens is an event at an instant; the seed decides all chances.
class AgentWorld
{
public:
  using PeerHandler = std::function<void(const wire::Envelope&)>;

  explicit AgentWorld(const WorldOptions& aOptions);

  /// Runs until the given time has passed; the agent ticks every 20 ms.
  void Run(timing::Duration aTime);

  /// Sends a message to the agent over the faulty link.
  void Send(const std::string& aRoute, const wire::Envelope& aEnvelope);
  /// Sets the receiver of what the agent sends to a route.
  void Listen(const std::string& aRoute, PeerHandler aHandler);

  /// Probes the agent without faults and returns its report.
  wire::LoadReport Probe();

  /// Makes a submit with a fresh ticket of the agent that runs now.
  wire::Envelope MakeSubmit(const std::string& aAttempt, const std::string& aBody);

  void Leave();
  /// Ends the agent's process at once and starts another with empty memory.
  void RestartAgent();
  void RestartEngine();
  /// Schedules a step of the test itself.
  void At(timing::Duration aDelay, std::function<void()> aStep);

  bool Chance(double aProbability);
  int Pick(int aFrom, int aTo);

  timing::Instant Now() const { return mClock.Now(); }
  agent::AgentCore& Core() { return *mCore; }
  FakeEngine& Engine() { return mEngine; }
  MemoryStore& Store() { return mStore; }
  WorldFaults& Faults() { return mFaults; }
  bool Exited() const { return mExited; }
  /// Called at every instant at which something happened.
  void Observe(std::function<void()> aObserver) { mObserver = std::move(aObserver); }
  /// When the agent last learned that the engine broke a connection.
  timing::Instant ToldOfBreakAt() const { return mToldOfBreakAt; }
  timing::Instant EngineRestartedAt() const { return mEngineRestartedAt; }
  std::uint64_t Incarnation() const { return mIncarnation; }

private:
  void Perform(const agent::Actions& aActions);
  void Perform(const agent::SendEnvelope& aItem);
  void Perform(const agent::StartBackend& aItem);
  void Perform(const agent::CancelBackend& aItem);
  void Perform(const agent::QueryHealth& aItem);
  void Perform(const agent::QueryResidentModels& aItem);
  void Perform(const agent::OrderBackend& aItem);
  void Perform(const agent::CallStore& aItem);
  void Perform(const agent::RecordEvent&) {}
  void Perform(const agent::Exit&) { mExited = true; }

  void StartAgent();
  void EmitChunk(const ids::AttemptId& aAttempt, std::uint64_t aGeneration, int aChunk);
  void FinishCall(const ids::AttemptId& aAttempt, agent::BackendOutcome aOutcome);
  void Deliver(agent::BackendEvent aEvent, timing::Duration aDelay);
  timing::Duration Short();
  timing::Duration LinkDelay();
  /// Runs a step for the agent that runs now, and none that replaced it.
  void ForAgent(timing::Duration aDelay, std::function<void()> aStep);

  WorldOptions mOptions;
  std::mt19937_64 mRandom;
  timing::ManualClock mClock;
  MemoryStore mStore;
  FakeEngine mEngine;
  WorldFaults mFaults;
  std::multimap<timing::Instant, std::function<void()>> mEvents;
  std::map<std::string, PeerHandler> mPeers;
  std::unique_ptr<agent::AgentCore> mCore;
  std::uint64_t mIncarnation{ 0 };
  timing::Instant mNextTick;
  timing::Instant mToldOfBreakAt;
  timing::Instant mEngineRestartedAt;
  bool mExited{ false };
  std::function<void()> mObserver;
};

/// Returns the text that the engine answers to a body.
std::string AnswerTo(const std::string& aBody, int aChunks);

}

#endif
