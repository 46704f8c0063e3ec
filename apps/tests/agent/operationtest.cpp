#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "apps/tests/agent/agentworld.hpp"
#include "apps/tests/support/seeds.hpp"
#include "components/store/storekeys.hpp"

namespace {

using namespace samphiresail;
using namespace samphiresail::tests;
using namespace std::chrono_literals;

constexpr int kMaxTries = 6;

enum class Outcome
{
  Open,
  Done,
  NotRun,
  Unknown,
};

/// One entry's handling of one irreversible operation, as the protocol asks for it: a
/// record before dispatch, a tombstone before a takeover. A pause holds back everything
/// that the entry would do.
class Operation
{
public:
  Operation(AgentWorld& aWorld, std::string aEntry, std::string aKey)
    : mWorld(aWorld)
    , mEntry(std::move(aEntry))
    , mKey(std::move(aKey))
  {
    Draw();
    Create();
  }

  Outcome Result() const { return mOutcome; }
  const std::set<std::string>& Refused() const { return mRefused; }
  void Pause(timing::Duration aTime) { mPausedUntil = mWorld.Now() + aTime; }

  void Step()
  {
    if (mOutcome != Outcome::Open || mWorld.Now() < mPausedUntil) {
      return;
    }
    for (const auto& envelope : std::exchange(mHeld, {})) {
      Receive(envelope);
    }
    if (mOutcome == Outcome::Open && mWorld.Now() - mActedAt > 1500ms) {
      ++mTries < kMaxTries ? Act() : Settle(Outcome::Unknown);
    }
  }

private:
  /// Takes a new attempt for the agent that runs now.
  void Draw()
  {
    mAttempt = mEntry + "-" + mKey + "-" + std::to_string(++mDrawn);
    mIncarnation = mWorld.Probe().incarnation();
    mFollowing = false;
  }

  std::string RecordKey() const { return store::kOperationPrefix + mKey; }

  void Create(std::int64_t aRevision = 0)
  {
    wire::OperationRecord record;
    record.set_attempt_id(mAttempt);
    record.set_agent_incarnation(mIncarnation);
    const store::TransactionRequest request{
      .mCompares = { { RecordKey(), aRevision } },
      .mWrites = { store::PutOperation{ RecordKey(), record.SerializeAsString() } }
    };
    store::StoreReply reply = mWorld.Store().Execute(request, 1s);
    if (mWorld.Chance(0.2)) {
      // The answer is lost: the entry reads back what its call has done.
      reply = mWorld.Store().Execute(request, 1s);
    }
    if (reply.mSucceeded) {
      Act();
    } else {
      Follow(reply.mRecords.at(0));
    }
  }

  void Follow(const store::KeyValue& aRecord)
  {
    wire::OperationRecord record;
    REQUIRE(record.ParseFromString(aRecord.mValue));
    mRevision = aRecord.mModRevision;
    mFollowing = record.attempt_id() != mAttempt;
    mAttempt = record.attempt_id();
    mIncarnation = record.agent_incarnation();
    Act();
  }

  void Act()
  {
    mActedAt = mWorld.Now();
    const std::string route =
      mEntry + "/" + mKey + "/" + std::to_string(mWorld.Pick(0, 1 << 30));
    mWorld.Listen(route, [this](const wire::Envelope& aItem) { Hear(aItem); });
    if (mFollowing || mTries >= 3) {
      wire::Envelope envelope;
      envelope.mutable_tombstone()->set_attempt_id(mAttempt);
      envelope.mutable_tombstone()->set_agent_incarnation(mIncarnation);
      mWorld.Send(route, envelope);
      return;
    }
    wire::Envelope envelope = mWorld.MakeSubmit(mAttempt, mKey);
    envelope.mutable_submit()->set_request_class(wire::IRREVERSIBLE);
    envelope.mutable_submit()->set_agent_incarnation(mIncarnation);
    // The entry may be paused between its last check and the send.
    const auto pause = mWorld.Chance(0.1) ? 4000ms : 0ms;
    mWorld.At(pause, [this, route, envelope] { mWorld.Send(route, envelope); });
  }

  void Hear(const wire::Envelope& aItem)
  {
    if (mWorld.Now() < mPausedUntil) {
      mHeld.push_back(aItem);
    } else if (mOutcome == Outcome::Open) {
      Receive(aItem);
    }
  }

  void Receive(const wire::Envelope& aItem)
  {
    if (aItem.has_tombstone_reply()) {
      Receive(aItem.tombstone_reply());
    } else if (aItem.has_complete() && aItem.complete().attempt_id() == mAttempt) {
      Settle(aItem.complete().state() == wire::COMPLETED ? Outcome::Done
                                                         : Outcome::Unknown);
    } else if (aItem.has_refuse() && aItem.refuse().attempt_id() == mAttempt) {
      OnRefuse(aItem.refuse().reason());
    }
  }

  void OnRefuse(wire::RefuseReason aReason)
  {
    if (aReason == wire::STALE_TICKET) {
      Act();
    } else if (aReason == wire::WRONG_INCARNATION) {
      Settle(Outcome::Unknown);
    } else {
      mRefused.insert(mAttempt);
      Release();
    }
  }

  /// Withdraws the record before it says that nothing ran, since another entry may have
  /// taken over.
  void Release()
  {
    const auto read = mWorld.Store().Execute(store::RangeRequest{ RecordKey() }, 1s);
    if (read.mRecords.empty()) {
      Settle(Outcome::NotRun);
      return;
    }
    wire::OperationRecord record;
    REQUIRE(record.ParseFromString(read.mRecords.at(0).mValue));
    if (record.attempt_id() != mAttempt) {
      Follow(read.mRecords.at(0));
      return;
    }
    const auto reply = mWorld.Store().Execute(
      store::TransactionRequest{
        .mCompares = { { RecordKey(), read.mRecords.at(0).mModRevision } },
        .mWrites = { store::DeleteOperation{ RecordKey() } } },
      1s);
    REQUIRE(reply.mSucceeded);
    Settle(Outcome::NotRun);
  }

  void Receive(const wire::TombstoneReply& aReply)
  {
    if (aReply.attempt_id() != mAttempt) {
      return;
    }
    if (aReply.agent_incarnation() != mIncarnation || aReply.failed()) {
      Settle(Outcome::Unknown);
    } else if (aReply.finished()) {
      CHECK(aReply.answer() == AnswerTo(mKey, 4));
      Settle(Outcome::Done);
    } else if (aReply.not_run()) {
      mRefused.insert(mAttempt);
      TakeOver();
    }
  }

  void TakeOver()
  {
    const auto read = mWorld.Store().Execute(store::RangeRequest{ RecordKey() }, 1s);
    if (read.mRecords.empty()) {
      Draw();
      Create();
      return;
    }
    wire::OperationRecord record;
    REQUIRE(record.ParseFromString(read.mRecords.at(0).mValue));
    if (record.attempt_id() != mAttempt) {
      Follow(read.mRecords.at(0));
      return;
    }
    Draw();
    Create(read.mRecords.at(0).mModRevision);
  }

  void Settle(Outcome aOutcome) { mOutcome = aOutcome; }

  AgentWorld& mWorld;
  std::string mEntry;
  std::string mKey;
  std::string mAttempt;
  std::uint64_t mIncarnation{ 0 };
  std::int64_t mRevision{ 0 };
  bool mFollowing{ false };
  int mDrawn{ 0 };
  int mTries{ 0 };
  timing::Instant mActedAt;
  timing::Instant mPausedUntil;
  std::vector<wire::Envelope> mHeld;
  std::set<std::string> mRefused;
  Outcome mOutcome{ Outcome::Open };
};

struct Tally
{
  int mDone{ 0 };
  int mNotRun{ 0 };
  int mUnknown{ 0 };
};

/// Sends each operation through two entries, as a caller does that asks again.
Tally RunOperations(AgentWorld& aWorld, bool aRestarts)
{
  std::vector<std::unique_ptr<Operation>> operations;
  for (int n = 0; n < 15; ++n) {
    const std::string key = "operation-" + std::to_string(n);
    operations.push_back(std::make_unique<Operation>(aWorld, "first", key));
    aWorld.Run(std::chrono::milliseconds(aWorld.Pick(0, 400)));
    operations.push_back(std::make_unique<Operation>(aWorld, "second", key));
    if (aWorld.Chance(0.2)) {
      operations.at(operations.size() - 2)->Pause(5s);
    }
    if (aRestarts && aWorld.Chance(0.25)) {
      aWorld.RestartAgent();
    }
  }
  Tally tally;
  for (int n = 0; n < 400; ++n) {
    aWorld.Run(100ms);
    for (const auto& operation : operations) {
      operation->Step();
    }
  }
  aWorld.Run(10s);
  for (const auto& operation : operations) {
    REQUIRE(operation->Result() != Outcome::Open);
    tally.mDone += operation->Result() == Outcome::Done ? 1 : 0;
    tally.mNotRun += operation->Result() == Outcome::NotRun ? 1 : 0;
    tally.mUnknown += operation->Result() == Outcome::Unknown ? 1 : 0;
    for (const std::string& attempt : operation->Refused()) {
      REQUIRE(aWorld.Engine().Runs(ids::AttemptId(attempt)) == 0);
    }
  }
  return tally;
}

WorldOptions MakeOperationOptions(std::uint64_t aSeed)
{
  WorldOptions options = MakeOptions(aSeed);
  options.mPool.mInFlight = 3;
  return options;
}

}

TEST_CASE("at-most-once: racing entries run an irreversible operation once",
          "[must-hold]")
{
  const bool restarts = GENERATE(false, true);
  int done = 0;
  for (const std::uint64_t seed : Seeds(60)) {
    AgentWorld world(MakeOperationOptions(seed));
    INFO("seed " << seed << " restarts " << restarts);
    world.Faults() = { .mDrop = 0.15, .mRepeat = 0.25, .mDelay = 0.25 };
    done += RunOperations(world, restarts).mDone;
    for (const auto& [key, runs] : world.Engine().RunsByBody()) {
      INFO(key);
      REQUIRE(runs <= 1);
    }
  }
  CHECK(done > 500);
}

TEST_CASE("at-most-once: without faults both callers get the one answer", "[must-hold]")
{
  AgentWorld world(MakeOperationOptions(1));
  std::vector<std::unique_ptr<Operation>> operations;
  operations.push_back(std::make_unique<Operation>(world, "first", "key"));
  operations.push_back(std::make_unique<Operation>(world, "second", "key"));
  for (int n = 0; n < 100; ++n) {
    world.Run(100ms);
    operations.at(0)->Step();
    operations.at(1)->Step();
  }
  // The first attempt meets the second caller's tombstone and its caller gets the answer
  // of the attempt that took over.
  CHECK(operations.at(0)->Result() == Outcome::Done);
  CHECK(operations.at(1)->Result() == Outcome::Done);
  CHECK(world.Engine().RunsByBody().at("key") == 1);
}

TEST_CASE("at-most-once: a restarted agent does not deny what its predecessor ran",
          "[must-hold]")
{
  AgentWorld world(MakeOperationOptions(1));
  wire::Envelope submit = world.MakeSubmit("attempt", "key");
  submit.mutable_submit()->set_request_class(wire::IRREVERSIBLE);
  world.Send("entry", submit);
  world.Run(100ms);
  REQUIRE(world.Engine().Runs(ids::AttemptId("attempt")) == 1);
  world.RestartAgent();
  wire::TombstoneReply reply;
  world.Listen("other",
               [&](const wire::Envelope& aItem) { reply = aItem.tombstone_reply(); });
  wire::Envelope tombstone;
  tombstone.mutable_tombstone()->set_attempt_id("attempt");
  tombstone.mutable_tombstone()->set_agent_incarnation(1);
  world.Send("other", tombstone);
  world.Send("entry", submit);
  world.Run(1s);
  CHECK(reply.agent_incarnation() == 2);
  CHECK_FALSE(reply.not_run());
  CHECK(world.Engine().Runs(ids::AttemptId("attempt")) == 1);
}
