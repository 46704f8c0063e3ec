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

TEST_CASE_METHOD(
  Fixture,
  "forward: an endpoint that falls silent keeps its request until another one has it",
  "[frontend]")
{
  StartTicks();
  const auto pause = GENERATE(milliseconds(1000), milliseconds(1500), milliseconds(1900));
  const milliseconds none(0);
  const auto script = GENERATE_COPY(StreamWithPauses(pause, none, none),
                                    StreamWithPauses(none, pause, none),
                                    StreamWithPauses(none, none, pause));
  ScriptedEndpoint& first = AddEndpoint("e1");
  first.AddScript(script);
  SECTION("without another endpoint")
  {
    CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
  }
  SECTION("beside one that is full")
  {
    AddEndpoint("e2", "z2").AddScript({ kFull });
    CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
  }
  SECTION("beside one that fails")
  {
    ScriptedEndpoint& second = AddEndpoint("e2", "z2");
    second.AddScript(
      { "HTTP/1.1 500 Error\r\nAttempt-Id: r1\r\nContent-Length: 0\r\n\r\n" });
    CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
  }
  SECTION("beside one that ends its connection")
  {
    AddEndpoint("e2", "z2").AddScript({ "", true });
    CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
  }
  SECTION("beside one that cannot be reached")
  {
    AddEndpoint("e2", "z2");
    mControl.mDirectory.Find(ids::EndpointId("e2"))->mReport.mAddress.mPort = 1;
    CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
  }
  SECTION("while all others are being withdrawn")
  {
    AddEndpoint("e2", "z2");
    mControl.mDirectory.MarkLeaving(ids::EndpointId("e2"), 1, timing::Instant{});
    CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
  }
  CHECK(first.Requests().size() == 1);
}

TEST_CASE_METHOD(
  Fixture,
  "forward: a request that a silent endpoint may run again keeps it until another has it",
  "[frontend]")
{
  StartTicks();
  const auto pause = GENERATE(milliseconds(1000), milliseconds(1500), milliseconds(1900));
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint::Script script;
  script.mLater = { { pause, ResponseWithDigest("r1", "hello") } };
  first.AddScript(script);
  SECTION("without another endpoint") {}
  SECTION("beside one that is full")
  {
    AddEndpoint("e2", "z2").AddScript({ kFull });
  }
  SECTION("beside one that fails")
  {
    AddEndpoint("e2", "z2")
      .AddScript({ "HTTP/1.1 500 Error\r\nAttempt-Id: r1\r\nContent-Length: 0\r\n\r\n" });
  }
  CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("\r\n\r\nhello"));
}

TEST_CASE_METHOD(
  Fixture,
  "forward: a stream goes on elsewhere once another endpoint has accepted it",
  "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  ScriptedEndpoint::Script silent{ StreamHead() + Chunk(Event(1)) + Chunk(Event(2)) };
  silent.mLater = { { milliseconds(60000), Chunk(Event(3)) } };
  first.AddScript(silent);
  ScriptedEndpoint::Script rest;
  SECTION("that answers at once")
  {
    rest.mBytes = StreamHead() + Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n";
  }
  SECTION("that answers after a while")
  {
    rest.mLater = { { milliseconds(600), StreamHead() },
                    { milliseconds(600),
                      Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n" } };
  }
  second.AddScript(rest);
  CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
  REQUIRE(second.Requests().size() == 1);
  CHECK(Contains(second.Requests()[0], "Last-Event-Id: 2"));
}

TEST_CASE_METHOD(
  Fixture,
  "forward: a silent endpoint that goes on just before another one answers "
  "brings each event once",
  "[frontend]")
{
  StartTicks();
  const auto pause = GENERATE(range(1280, 1680, 20));
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  ScriptedEndpoint::Script script{ StreamHead() + Chunk(Event(1)) + Chunk(Event(2)) };
  script.mLater = { { milliseconds(pause), Chunk(Event(3)) },
                    { milliseconds(100), Chunk(Event(4)) + "0\r\n\r\n" } };
  first.AddScript(script);
  ScriptedEndpoint::Script rest;
  rest.mLater = { { milliseconds(100), StreamHead() + Chunk(Event(3)) },
                  { milliseconds(100), Chunk(Event(4)) + "0\r\n\r\n" } };
  second.AddScript(rest);
  CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
}

TEST_CASE_METHOD(Fixture,
                 "forward: endpoints that fall silent one after the other lose no stream",
                 "[frontend]")
{
  StartTicks();
  ChangeConfiguration([](gateway::ServingConfiguration& aConfiguration) {
    std::ranges::for_each(aConfiguration.mRoutes,
                          [](gateway::Route& aRoute) { aRoute.mMaxAttempts = 3; });
  });
  ScriptedEndpoint::Script first{ StreamHead() + Chunk(Event(1)) };
  first.mLater = { { milliseconds(60000), "" } };
  AddEndpoint("e1").AddScript(first);
  ScriptedEndpoint::Script second{ StreamHead() + Chunk(Event(2)) };
  second.mLater = { { milliseconds(1900),
                      Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n" } };
  AddEndpoint("e2", "z2").AddScript(second);
  SECTION("while no third one is left") {}
  SECTION("beside a third one that is full")
  {
    AddEndpoint("e3", "z2").AddScript({ kFull });
  }
  CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
}

TEST_CASE_METHOD(Fixture,
                 "forward: a stream that broke off awaits a slow connection if there is "
                 "no other endpoint",
                 "[frontend]")
{
  StartTicks();
  // The kernel repeats an attempt to connect after a second, which is 20 s by this clock.
  ChangeConfiguration([](gateway::ServingConfiguration& aConfiguration) {
    std::ranges::for_each(aConfiguration.mRoutes, [](gateway::Route& aRoute) {
      aRoute.mTimeout = std::chrono::minutes(5);
    });
  });
  const std::string request =
    "POST /stream/1" + std::string(kCommon) + "Deadline-Ms: 300000\r\n\r\n";
  AddEndpoint("e1").AddScript({ StreamHead() + Chunk(Event(1)) + Chunk(Event(2)), true });
  ScriptedEndpoint& slow = AddEndpoint("e2", "z2", milliseconds(200));
  slow.AddScript({ StreamHead() + Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n" });
  SECTION("and none comes")
  {
    CHECK(IsWholeStream(Call(request, EndsCall)));
    CHECK(slow.Requests().size() == 1);
  }
  SECTION("until there is one")
  {
    RunAfter(std::chrono::seconds(3), [this] {
      AddEndpoint("e3", "z2")
        .AddScript({ StreamHead() + Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n" });
    });
    CHECK(IsWholeStream(Call(request, EndsCall)));
    CHECK(slow.Requests().empty());
  }
}

TEST_CASE_METHOD(Fixture,
                 "forward: a stream whose connection broke goes on at the same endpoint "
                 "if there is no other",
                 "[frontend]")
{
  ScriptedEndpoint& only = AddEndpoint("e1");
  only.AddScript({ StreamHead() + Chunk(Event(1)) + Chunk(Event(2)), true });
  only.AddScript({ StreamHead() + Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n" });
  SECTION("at all") {}
  SECTION("that has a place")
  {
    AddEndpoint("e2", "z2").AddScript({ kFull });
    ChangeConfiguration([](gateway::ServingConfiguration& aConfiguration) {
      std::ranges::for_each(aConfiguration.mRoutes,
                            [](gateway::Route& aRoute) { aRoute.mMaxAttempts = 3; });
    });
  }
  CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall)));
  REQUIRE(only.Requests().size() == 2);
  CHECK(Contains(only.Requests()[1], "Last-Event-Id: 2"));
}
