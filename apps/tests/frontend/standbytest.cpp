#include <algorithm>

#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;
using std::chrono::milliseconds;

namespace {

const std::string kFull = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r1\r\n"
                          "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

std::string Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: " + std::to_string(aId) + "\n\n";
}

/// Response to a request for a stream of four events, with pauses before some of them.
ScriptedEndpoint::Script StreamWithPauses(milliseconds aBeforeHead,
                                          milliseconds aBeforeFirst,
                                          milliseconds aBetween)
{
  ScriptedEndpoint::Script script;
  script.mLater = { { aBeforeHead, StreamHead() },
                    { aBeforeFirst, Chunk(Event(1)) },
                    { aBetween, Chunk(Event(2)) },
                    { aBetween, Chunk(Event(3)) },
                    { milliseconds(0), Chunk(Event(4)) + "0\r\n\r\n" } };
  return script;
}

/// True if the text is a whole stream that brings each of the four events once.
bool IsWholeStream(const std::string& aResponse)
{
  std::size_t at = 0;
  for (int id = 1; id <= 4; ++id) {
    at = aResponse.find(Event(id), at);
    if (at == std::string::npos ||
        aResponse.find(Event(id), at + 1) != std::string::npos) {
      return false;
    }
  }
  return aResponse.starts_with("HTTP/1.1 200") && HasLastChunk(aResponse);
}

}

TEST_CASE_METHOD(Fixture,
                 "standby: an endpoint that refuses late costs no stream of a silent one",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& first = AddEndpoint("e1");
  first.AddScript(StreamWithPauses(milliseconds(0), milliseconds(0), milliseconds(1900)));
  // The first endpoint is asked again, with the last event that it brought.
  first.AddScript(
    { StreamHead() + Chunk(Event(2)) + Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n" });
  ScriptedEndpoint::Script late;
  late.mLater = { { milliseconds(300), kFull } };
  AddEndpoint("e2", "z2").AddScript(late);
  const std::string r = Call(Post("/stream/1"), EndsCall);
  CHECK(IsWholeStream(r));
}

TEST_CASE_METHOD(Fixture,
                 "standby: an endpoint that fails late costs no request of a silent one",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint::Script s;
  s.mLater = { { milliseconds(1500), ResponseWithDigest("r1", "hello") } };
  AddEndpoint("e1").AddScript(s);
  ScriptedEndpoint::Script late;
  late.mLater = { { milliseconds(300), "" } };
  late.mClose = true;
  AddEndpoint("e2", "z2").AddScript(late);
  const std::string r = Call(Get("/safe/1"), HasHeadAndBody);
  CHECK(r.ends_with("hello"));
}

TEST_CASE_METHOD(
  Fixture,
  "standby: a second endpoint that is silent as well costs no stream of the first",
  "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& first = AddEndpoint("e1");
  first.AddScript(StreamWithPauses(milliseconds(0), milliseconds(0), milliseconds(1700)));
  ScriptedEndpoint::Script late;
  late.mLater = { { milliseconds(60000), kFull } };
  AddEndpoint("e2", "z2").AddScript(late);
  const std::string r = Call(Post("/stream/1"), EndsCall);
  CHECK(IsWholeStream(r));
}

TEST_CASE_METHOD(Fixture,
                 "standby: a third endpoint is tried while the second awaits its head",
                 "[frontend]")
{
  StartTicks();
  ChangeConfiguration([](gateway::ServingConfiguration& aConfiguration) {
    std::ranges::for_each(aConfiguration.mRoutes,
                          [](gateway::Route& aRoute) { aRoute.mMaxAttempts = 4; });
  });
  ScriptedEndpoint::Script hang;
  hang.mLater = { { milliseconds(60000), "" } };
  ScriptedEndpoint& e1 = AddEndpoint("e1");
  ScriptedEndpoint& e2 = AddEndpoint("e2", "z1");
  ScriptedEndpoint& e3 = AddEndpoint("e3", "z2");
  e1.AddScript(hang);
  e2.AddScript(hang);
  e3.AddScript({ ResponseWithDigest("r1", "hello") });
  const std::string r = Call(Get("/safe/1"), HasHeadAndBody);
  CHECK(e3.Requests().size() == 1);
  CHECK(r.ends_with("\r\n\r\nhello"));
}

TEST_CASE_METHOD(Fixture,
                 "standby: a failure of the silent endpoint does not end the standby",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint::Script bad;
  bad.mLater = {
    { milliseconds(1000),
      "HTTP/1.1 500 Error\r\nAttempt-Id: r1\r\nContent-Length: 0\r\n\r\n" }
  };
  AddEndpoint("e1").AddScript(bad);
  ScriptedEndpoint::Script good;
  good.mLater = { { milliseconds(200), ResponseWithDigest("r1", "hello") } };
  ScriptedEndpoint& e2 = AddEndpoint("e2", "z2");
  e2.AddScript(good);
  const std::string r = Call(Get("/safe/1"), HasHeadAndBody);
  CHECK(e2.Requests().size() == 1);
  CHECK(r.ends_with("\r\n\r\nhello"));
}

TEST_CASE_METHOD(Fixture,
                 "standby: a body that arrives steadily is not silent",
                 "[frontend]")
{
  StartTicks();
  const std::string whole = ResponseWithDigest("r1", "hellohello");
  const std::size_t at = whole.size() - 10;
  ScriptedEndpoint::Script slow{ whole.substr(0, at) };
  for (std::size_t i = 0; i < 10; ++i) {
    slow.mLater.emplace_back(milliseconds(200), whole.substr(at + i, 1));
  }
  AddEndpoint("e1").AddScript(slow);
  ScriptedEndpoint::Script hang;
  hang.mLater = { { milliseconds(60000), "" } };
  ScriptedEndpoint& e2 = AddEndpoint("e2", "z2");
  e2.AddScript(hang);
  const std::string r = Call(Get("/safe/1"), HasHeadAndBody);
  CHECK(e2.Requests().empty());
  CHECK(r.ends_with("hellohello"));
}

TEST_CASE_METHOD(Fixture,
                 "standby: one that cannot be reached is avoided afterwards",
                 "[frontend]")
{
  StartTicks();
  AddEndpoint("e1").AddScript(
    StreamWithPauses(milliseconds(0), milliseconds(0), milliseconds(1900)));
  AddEndpoint("e2", "z2");
  const auto id = ids::EndpointId("e2");
  SECTION("unreachable")
  {
    mControl.mDirectory.Find(id)->mReport.mAddress.mPort = 1;
    CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
    CHECK(mControl.mDirectory.Find(id)->mAvoidUntil > timing::Instant{});
  }
}

TEST_CASE_METHOD(Fixture, "standby: the end of its endpoint is recorded", "[frontend]")
{
  StartTicks();
  AddEndpoint("e1").AddScript(
    StreamWithPauses(milliseconds(1900), milliseconds(0), milliseconds(0)));
  ScriptedEndpoint& e2 = AddEndpoint("e2", "z2");
  ScriptedEndpoint::Script crash;
  crash.mCrash = true;
  e2.AddScript(crash);
  ScriptedEndpoint::Script s =
    StreamWithPauses(milliseconds(4000), milliseconds(0), milliseconds(0));
  const std::string r = Call(Post("/stream/1"), EndsCall);
  RunFor(milliseconds(300));
  CHECK(IsWholeStream(r));
  CHECK(e2.Requests().size() == 1);
  CHECK(e2.Crashed());
  CHECK(mControl.mDirectory.Find(ids::EndpointId("e2"))->mFailureFraction > 0);
  CHECK(Contains(Log(), "endpoint has ended"));
}

TEST_CASE_METHOD(Fixture,
                 "standby: a refusal does not use up the attempts of a route",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint::Script s{ StreamHead() + Chunk(Event(1)) + Chunk(Event(2)) };
  s.mLater = { { milliseconds(1500), "" } };
  s.mClose = true;
  AddEndpoint("e1").AddScript(s);
  AddEndpoint("e2", "z1").AddScript({ kFull });
  ScriptedEndpoint::Script rest;
  rest.mBytes = StreamHead() + Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n";
  ScriptedEndpoint& e3 = AddEndpoint("e3", "z2");
  e3.AddScript(rest);
  const std::string r = Call(Post("/stream/1"), EndsCall);
  CHECK(IsWholeStream(r));
}

TEST_CASE_METHOD(Fixture,
                 "standby: none is sent while a whole response is written",
                 "[frontend]")
{
  StartTicks();
  const std::string big(6000000, 'x');
  AddEndpoint("e1").AddScript({ ResponseWithDigest("r1", big) });
  ScriptedEndpoint& e2 = AddEndpoint("e2", "z2");
  e2.AddScript({ ResponseWithDigest("r1", big) });
  const std::string r =
    CallAndReadLate(Get("/safe/1"), milliseconds(150), HasHeadAndBody);
  CHECK(r.size() > big.size());
  CHECK(e2.Requests().empty());
}

TEST_CASE_METHOD(Fixture,
                 "caller: the time that a body took is not handed to the endpoint",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& e1 = AddEndpoint("e1");
  e1.AddScript({ ResponseWithDigest("r1", "done") });
  const std::string head = "POST /once/1" + std::string(kCommon) +
                           "Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\n";
  CallInParts({ { milliseconds(0), head },
                { milliseconds(1500), "bo" },
                { milliseconds(1500), "dy" } },
              HasHeadAndBody);
  REQUIRE(e1.Requests().size() == 1);
  const std::string q = e1.Requests()[0];
  INFO(q);
  const auto at = q.find("Deadline-Ms: ");
  REQUIRE(at != std::string::npos);
  CHECK(std::stol(q.substr(at + 13)) <= 2500);
}

TEST_CASE_METHOD(
  Fixture,
  "forward: a good answer after a failure of another endpoint counts as good",
  "[frontend]")
{
  StartTicks();
  AddEndpoint("e1").AddScript(
    { "HTTP/1.1 500 Error\r\nAttempt-Id: r1\r\nContent-Length: 0\r\n\r\n" });
  AddEndpoint("e2", "z2").AddScript({ ResponseWithDigest("r1", "hello") });
  CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("hello"));
  RunFor(milliseconds(20));
  CHECK(mControl.mDirectory.Find(ids::EndpointId("e2"))->mFailureFraction == 0.0);
}

TEST_CASE_METHOD(Fixture,
                 "stop: a request behind a response that kept its connection is answered",
                 "[frontend]")
{
  StartTicks();
  const bool stops = GENERATE(false, true);
  // More than the buffers of both ends hold, so that it is being written for a while.
  constexpr std::size_t kLength = 6000000;
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ ResponseWithDigest("r1", std::string(kLength, 'x')) });
  endpoint.AddScript({ ResponseWithDigest("r1", "second") });
  bool begun = false;
  const auto isComplete = [&](const std::string& aText) {
    if (stops && !begun && !aText.empty()) {
      begun = true;
      BeginStop(milliseconds(8000));
    }
    return aText.size() > kLength &&
           aText.find("HTTP/1.1", kLength - 1000) != std::string::npos;
  };
  const std::string response =
    CallAndReadLate(Post("/once/1") + Post("/once/2"), milliseconds(100), isComplete);
  CHECK_FALSE(Contains(response.substr(0, 200), "Connection: close"));
  CHECK(isComplete(response));
}

TEST_CASE_METHOD(Fixture, "standby: the load of both endpoints is balanced", "[frontend]")
{
  StartTicks();
  const auto pause = GENERATE(range(880, 1300, 20));
  ScriptedEndpoint::Script a;
  a.mLater = { { milliseconds(pause), ResponseWithDigest("r1", "hello") } };
  AddEndpoint("e1").AddScript(a);
  ScriptedEndpoint::Script b;
  b.mLater = { { milliseconds(pause % 300), ResponseWithDigest("r1", "hello") } };
  AddEndpoint("e2", "z2").AddScript(b);
  CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("hello"));
  RunFor(milliseconds(20));
  for (const char* id : { "e1", "e2" }) {
    CHECK(mControl.mDirectory.Find(ids::EndpointId(id))->mOwnLoad.mRequests == 0);
    CHECK(mControl.mDirectory.Find(ids::EndpointId(id))->mUnanswered == 0);
  }
}

TEST_CASE_METHOD(Fixture,
                 "pauses: a stream that is late by a pause says where it arose",
                 "[frontend]")
{
  StartTicks();
  ChangeConfiguration([](gateway::ServingConfiguration& aConfiguration) {
    for (gateway::Route& route : aConfiguration.mRoutes) {
      route.mGapAim = milliseconds(300);
    }
  });
  std::string cause;
  SECTION("at the endpoint")
  {
    AddEndpoint("e1").AddScript(
      StreamWithPauses(milliseconds(0), milliseconds(0), milliseconds(700)));
    cause = "endpoint";
  }
  SECTION("as it was resumed at another one")
  {
    ScriptedEndpoint::Script broken{ StreamHead() + Chunk(Event(1)) };
    broken.mLater = { { milliseconds(700), "" } };
    broken.mClose = true;
    AddEndpoint("e1").AddScript(broken);
    AddEndpoint("e2", "z2")
      .AddScript({ StreamHead() + Chunk(Event(2)) + Chunk(Event(3)) + Chunk(Event(4)) +
                   "0\r\n\r\n" });
    cause = "resumed_elsewhere";
  }
  REQUIRE(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
  RunFor(milliseconds(20));
  CHECK(Contains(Log(), "\"pause_at\":\"" + cause + "\""));
  CHECK(Contains(MetricsText(),
                 "samphiresail_streams_late_by_pause_total{cause=\"" + cause + "\"} 1"));
}

// The class of a status that the library does not know counted as that of an answer.
TEST_CASE_METHOD(Fixture,
                 "standby: a failure with an unknown status takes over from no other",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint::Script slow;
  slow.mLater = { { milliseconds(1500), ResponseWithDigest("r1", "hello") } };
  AddEndpoint("e1").AddScript(slow);
  // The second one is a success that lacks its digest.
  const std::string status = GENERATE("597 X", "299 X");
  ScriptedEndpoint& standby = AddEndpoint("e2", "z2");
  standby.AddScript(
    { "HTTP/1.1 " + status + "\r\nAttempt-Id: r1\r\nContent-Length: 4\r\n\r\nbad!" });
  CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("\r\n\r\nhello"));
  CHECK(standby.Requests().size() == 1);
}
