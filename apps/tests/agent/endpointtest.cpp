#include <catch2/catch.hpp>

#include <algorithm>

#include "apps/tests/agent/agentworld.hpp"
#include "apps/tests/support/seeds.hpp"
#include "components/store/storekeys.hpp"

namespace {

using namespace samphiresail;
using namespace samphiresail::tests;
using namespace std::chrono_literals;

/// Time within which an agent notices a cold start that breaks no connection.
constexpr std::chrono::milliseconds kNoticeTime{ 1100 };

/// Longest time that a call takes from the agent to the engine.
constexpr std::chrono::milliseconds kOnTheWay{ 6 };

std::string Name(const std::string& aKind, int aNumber)
{
  return aKind + "-" + std::to_string(aNumber);
}

WorldOptions MakeColdOptions(std::uint64_t aSeed)
{
  WorldOptions options = MakeOptions(aSeed);
  options.mPool.mColdInFlight = 2;
  options.mPool.mColdDuration = 2s;
  return options;
}

/// Sees the engine's true state: what it has in flight while it is cold.
class ColdObserver
{
public:
  explicit ColdObserver(AgentWorld& aWorld)
    : mWorld(aWorld)
  {
    mWorld.Observe([this] { Look(); });
  }
  int Excess() const { return mExcess; }

private:
  void Look()
  {
    const std::size_t inFlight = mWorld.Engine().InFlight();
    const bool rose = inFlight > mLast;
    mLast = inFlight;
    const timing::Instant restarted = mWorld.EngineRestartedAt();
    const bool told = mWorld.ToldOfBreakAt() >= restarted &&
                      mWorld.Now() > mWorld.ToldOfBreakAt() + kOnTheWay;
    const bool noticed = told || mWorld.Now() > restarted + kNoticeTime;
    const bool cold = mWorld.Engine().IsCold(mWorld.Now());
    if (cold && noticed && rose && inFlight > 2) {
      ++mExcess;
    }
  }

  AgentWorld& mWorld;
  std::size_t mLast{ 0 };
  int mExcess{ 0 };
};

}

TEST_CASE("cold-start: an endpoint that turns cold unannounced gets what it bears",
          "[must-hold]")
{
  std::size_t most = 0;
  for (const std::uint64_t seed : Seeds(60)) {
    AgentWorld world(MakeColdOptions(seed));
    INFO("seed " << seed);
    world.RestartEngine();
    const ColdObserver observer(world);
    world.Faults() = { .mDrop = 0.05, .mRepeat = 0.1, .mDelay = 0.05, .mQueryLost = 0.1 };
    for (int n = 0; n < 150; ++n) {
      world.Send("entry", world.MakeSubmit(Name("attempt", n), Name("body", n)));
      world.Run(std::chrono::milliseconds(world.Pick(1, 120)));
      most = std::max(most, world.Engine().InFlight());
      if (world.Chance(0.03)) {
        world.RestartEngine();
      }
      if (world.Chance(0.01)) {
        world.RestartAgent();
      }
    }
    REQUIRE(observer.Excess() == 0);
  }
  CHECK(most > 2);
}

TEST_CASE("cold-start: an agent that just started treats its endpoint as cold",
          "[must-hold]")
{
  AgentWorld world(MakeColdOptions(1));
  world.Run(500ms);
  CHECK(world.Probe().load().cold());
  CHECK(world.Probe().load().in_flight_limit() == 2);
  world.Run(2s);
  CHECK_FALSE(world.Probe().load().cold());
}

TEST_CASE("cold-start: an endpoint that does not say that it is ready counts as cold",
          "[must-hold]")
{
  AgentWorld world(MakeColdOptions(1));
  world.Run(3s);
  REQUIRE_FALSE(world.Probe().load().cold());
  world.Faults().mQueryLost = 1;
  world.Run(1200ms);
  CHECK(world.Probe().load().cold());
}

TEST_CASE("leaving: an endpoint that leaves takes no new work", "[must-hold]")
{
  for (const std::uint64_t seed : Seeds(40)) {
    AgentWorld world(MakeOptions(seed));
    INFO("seed " << seed);
    world.Faults() = { .mDrop = 0.1, .mRepeat = 0.2, .mDelay = 0.2 };
    world.Run(1s);
    for (int n = 0; n < 20; ++n) {
      world.Send("entry", world.MakeSubmit(Name("early", n), Name("early", n)));
    }
    world.Run(std::chrono::milliseconds(world.Pick(1, 300)));
    world.Leave();
    CHECK(world.Probe().load().leaving());
    for (int n = 0; n < 20; ++n) {
      world.Send("entry", world.MakeSubmit(Name("late", n), Name("late", n)));
    }
    world.Run(10s);
    for (int n = 0; n < 20; ++n) {
      REQUIRE(world.Engine().Runs(ids::AttemptId(Name("late", n))) == 0);
    }
    CHECK(world.Store().Value(std::string(store::kAgentPrefix) + "endpoint").empty());
  }
}

TEST_CASE("graceful-stop: a planned stop ends after the last answer and cuts none",
          "[must-hold]")
{
  for (const std::uint64_t seed : Seeds(40)) {
    AgentWorld world(MakeOptions(seed));
    INFO("seed " << seed);
    world.Run(1s);
    std::map<std::string, std::string> answers;
    int completed = 0;
    std::size_t openAtExit = 0;
    world.Observe([&] {
      if (world.Exited()) {
        openAtExit = std::max(openAtExit, world.Engine().InFlight());
      }
    });
    world.Listen("entry", [&](const wire::Envelope& aEnvelope) {
      if (aEnvelope.has_chunk()) {
        answers[aEnvelope.chunk().attempt_id()] += aEnvelope.chunk().data();
      } else if (aEnvelope.has_complete()) {
        completed += aEnvelope.complete().state() == wire::COMPLETED ? 1 : 0;
        wire::Envelope receipt;
        receipt.mutable_chunk_receipt()->set_attempt_id(
          aEnvelope.complete().attempt_id());
        receipt.mutable_chunk_receipt()->set_chunks_held(
          aEnvelope.complete().chunk_count());
        receipt.mutable_chunk_receipt()->set_complete(true);
        world.Send("entry", receipt);
      }
    });
    const int sent = world.Pick(1, 30);
    for (int n = 0; n < sent; ++n) {
      world.Send("entry", world.MakeSubmit(Name("attempt", n), Name("body", n)));
    }
    world.Run(50ms);
    world.Leave();
    world.Run(10s);
    REQUIRE(completed == sent);
    CHECK(world.Exited());
    CHECK(openAtExit == 0);
    for (int n = 0; n < sent; ++n) {
      CHECK(answers[Name("attempt", n)].size() == AnswerTo(Name("body", n), 4).size());
    }
  }
}

TEST_CASE("graceful-stop: a stop that nobody confirms still ends", "[must-hold]")
{
  AgentWorld world(MakeOptions(1));
  world.Run(1s);
  world.Send("entry", world.MakeSubmit("attempt", "body"));
  world.Run(20ms);
  world.Leave();
  world.Run(100ms);
  CHECK_FALSE(world.Exited());
  world.Run(10s);
  CHECK(world.Exited());
}

TEST_CASE("graceful-stop: a stop ends in time while the store is down", "[must-hold]")
{
  AgentWorld world(MakeOptions(1));
  world.Run(1s);
  world.Store().SetDown(true);
  world.Leave();
  world.Run(1s);
  CHECK_FALSE(world.Exited());
  world.Run(6s);
  CHECK(world.Exited());
}
