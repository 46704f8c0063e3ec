#include <catch2/catch.hpp>

#include <set>

#include "apps/samphiresail/entry/apierror.hpp"
#include "apps/samphiresail/entry/authentication.hpp"
#include "apps/samphiresail/entry/exchange.hpp"
#include "apps/tests/entry/serving/servingfixture.hpp"

namespace {

using namespace samphiresail;
using entry::ApiError;
using entry::ApiErrorType;
using entry::Exchange;
using tests::MakeAcknowledge;
using tests::MakeChunk;
using tests::MakeComplete;
using tests::MakeRefuse;
using tests::ServingFixture;

Exchange MakeExchange(ServingFixture& aFixture, bool aStream)
{
  entry::CallerRequest request = aFixture.Chat(aStream);
  entry::AdmissionCharge charge = aFixture.Charge(request);
  return { aFixture.Context(), std::move(request), std::move(charge) };
}

std::string ReadStream(Exchange& aExchange)
{
  std::string text;
  while (auto part = aExchange.NextPart()) {
    text += *part;
  }
  return text;
}

std::string Event(const std::string& aId, const std::string& aText)
{
  return "data: {\"choices\":[{\"delta\":{\"content\":\"" + aText +
         "\"},\"finish_reason\":null,\"index\":0}],\"id\":\"" + aId + "\"}\n\n";
}

ApiError CatchError(const std::function<void()>& aCall)
{
  try {
    aCall();
  } catch (const ApiError& error) {
    return error;
  }
  FAIL("no error was thrown");
  return { ApiErrorType::Stopping, "" };
}

}

TEST_CASE("whole-answer: chunks that arrive twice and out of order give the answer once",
          "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (!aEnvelope.has_submit()) {
      return;
    }
    const wire::Submit& submit = aEnvelope.submit();
    fixture.Answer(aAddress, MakeChunk(submit, 2, "c"));
    fixture.Answer(aAddress, MakeComplete(submit, 3));
    fixture.Answer(aAddress, MakeChunk(submit, 0, "a"));
    fixture.Answer(aAddress, MakeChunk(submit, 0, "a"));
    fixture.Answer(aAddress, MakeChunk(submit, 1, "b"));
    fixture.Answer(aAddress, MakeChunk(submit, 2, "c"));
  });
  Exchange exchange = MakeExchange(fixture, false);
  CHECK(exchange.RunUnary().mBody == "abc");
}

TEST_CASE("whole-answer: an answer to another request is never mixed in", "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (!aEnvelope.has_submit()) {
      return;
    }
    wire::Submit other = aEnvelope.submit();
    other.set_attempt_id("att-of-another");
    fixture.Answer(aAddress, MakeChunk(other, 0, "wrong"));
    fixture.Answer(aAddress, MakeComplete(other, 1));
    fixture.Answer(aAddress, MakeChunk(aEnvelope.submit(), 0, "right"));
    fixture.Answer(aAddress, MakeComplete(aEnvelope.submit(), 1));
  });
  Exchange exchange = MakeExchange(fixture, false);
  CHECK(exchange.RunUnary().mBody == "right");
}

TEST_CASE("whole-answer: a connection that falls silent is opened anew and the attempt "
          "goes on where it was",
          "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (!aEnvelope.has_submit()) {
      return;
    }
    const wire::Submit& submit = aEnvelope.submit();
    if (fixture.Reopened() == 0) {
      fixture.Answer(aAddress, MakeAcknowledge(submit));
      fixture.Answer(aAddress, MakeChunk(submit, 0, Event("x", "one")));
      return;
    }
    CHECK(submit.chunks_held() == 1);
    fixture.Answer(aAddress, MakeChunk(submit, 1, Event("x", " two")));
    fixture.Answer(aAddress, MakeComplete(submit, 2));
  });
  Exchange exchange = MakeExchange(fixture, true);
  CHECK(ReadStream(exchange) == Event("x", "one") + Event("x", " two"));
  const auto submits = fixture.Sent(wire::Envelope::kSubmit);
  REQUIRE(submits.size() == 2);
  CHECK(submits[0].submit().attempt_id() == submits[1].submit().attempt_id());
}

TEST_CASE("whole-answer: a stream that breaks is continued at another endpoint",
          "[must-hold]")
{
  ServingFixture fixture;
  std::set<std::string> endpoints;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (!aEnvelope.has_submit()) {
      return;
    }
    const wire::Submit& submit = aEnvelope.submit();
    endpoints.insert(aAddress);
    if (endpoints.size() == 1) {
      fixture.Answer(aAddress, MakeChunk(submit, 0, Event("first", "one")));
      fixture.Answer(aAddress, MakeComplete(submit, 1, wire::FAILED_UNKNOWN));
      return;
    }
    CHECK(submit.resume_text() == "one");
    CHECK(submit.resume_tokens() == 1);
    fixture.Answer(aAddress,
                   MakeChunk(submit, 0, Event("second", "") + Event("second", " two")));
    fixture.Answer(aAddress, MakeComplete(submit, 1));
  });
  Exchange exchange = MakeExchange(fixture, true);
  const std::string text = ReadStream(exchange);
  CHECK(endpoints.size() == 2);
  CHECK(text.find("one") < text.find(" two"));
  CHECK(text.find("second") == std::string::npos);
}

TEST_CASE("not-run: refusals of all endpoints are passed on as not run", "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (aEnvelope.has_submit()) {
      fixture.Answer(aAddress, MakeRefuse(aEnvelope.submit(), wire::QUEUE_FULL));
    }
  });
  Exchange exchange = MakeExchange(fixture, false);
  const ApiError error = CatchError([&] { exchange.RunUnary(); });
  CHECK(error.Type() == ApiErrorType::Overloaded);
  CHECK(error.RequestOutcome() == entry::Outcome::NotRun);
  CHECK(error.RetryAfter());
}

TEST_CASE("not-run: an answer that broke off is never called not run", "[must-hold]")
{
  ServingFixture fixture;
  int submits = 0;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (!aEnvelope.has_submit()) {
      return;
    }
    if (++submits == 1) {
      fixture.Answer(aAddress, MakeComplete(aEnvelope.submit(), 0, wire::FAILED_UNKNOWN));
    } else {
      fixture.Answer(aAddress, MakeRefuse(aEnvelope.submit(), wire::LEAVING));
    }
  });
  Exchange exchange = MakeExchange(fixture, false);
  const ApiError error = CatchError([&] { exchange.RunUnary(); });
  CHECK(error.RequestOutcome() == entry::Outcome::Unknown);
}

TEST_CASE("not-run: a restarted agent's refusal after a silence is not taken as not run",
          "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (!aEnvelope.has_submit()) {
      return;
    }
    if (fixture.Reopened() == 0) {
      fixture.Answer(aAddress, MakeAcknowledge(aEnvelope.submit()));
    } else {
      fixture.Answer(aAddress, MakeRefuse(aEnvelope.submit(), wire::WRONG_INCARNATION));
    }
  });
  Exchange exchange = MakeExchange(fixture, false);
  const ApiError error = CatchError([&] { exchange.RunUnary(); });
  CHECK(error.RequestOutcome() == entry::Outcome::Unknown);
}

TEST_CASE("a stale ticket costs one more round trip with a fresh one")
{
  ServingFixture fixture;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (!aEnvelope.has_submit()) {
      return;
    }
    const wire::Submit& submit = aEnvelope.submit();
    if (submit.ticket() != "fresh") {
      fixture.Answer(aAddress, MakeRefuse(submit, wire::STALE_TICKET));
      return;
    }
    fixture.Answer(aAddress, MakeChunk(submit, 0, "ok"));
    fixture.Answer(aAddress, MakeComplete(submit, 1));
  });
  Exchange exchange = MakeExchange(fixture, false);
  CHECK(exchange.RunUnary().mBody == "ok");
  const auto submits = fixture.Sent(wire::Envelope::kSubmit);
  std::set<std::string> attempts;
  for (const auto& envelope : submits) {
    attempts.insert(envelope.submit().attempt_id());
  }
  CHECK(attempts.size() == submits.size());
}

TEST_CASE("keys: a withdrawn key gets no further attempt", "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (!aEnvelope.has_submit()) {
      return;
    }
    fixture.Withdraw();
    fixture.Answer(aAddress, MakeRefuse(aEnvelope.submit(), wire::STALE_TICKET));
  });
  Exchange exchange = MakeExchange(fixture, false);
  const ApiError error = CatchError([&] { exchange.RunUnary(); });
  CHECK(error.Type() == ApiErrorType::KeyWithdrawn);
  CHECK(fixture.Sent(wire::Envelope::kSubmit).size() == 1);
}

TEST_CASE("keys: a running stream ends when its key is withdrawn", "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    if (aEnvelope.has_submit()) {
      fixture.Answer(aAddress, MakeChunk(aEnvelope.submit(), 0, Event("x", "one")));
      fixture.Answer(aAddress, MakeChunk(aEnvelope.submit(), 1, Event("x", " two")));
    }
  });
  {
    Exchange exchange = MakeExchange(fixture, true);
    CHECK(exchange.NextPart() == Event("x", "one"));
    fixture.Withdraw();
    const ApiError error = CatchError([&] { exchange.NextPart(); });
    CHECK(error.Type() == ApiErrorType::KeyWithdrawn);
  }
  CHECK(fixture.Sent(wire::Envelope::kCancel).size() == 1);
}

TEST_CASE("keys: nothing is dispatched by an entry that is not in touch", "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([](const auto&, const wire::Envelope&) {});
  Exchange exchange = MakeExchange(fixture, false);
  fixture.Context().mState.SetEvidence(fixture.Context().mClock.Now() -
                                       std::chrono::hours(2));
  const ApiError error = CatchError([&] { exchange.RunUnary(); });
  CHECK(error.Type() == ApiErrorType::NotInTouch);
  CHECK(error.RequestOutcome() == entry::Outcome::NotRun);
  CHECK(fixture.Sent(wire::Envelope::kSubmit).empty());
}

TEST_CASE("keys: no envelope to an agent carries the key", "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([&](const auto& aAddress, const wire::Envelope& aEnvelope) {
    CHECK(aEnvelope.SerializeAsString().find(tests::kTestKey) == std::string::npos);
    if (aEnvelope.has_submit()) {
      fixture.Answer(aAddress, MakeChunk(aEnvelope.submit(), 0, "ok"));
      fixture.Answer(aAddress, MakeComplete(aEnvelope.submit(), 1));
    }
  });
  Exchange exchange = MakeExchange(fixture, false);
  CHECK(exchange.RunUnary().mBody == "ok");
}

TEST_CASE("zone: an entry that is not in touch dispatches nothing on open routes",
          "[must-hold]")
{
  ServingFixture fixture;
  fixture.SetAgent([](const auto&, const wire::Envelope&) {});
  entry::CallerRequest request;
  request.mOpen = true;
  fixture.Context().mState.SetEvidence(fixture.Context().mClock.Now() -
                                       std::chrono::hours(2));
  const ApiError error =
    CatchError([&] { entry::CheckDispatch(fixture.Context(), request); });
  CHECK(error.Type() == ApiErrorType::NotInTouch);
}
