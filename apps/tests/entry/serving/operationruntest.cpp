#include <catch2/catch.hpp>

#include <map>
#include <thread>

#include "apps/samphiresail/entry/apierror.hpp"
#include "apps/samphiresail/entry/identifiers.hpp"
#include "apps/samphiresail/entry/operationrun.hpp"
#include "apps/tests/entry/serving/servingfixture.hpp"
#include "components/store/storekeys.hpp"

namespace {

using namespace samphiresail;
using entry::ApiError;
using entry::ApiErrorType;
using tests::MakeAcknowledge;
using tests::MakeChunk;
using tests::MakeComplete;
using tests::MakeRefuse;
using tests::ServingFixture;

/// Agent of a service that keeps a table of attempts, as the real one does.
class ServiceAgent
{
public:
  explicit ServiceAgent(ServingFixture& aFixture)
    : mFixture(aFixture)
  {
    mFixture.SetAgent([this](const auto& aAddress, const wire::Envelope& aEnvelope) {
      OnEnvelope(aAddress, aEnvelope);
    });
  }

  int Runs() const { return mRuns; }
  void LoseAnswers(bool aLose) { mLoseAnswers = aLose; }
  void Forget() { mForgotten = true; }

private:
  void OnEnvelope(const transport::PeerAddress& aAddress, const wire::Envelope& aEnvelope)
  {
    const std::lock_guard lock(mMutex);
    if (aEnvelope.has_submit()) {
      OnSubmit(aAddress, aEnvelope.submit());
    } else if (aEnvelope.has_tombstone()) {
      OnTombstone(aAddress, aEnvelope.tombstone());
    }
  }

  void OnSubmit(const transport::PeerAddress& aAddress, const wire::Submit& aSubmit)
  {
    if (mTombstones.contains(aSubmit.attempt_id())) {
      mFixture.Answer(aAddress, MakeRefuse(aSubmit, wire::TOMBSTONED));
      return;
    }
    if (mAnswers.emplace(aSubmit.attempt_id(), "booked").second) {
      ++mRuns;
    }
    if (!mLoseAnswers) {
      mFixture.Answer(aAddress, MakeChunk(aSubmit, 0, "booked"));
      mFixture.Answer(aAddress, MakeComplete(aSubmit, 1));
    }
  }

  void OnTombstone(const transport::PeerAddress& aAddress,
                   const wire::Tombstone& aTombstone)
  {
    wire::Envelope envelope;
    wire::TombstoneReply* reply = envelope.mutable_tombstone_reply();
    reply->set_attempt_id(aTombstone.attempt_id());
    reply->set_agent_incarnation(mForgotten ? 8 : aTombstone.agent_incarnation());
    const auto it = mAnswers.find(aTombstone.attempt_id());
    if (!mForgotten && it != mAnswers.end()) {
      reply->set_finished(true);
      reply->set_http_status(201);
      reply->set_answer(it->second);
    } else {
      reply->set_not_run(true);
      mTombstones[aTombstone.attempt_id()] = true;
    }
    mFixture.Answer(aAddress, envelope);
  }

  ServingFixture& mFixture;
  std::mutex mMutex;
  std::map<std::string, std::string> mAnswers;
  std::map<std::string, bool> mTombstones;
  std::atomic<int> mRuns{ 0 };
  bool mLoseAnswers{ false };
  bool mForgotten{ false };
};

entry::Answer Book(ServingFixture& aFixture,
                   const std::string& aKey,
                   const std::string& aBody = "{}")
{
  entry::CallerRequest request = aFixture.Booking(aKey, aBody);
  entry::AdmissionCharge charge = aFixture.Charge(request);
  entry::OperationRun run(aFixture.Context(), std::move(request), std::move(charge));
  return run.Run();
}

/// Runs a booking that fails and returns its error.
ApiError BookFailing(ServingFixture& aFixture, const std::string& aKey)
{
  try {
    Book(aFixture, aKey);
  } catch (const ApiError& error) {
    return error;
  }
  FAIL("the call was answered");
  return { ApiErrorType::Stopping, "" };
}

std::string RecordKey(const std::string& aKey)
{
  return std::string(store::kOperationPrefix) + "depots/booking/" +
         entry::HexText(entry::DigestText(aKey));
}

ApiErrorType BookError(ServingFixture& aFixture,
                       const std::string& aKey,
                       const std::string& aBody = "{}")
{
  try {
    Book(aFixture, aKey, aBody);
  } catch (const ApiError& error) {
    return error.Type();
  }
  FAIL("the call was answered");
  return ApiErrorType::Stopping;
}

}

TEST_CASE("at-most-once: a repeated call gets the stored answer", "[must-hold]")
{
  ServingFixture fixture;
  ServiceAgent agent(fixture);
  CHECK(Book(fixture, "k").mBody == "booked");
  CHECK(Book(fixture, "k").mBody == "booked");
  CHECK(agent.Runs() == 1);
  CHECK(Book(fixture, "other").mBody == "booked");
  CHECK(agent.Runs() == 2);
}

TEST_CASE("at-most-once: a key that was used for another body is refused", "[must-hold]")
{
  ServingFixture fixture;
  ServiceAgent agent(fixture);
  Book(fixture, "k", "{\"truck\":1}");
  CHECK(BookError(fixture, "k", "{\"truck\":2}") == ApiErrorType::IdempotencyKeyReused);
  CHECK(agent.Runs() == 1);
}

TEST_CASE("at-most-once: many calls with one key at the same time run once",
          "[must-hold]")
{
  ServingFixture fixture;
  ServiceAgent agent(fixture);
  std::atomic<int> answered{ 0 };
  {
    std::vector<std::jthread> callers;
    callers.reserve(8);
    for (int n = 0; n < 8; ++n) {
      callers.emplace_back([&] { answered += Book(fixture, "k").mBody == "booked"; });
    }
  }
  CHECK(answered == 8);
  CHECK(agent.Runs() == 1);
}

TEST_CASE("at-most-once: an answer that was lost is fetched from the agent by a repeat",
          "[must-hold]")
{
  ServingFixture fixture;
  ServiceAgent agent(fixture);
  agent.LoseAnswers(true);
  CHECK(BookError(fixture, "k") == ApiErrorType::OutcomeUnknown);
  agent.LoseAnswers(false);
  CHECK(Book(fixture, "k").mBody == "booked");
  CHECK(agent.Runs() == 1);
}

TEST_CASE(
  "at-most-once: an agent that has forgotten the attempt leaves the outcome unknown",
  "[must-hold]")
{
  ServingFixture fixture;
  ServiceAgent agent(fixture);
  agent.LoseAnswers(true);
  CHECK(BookError(fixture, "k") == ApiErrorType::OutcomeUnknown);
  agent.LoseAnswers(false);
  agent.Forget();
  CHECK(BookError(fixture, "k") == ApiErrorType::OutcomeUnknown);
  CHECK(agent.Runs() == 1);
}

TEST_CASE("at-most-once: a record whose answer was lost is read back", "[must-hold]")
{
  ServingFixture fixture;
  ServiceAgent agent(fixture);
  Book(fixture, "warm-up");
  fixture.Store().SetLoseAnswers(true);
  CHECK(BookError(fixture, "k") == ApiErrorType::StoreUnavailable);
  fixture.Store().SetLoseAnswers(false);
  CHECK(agent.Runs() == 1);
  CHECK(Book(fixture, "k").mBody == "booked");
  CHECK(Book(fixture, "k").mBody == "booked");
  CHECK(agent.Runs() == 2);
}

TEST_CASE("not-run: a call that needs the store is not run while the store is down",
          "[must-hold]")
{
  ServingFixture fixture;
  ServiceAgent agent(fixture);
  fixture.Store().SetDown(true);
  CHECK(BookError(fixture, "k") == ApiErrorType::StoreUnavailable);
  CHECK(agent.Runs() == 0);
  CHECK(fixture.Sent(wire::Envelope::kSubmit).empty());
}

TEST_CASE("at-most-once: a call without a key is not tried again once it was sent",
          "[must-hold]")
{
  ServingFixture fixture;
  ServiceAgent agent(fixture);
  agent.LoseAnswers(true);
  CHECK(BookError(fixture, "") == ApiErrorType::OutcomeUnknown);
  CHECK(agent.Runs() == 1);
}

TEST_CASE("not-run: a call that no endpoint takes withdraws its record", "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (aEnvelope.has_submit()) {
      fixture.Answer(aAddress, MakeRefuse(aEnvelope.submit(), wire::LEAVING));
    }
  });
  const ApiError error = BookFailing(fixture, "k");
  CHECK(error.RequestOutcome() == entry::Outcome::NotRun);
  CHECK(fixture.Store().Value(RecordKey("k")).empty());
}

TEST_CASE("not-run: a call whose record another call took over is not called not run",
          "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (!aEnvelope.has_submit()) {
      return;
    }
    wire::OperationRecord rival;
    rival.set_attempt_id("att-of-rival");
    rival.set_state(wire::OperationRecord::DONE);
    const auto found = fixture.Store().Execute(store::RangeRequest{ RecordKey("k") },
                                               std::chrono::seconds(1));
    REQUIRE(found.mRecords.size() == 1);
    fixture.Store().Execute(
      store::TransactionRequest{
        { { RecordKey("k"), found.mRecords.front().mModRevision } },
        { store::PutOperation{ RecordKey("k"), rival.SerializeAsString() } } },
      std::chrono::seconds(1));
    fixture.Answer(aAddress, MakeRefuse(aEnvelope.submit(), wire::DEADLINE));
  });
  const ApiError error = BookFailing(fixture, "k");
  CHECK(error.RequestOutcome() == entry::Outcome::Unknown);
}

TEST_CASE("not-run: a record whose write got no answer leaves the outcome unknown",
          "[must-hold]")
{
  ServingFixture fixture;
  ServiceAgent agent(fixture);
  Book(fixture, "warm-up");
  fixture.Store().SetLoseAnswers(true);
  CHECK(BookFailing(fixture, "k").RequestOutcome() == entry::Outcome::Unknown);
  fixture.Store().SetLoseAnswers(false);
  fixture.Store().SetDown(true);
  CHECK(BookFailing(fixture, "k").RequestOutcome() == entry::Outcome::NotRun);
}
