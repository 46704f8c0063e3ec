#include <algorithm>

#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;
using std::chrono::milliseconds;

namespace {

/// Head of a successful response with neither a length nor chunks.
const std::string kHead = "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n\r\n";
const std::string kRefusal = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r1\r\n"
                             "Not-Executed: 1\r\n\r\n";

std::string Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: " + std::to_string(aId) + "\n\n";
}

ScriptedEndpoint::Script Closing(const std::string& aBytes)
{
  return { aBytes, true };
}

ScriptedEndpoint::Script Reset(const std::string& aBytes)
{
  ScriptedEndpoint::Script script{ aBytes, true };
  script.mReset = true;
  return script;
}

ScriptedEndpoint::Script Crashing(const std::string& aBytes)
{
  return { aBytes, false, false, true };
}

/// Response that comes in two parts and then ends with its connection.
ScriptedEndpoint::Script InTwoParts(const std::string& aFirst, const std::string& aSecond)
{
  ScriptedEndpoint::Script script{ aFirst, true };
  script.mSecondPart = aSecond;
  return script;
}

/// True if the text is a whole stream that brings events 1 to aCount, each once.
bool IsWholeStream(const std::string& aResponse, int aCount)
{
  std::size_t at = 0;
  for (int id = 1; id <= aCount; ++id) {
    at = aResponse.find(Event(id), at);
    if (at == std::string::npos ||
        aResponse.find(Event(id), at + 1) != std::string::npos) {
      return false;
    }
  }
  return aResponse.starts_with("HTTP/1.1 200") && HasLastChunk(aResponse) &&
         !Contains(aResponse, Event(aCount + 1));
}

}

TEST_CASE_METHOD(Fixture,
                 "unframed: an answer is whole at the end of its connection",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const std::string request = GENERATE(Get("/safe/1"), Post("/once/1"));
  for (int i = 0; i < 3; ++i) {
    endpoint.AddScript(i == 1 ? InTwoParts(kHead + "who", "le")
                              : Closing(kHead + "whole"));
    const std::string response = Call(request, HasHeadAndBody);
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.ends_with("\r\n\r\nwhole"));
  }
  CHECK(endpoint.Requests().size() == 3);
}

TEST_CASE_METHOD(Fixture,
                 "unframed: an answer that is reset at any byte is not whole",
                 "[frontend]")
{
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  const std::string whole = kHead + "whole";
  const bool repeatable = GENERATE(false, true);
  const std::size_t n = GENERATE_COPY(range(std::size_t{ 0 }, whole.size() + 1));
  {
    INFO(n << " of " << whole.size());
    first.AddScript(Reset(whole.substr(0, n)));
    second.AddScript(Closing(kHead + "other"));
    const std::string response =
      Call(repeatable ? Get("/safe/1") : Post("/once/1"), HasHeadAndBody);
    CHECK_FALSE(response.ends_with("whole"));
    CHECK(response.starts_with(repeatable ? "HTTP/1.1 200" : "HTTP/1.1 502"));
  }
  CHECK(second.Requests().size() == (repeatable ? 1 : 0));
}

TEST_CASE_METHOD(Fixture,
                 "unframed: a failure is passed on whole, and not if it is reset",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const std::string failure = "HTTP/1.1 500 Error\r\nAttempt-Id: r1\r\n\r\nfailed";
  SECTION("whole")
  {
    endpoint.AddScript(Closing(failure));
    const std::string response = Call(Post("/once/1"), HasHeadAndBody);
    CHECK(response.starts_with("HTTP/1.1 500"));
    CHECK(response.ends_with("failed"));
  }
  SECTION("reset")
  {
    endpoint.AddScript(Reset(failure));
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502"));
  }
  SECTION("of a stream")
  {
    endpoint.AddScript(Closing(failure));
    CHECK(Call(Post("/stream/1"), HasHeadAndBody).ends_with("failed"));
  }
}

TEST_CASE_METHOD(Fixture,
                 "unframed: a refusal is known by its head, before its connection ends",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  const std::string refusal = kRefusal + GENERATE("", "full");
  first.AddScript(GENERATE_COPY(
    ScriptedEndpoint::Script{ refusal }, Closing(refusal), Crashing(refusal)));
  second.AddScript({ ResponseWithDigest("r1", "mine") });
  const timing::Instant begin = Now();
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nmine"));
  CHECK(Now() - begin < milliseconds(600));
}

TEST_CASE_METHOD(Fixture,
                 "unframed: nothing that follows a late response is taken for an answer",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript(
    { "HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nResponse-Seal: s\r\n\r\nlate" +
      ResponseWithDigest("r1", "mine") });
  const timing::Instant begin = Now();
  CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502"));
  CHECK(Now() - begin < milliseconds(600));
}

TEST_CASE_METHOD(Fixture,
                 "unframed: a response without a body does not wait for the connection",
                 "[frontend]")
{
  StartTicks();
  const std::string status = GENERATE("204 No Content", "304 Not Modified");
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ "HTTP/1.1 " + status +
                       "\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n\r\n" +
                       GENERATE("", "stray") });
  endpoint.AddScript({ ResponseWithDigest("r1", "mine") });
  const timing::Instant begin = Now();
  const auto hasHead = [](const auto& aText) { return Contains(aText, "\r\n\r\n"); };
  CHECK(Call(Get("/safe/1"), hasHead).starts_with("HTTP/1.1 " + status));
  CHECK(Now() - begin < milliseconds(600));
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nmine"));
}

TEST_CASE_METHOD(Fixture,
                 "unframed: a stream is whole after the end of an event",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript(Closing(kHead + Event(1)));
  CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall), 1));
  endpoint.AddScript(Closing(kHead + Event(1) + Event(2)));
  CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall), 2));
  endpoint.AddScript(InTwoParts(kHead + Event(1), Event(2) + Event(3)));
  CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall), 3));
  CHECK(endpoint.Requests().size() == 3);
}

TEST_CASE_METHOD(Fixture,
                 "unframed: a stream that ends inside an event at any byte is resumed",
                 "[frontend]")
{
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  const std::string cut = Event(2);
  const bool reset = GENERATE(false, true);
  const std::size_t n = GENERATE_COPY(range(std::size_t{ 1 }, cut.size()));
  {
    INFO(n << " of " << cut.size());
    const std::string bytes = kHead + Event(1) + cut.substr(0, n);
    first.AddScript(reset ? Reset(bytes) : Closing(bytes));
    // After a reset, the first event may not have been read.
    second.AddScript(Closing(kHead + Event(2) + Event(3)));
    const std::string response = Call(Post("/stream/1"), EndsCall);
    REQUIRE(second.Requests().size() == 1);
    if (Contains(second.Requests().back(), "Last-Event-Id: 1\r\n")) {
      CHECK(IsWholeStream(response, 3));
    } else {
      CHECK(reset);
    }
  }
}

TEST_CASE_METHOD(Fixture,
                 "unframed: a stream that is cut at any byte never looks complete",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const std::string whole = kHead + Event(1) + Event(2);
  const std::size_t wholeEvent = kHead.size() + Event(1).size();
  const bool reset = GENERATE(false, true);
  for (std::size_t n = 0; n < whole.size() + (reset ? 1 : 0); ++n) {
    INFO(n << " of " << whole.size());
    Advance(std::chrono::seconds(1));
    mControl.mStoreFreshness.ConfirmUpTo(Now());
    Tick();
    endpoint.AddScript(reset ? Reset(whole.substr(0, n)) : Closing(whole.substr(0, n)));
    const std::string response = Call(Post("/stream/1"), EndsCall);
    CHECK(HasLastChunk(response) == (n == wholeEvent && !reset));
    CHECK((response.starts_with("HTTP/1.1 50") || response.ends_with(Chunk(Event(1))) ||
           response.ends_with(Chunk(Event(1)) + "0\r\n\r\n") ||
           response.ends_with(Chunk(Event(2))) ||
           response.ends_with(Chunk(Event(1) + Event(2)))));
  }
}

TEST_CASE_METHOD(Fixture,
                 "unframed: a stream whose endpoint ended with it is resumed",
                 "[frontend]")
{
  const int events = GENERATE(1, 2);
  const std::string sent = events == 1 ? Event(1) : Event(1) + Event(2);
  AddEndpoint("e1").AddScript(Crashing(kHead + sent));
  SECTION("at an endpoint that brings the rest")
  {
    ScriptedEndpoint& second = AddEndpoint("e2", "z2");
    second.AddScript(Closing(kHead + Event(events + 1)));
    CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall), events + 1));
    REQUIRE(second.Requests().size() == 1);
    CHECK(Contains(second.Requests().back(),
                   "Last-Event-Id: " + std::to_string(events) + "\r\n"));
  }
  SECTION("at an endpoint that has nothing more")
  {
    AddEndpoint("e2", "z2").AddScript({ StreamHead() + "0\r\n\r\n" });
    CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall), events));
  }
  SECTION("or else does not look complete")
  {
    const std::string response = Call(Post("/stream/1"), EndsCall);
    CHECK(Contains(response, Event(events)));
    CHECK_FALSE(HasLastChunk(response));
  }
}

TEST_CASE_METHOD(Fixture,
                 "unframed: a stream of an endpoint that leaves after it is whole",
                 "[frontend]")
{
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  ScriptedEndpoint::Script script = Crashing(kHead + Event(1));
  SECTION("as its response said")
  {
    script.mBytes.insert(script.mBytes.find("\r\n"), "\r\nServer-Leaving: 1");
    AddEndpoint("e1").AddScript(script);
  }
  SECTION("as its record says")
  {
    ScriptedEndpoint& endpoint = AddEndpoint("e1");
    endpoint.AddScript(script);
    RunDuringCall([&] {
      mIo.post([this] {
        mControl.mDirectory.Find(ids::EndpointId("e1"))->mReport.mDraining = true;
      });
    });
  }
  CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall), 1));
  CHECK(second.Requests().empty());
}

TEST_CASE_METHOD(Fixture, "unframed: a stream through a standby is whole", "[frontend]")
{
  StartTicks();
  AddEndpoint("e1").AddScript({ "", false, true });
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  SECTION("at the end of its connection")
  {
    second.AddScript(InTwoParts(kHead + Event(1), Event(2)));
    CHECK(IsWholeStream(Call(Post("/stream/1"), EndsCall), 2));
  }
  SECTION("but not inside an event")
  {
    second.AddScript(InTwoParts(kHead + Event(1), "id: 2\nda"));
    const std::string response = Call(Post("/stream/1"), EndsCall);
    CHECK(Contains(response, Event(1)));
    CHECK_FALSE(HasLastChunk(response));
  }
  SECTION("but not reset")
  {
    ScriptedEndpoint::Script script = InTwoParts(kHead + Event(1), Event(2));
    script.mReset = true;
    second.AddScript(script);
    CHECK_FALSE(HasLastChunk(Call(Post("/stream/1"), EndsCall)));
  }
  SECTION("as is an answer")
  {
    second.AddScript(InTwoParts(kHead + "who", "le"));
    CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("\r\n\r\nwhole"));
  }
}

TEST_CASE_METHOD(Fixture,
                 "unframed: a sound answer speaks for its request, that of an endpoint "
                 "that ended under it does not",
                 "[frontend]")
{
  const std::string path = GENERATE("/stream/1", "/once/1");
  const bool sound = GENERATE(false, true);
  const std::string response = kHead + Event(1);
  AddEndpoint("e1").AddScript(sound ? Closing(response) : Crashing(response));
  CHECK(Contains(Call(PostWithParts(path, "aa:10,dead:20"), EndsCall), Event(1)) ==
        (sound || path == "/stream/1"));
  RunFor(milliseconds(50));
  gateway::RequestMetadata metadata;
  metadata.mPromptParts = { { 0xdead, 20 } };
  // Engines end at once afterwards, under requests with the same part.
  for (const std::uint64_t endpoint : { 1, 2, 3 }) {
    metadata.mIdentity = endpoint;
    mControl.mQuarantine.OnBroken(endpoint, metadata, Now());
    mControl.mQuarantine.OnConnectionRefused(endpoint, Now());
    Advance(milliseconds(300));
  }
  CHECK(mControl.mQuarantine.Size() == (sound ? 0 : 1));
}

TEST_CASE_METHOD(Fixture, "unframed: a response without end is bounded", "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  SECTION("in size")
  {
    endpoint.AddScript({ kHead + std::string(9U << 20U, 'x') });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502"));
  }
  SECTION("in the size of an event")
  {
    endpoint.AddScript({ kHead + Event(1) + "data: " + std::string(1U << 20U, 'x') });
    const std::string response = Call(Post("/stream/1"), EndsCall);
    CHECK(response.size() < 1000);
    CHECK_FALSE(HasLastChunk(response));
  }
  SECTION("in time")
  {
    ScriptedEndpoint::Script drip{ kHead };
    drip.mLater.assign(200, { milliseconds(200), "x" });
    endpoint.AddScript(drip);
    const timing::Instant begin = Now();
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 504"));
    CHECK(Now() - begin < std::chrono::seconds(22));
  }
}
