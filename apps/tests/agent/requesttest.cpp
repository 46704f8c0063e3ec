#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "apps/tests/agent/agentworld.hpp"
#include "apps/tests/support/seeds.hpp"

namespace {

using namespace samphiresail;
using namespace samphiresail::tests;
using namespace std::chrono_literals;

constexpr int kChunks = 4;
constexpr std::chrono::milliseconds kSilence{ 1500 };

/// Entry that submits attempts, collects numbered chunks, and submits again on a new
/// connection when it hears nothing.
class Caller
{
public:
  struct Attempt
  {
    std::string mBody;
    std::map<std::uint64_t, std::string> mChunks;
    std::uint64_t mCount{ 0 };
    bool mComplete{ false };
    bool mNotRun{ false };
    bool mUnknown{ false };
    bool mCancelled{ false };
    timing::Instant mHeardAt;
    int mConnections{ 0 };
  };

  Caller(AgentWorld& aWorld, bool aGivesUp)
    : mWorld(aWorld)
    , mGivesUp(aGivesUp)
  {
  }

  void Submit(const std::string& aAttempt)
  {
    mAttempts[aAttempt].mBody = "body-of-" + aAttempt;
    Send(aAttempt);
  }

  /// Submits silent attempts again and cancels some that are slow.
  void Step()
  {
    for (auto& [id, attempt] : mAttempts) {
      const bool open = !attempt.mComplete && !attempt.mNotRun && !attempt.mUnknown;
      if (!open || mWorld.Now() - attempt.mHeardAt < kSilence) {
        continue;
      }
      attempt.mCancelled |= mGivesUp && mWorld.Chance(0.5);
      attempt.mCancelled ? Cancel(id) : Send(id);
    }
  }

  std::map<std::string, Attempt>& Attempts() { return mAttempts; }

private:
  std::string NewRoute(const std::string& aId)
  {
    std::string route = aId + "/" + std::to_string(++mAttempts[aId].mConnections);
    mWorld.Listen(route, [this](const wire::Envelope& aItem) { Receive(aItem); });
    return route;
  }

  void Send(const std::string& aId)
  {
    Attempt& attempt = mAttempts[aId];
    attempt.mHeardAt = mWorld.Now();
    wire::Envelope envelope = mWorld.MakeSubmit(aId, attempt.mBody);
    envelope.mutable_submit()->set_agent_incarnation(mWorld.Incarnation());
    envelope.mutable_submit()->set_chunks_held(Held(attempt));
    mWorld.Send(NewRoute(aId), envelope);
  }

  void Cancel(const std::string& aId)
  {
    mAttempts[aId].mHeardAt = mWorld.Now();
    wire::Envelope envelope;
    envelope.mutable_cancel()->set_attempt_id(aId);
    envelope.mutable_cancel()->set_agent_incarnation(mWorld.Incarnation());
    mWorld.Send(NewRoute(aId), envelope);
  }

  static std::uint64_t Held(const Attempt& aAttempt)
  {
    std::uint64_t held = 0;
    while (aAttempt.mChunks.contains(held)) {
      ++held;
    }
    return held;
  }

  void Receive(const wire::Envelope& aItem)
  {
    if (aItem.has_chunk()) {
      Attempt& attempt = Heard(aItem.chunk().attempt_id());
      attempt.mChunks[aItem.chunk().sequence()] = aItem.chunk().data();
    } else if (aItem.has_complete()) {
      Attempt& attempt = Heard(aItem.complete().attempt_id());
      attempt.mUnknown |= aItem.complete().state() != wire::COMPLETED;
      attempt.mCount = aItem.complete().chunk_count();
    } else if (aItem.has_refuse()) {
      Attempt& attempt = Heard(aItem.refuse().attempt_id());
      attempt.mNotRun |= aItem.refuse().reason() != wire::STALE_TICKET;
    } else if (aItem.has_progress()) {
      Heard(aItem.progress().attempt_id());
    }
    for (auto& [id, attempt] : mAttempts) {
      attempt.mComplete |= attempt.mCount > 0 && Held(attempt) == attempt.mCount;
    }
  }

  Attempt& Heard(const std::string& aId)
  {
    Attempt& attempt = mAttempts[aId];
    attempt.mHeardAt = mWorld.Now();
    return attempt;
  }

  AgentWorld& mWorld;
  bool mGivesUp;
  std::map<std::string, Attempt> mAttempts;
};

std::string Join(const std::map<std::uint64_t, std::string>& aChunks)
{
  std::string text;
  for (const auto& [sequence, data] : aChunks) {
    text += data;
  }
  return text;
}

void RunCalls(AgentWorld& aWorld, Caller& aCaller, int aCalls)
{
  for (int n = 0; n < aCalls; ++n) {
    aCaller.Submit("attempt-" + std::to_string(n));
    aWorld.Run(std::chrono::milliseconds(aWorld.Pick(1, 60)));
    aCaller.Step();
  }
  for (int n = 0; n < 300; ++n) {
    aWorld.Run(100ms);
    aCaller.Step();
  }
}

}

TEST_CASE("whole-answer: every caller gets the whole answer to its own request",
          "[must-hold]")
{
  for (const std::uint64_t seed : Seeds(60)) {
    AgentWorld world(MakeOptions(seed));
    INFO("seed " << seed);
    world.Faults() = { .mDrop = 0.1, .mRepeat = 0.15, .mDelay = 0.15 };
    Caller caller(world, false);
    RunCalls(world, caller, 30);
    for (const auto& [id, attempt] : caller.Attempts()) {
      INFO(id);
      REQUIRE((attempt.mComplete || attempt.mNotRun));
      REQUIRE_FALSE(attempt.mUnknown);
      if (attempt.mComplete) {
        REQUIRE(Join(attempt.mChunks) == AnswerTo(attempt.mBody, kChunks));
        REQUIRE(world.Engine().Runs(ids::AttemptId(id)) == 1);
      }
    }
  }
}

TEST_CASE("not-run: an attempt that is refused for good never reaches the back end",
          "[must-hold]")
{
  int refused = 0;
  for (const std::uint64_t seed : Seeds(80)) {
    WorldOptions options = MakeOptions(seed);
    options.mPool.mInFlight = 2;
    options.mPool.mQueue = 3;
    AgentWorld world(options);
    INFO("seed " << seed);
    world.Faults() = { .mDrop = 0.15, .mRepeat = 0.3, .mDelay = 0.3 };
    Caller caller(world, true);
    RunCalls(world, caller, 40);
    for (const auto& [id, attempt] : caller.Attempts()) {
      INFO(id);
      if (attempt.mNotRun) {
        ++refused;
        REQUIRE(world.Engine().Runs(ids::AttemptId(id)) == 0);
        REQUIRE(attempt.mChunks.empty());
      }
    }
  }
  CHECK(refused > 200);
}

TEST_CASE("not-run: a submit that waited on the way with an old ticket is refused",
          "[must-hold]")
{
  AgentWorld world(MakeOptions(1));
  const wire::Envelope submit = world.MakeSubmit("attempt", "body");
  wire::RefuseReason reason = wire::REFUSE_UNSPECIFIED;
  world.Listen("entry",
               [&](const wire::Envelope& aItem) { reason = aItem.refuse().reason(); });
  world.Run(3s);
  world.Send("entry", submit);
  world.Run(1s);
  CHECK(reason == wire::STALE_TICKET);
  CHECK(world.Engine().Runs(ids::AttemptId("attempt")) == 0);
}

TEST_CASE("configuration: a submit of an older configuration is refused", "[must-hold]")
{
  AgentWorld world(MakeOptions(1));
  const wire::Envelope submit = world.MakeSubmit("attempt", "body");
  wire::Envelope newer;
  newer.set_configuration_version(2);
  newer.mutable_probe();
  world.Send("other", newer);
  world.Run(100ms);
  world.Send("entry", submit);
  world.Run(1s);
  CHECK(world.Engine().Runs(ids::AttemptId("attempt")) == 0);
}
