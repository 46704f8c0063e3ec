#include <algorithm>

#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;

TEST_CASE_METHOD(Fixture,
                 "forward: a second copy of an earlier refusal refuses no other request",
                 "[frontend]")
{
  const std::string notRun = "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  SECTION("as full")
  {
    first.AddScript({ "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r0\r\n" + notRun +
                      ResponseWithDigest("r1", "mine") });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nmine"));
  }
  SECTION("as sent to the wrong endpoint")
  {
    first.AddScript({ "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: r0\r\n" + notRun +
                      ResponseWithDigest("r1", "mine") });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nmine"));
  }
  SECTION("without an identifier on a connection that was used before")
  {
    first.AddScript({ ResponseWithDigest("r1", "earlier") });
    first.AddScript({ "HTTP/1.1 503 Service Unavailable\r\n" + notRun });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nearlier"));
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502"));
    CHECK(first.Connections() == 1);
  }
  CHECK(second.Requests().empty());
}

TEST_CASE_METHOD(Fixture,
                 "forward: a refused resumption leaves no error inside the stream",
                 "[frontend]")
{
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  first.AddScript({ StreamHead() + Chunk("id: 1\ndata: a\n\n"), true });
  const std::string status = GENERATE("400 Bad Request",
                                      "404 Not Found",
                                      "302 Found",
                                      "429 Too Many Requests",
                                      "500 Internal Server Error");
  second.AddScript(
    { "HTTP/1.1 " + status + "\r\nAttempt-Id: r1\r\nContent-Length: 4\r\n\r\nerr!" });
  const std::string response =
    Call(Post("/stream/1"), [](const auto& aText) { return Contains(aText, "err!"); });
  REQUIRE(second.Requests().size() == 1);
  CHECK(response.ends_with(Chunk("id: 1\ndata: a\n\n")));
  CHECK(response.rfind("HTTP/1.1") == 0);
}

TEST_CASE_METHOD(Fixture,
                 "forward: a connection that ends before any body is not a whole answer",
                 "[frontend]")
{
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n";
  SECTION("after a part of the head")
  {
    first.AddScript({ head, true });
    second.AddScript({ ResponseWithDigest("r1", "whole") });
    CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("\r\n\r\nwhole"));
  }
  SECTION("after a head without a length")
  {
    first.AddScript({ head + "\r\n", true });
    second.AddScript({ ResponseWithDigest("r1", "whole") });
    CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("\r\n\r\nwhole"));
  }
  SECTION("after a head without a length, of a request that may not run twice")
  {
    first.AddScript({ head + "\r\n", true });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502"));
    CHECK(second.Requests().empty());
  }
  SECTION("of a stream without an event")
  {
    first.AddScript({ head + "\r\n", true });
    second.AddScript({ StreamHead() + Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n" });
    CHECK(Contains(Call(Post("/stream/1"), EndsCall), "id: 1\ndata: a"));
  }
  SECTION("of a stream that was resumed")
  {
    first.AddScript({ StreamHead() + Chunk("id: 1\ndata: a\n\n"), true });
    second.AddScript({ head + "\r\n", true });
    const std::string response = Call(Post("/stream/1"), HasLastChunk);
    CHECK(response.ends_with(Chunk("id: 1\ndata: a\n\n")));
  }
}

TEST_CASE_METHOD(
  Fixture,
  "forward: a stream without a length is whole only at the end of an event",
  "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n"
                           "Content-Type: text/event-stream\r\n\r\n";
  endpoint.AddScript({ head + "id: 1\ndata: a\n\n", true });
  CHECK(HasLastChunk(Call(Post("/stream/1"), HasLastChunk)));
  endpoint.AddScript({ head + "id: 1\ndata: a\n\nid: 2\nda", true });
  const std::string cut = Call(Post("/stream/1"), HasLastChunk);
  CHECK(Contains(cut, "id: 1\ndata: a"));
  CHECK_FALSE(HasLastChunk(cut));
}

TEST_CASE_METHOD(Fixture,
                 "forward: an endpoint that says it is leaving gets no further request",
                 "[frontend]")
{
  // The record of the endpoint says that it is ready all the time.
  const std::string leaving = "\r\nServer-Leaving: 1";
  const auto withHeader = [&](std::string aResponse) {
    return aResponse.insert(aResponse.find("\r\n"), leaving);
  };
  const std::string full =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  std::size_t sentToSecond = 1;
  SECTION("in an answer")
  {
    first.AddScript({ withHeader(ResponseWithDigest("r1", "hello")) });
    CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("hello"));
  }
  SECTION("in an error")
  {
    first.AddScript({ withHeader(
      "HTTP/1.1 500 Error\r\nAttempt-Id: r1\r\nContent-Length: 0\r\n\r\n") });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 500"));
  }
  SECTION("in a refusal, after which the request is sent elsewhere")
  {
    first.AddScript({ withHeader(full + "Attempt-Id: r1\r\n\r\n") });
    second.AddScript({ ResponseWithDigest("r1", "done") });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("done"));
    sentToSecond = 2;
  }
  SECTION("in a late answer to an earlier request")
  {
    first.AddScript({ withHeader(ResponseWithDigest("r0", "late")) +
                      ResponseWithDigest("r1", "mine") });
    CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("mine"));
  }
  SECTION("in a stream that breaks off and is resumed")
  {
    first.AddScript({ withHeader(StreamHead()) + Chunk("id: 1\ndata: a\n\n"), true });
    second.AddScript({ StreamHead() + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" });
    CHECK(HasLastChunk(Call(Post("/stream/1"), HasLastChunk)));
    sentToSecond = 2;
  }
  first.AddScript({ ResponseWithDigest("r1", "again") });
  second.AddScript({ ResponseWithDigest("r1", "next") });
  CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("next"));
  CHECK(first.Requests().size() == 1);
  CHECK(second.Requests().size() == sentToSecond);
}

TEST_CASE_METHOD(
  Fixture,
  "forward: an endpoint that asks for a pause gets no request before its end",
  "[frontend]")
{
  const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r1\r\n"
                              "Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: ";
  ScriptedEndpoint& first = AddEndpoint("e1");
  first.AddScript({ refusal + "1.5\r\n\r\n" });
  first.AddScript({ ResponseWithDigest("r1", "again") });
  SECTION("while others serve")
  {
    ScriptedEndpoint& second = AddEndpoint("e2", "z2");
    second.AddScript({ ResponseWithDigest("r1", "other") });
    second.AddScript({ ResponseWithDigest("r1", "next") });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("other"));
    CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("next"));
    CHECK(first.Requests().size() == 1);
  }
  SECTION("while all pause, so that callers hear at once when the first is back")
  {
    ScriptedEndpoint& second = AddEndpoint("e2", "z2");
    second.AddScript({ refusal + "30\r\n\r\n" });
    for (int i = 0; i < 3; ++i) {
      const std::string response = Call(Get("/safe/1"), HasHeadAndBody);
      CHECK(response.starts_with("HTTP/1.1 503"));
      const std::size_t value = response.find("Retry-After: ");
      REQUIRE(value != std::string::npos);
      const double seconds = std::stod(response.substr(value + 13));
      CHECK(seconds > 1.3);
      CHECK(seconds < 2.0);
    }
    CHECK(first.Requests().size() + second.Requests().size() == 2);
  }
  SECTION("and gets some again after it")
  {
    CHECK(Call(Get("/safe/1"), HasHeadAndBody).starts_with("HTTP/1.1 503"));
    RunFor(std::chrono::milliseconds(1500));
    CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("again"));
  }
}

TEST_CASE_METHOD(
  Fixture,
  "forward: an endpoint withdrawn while it is connected to gets no request",
  "[frontend]")
{
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  first.AddScript({ ResponseWithDigest("r1", "first") });
  second.AddScript({ ResponseWithDigest("r1", "second") });
  const timing::Instant now = timing::SystemClock().Now();
  const ids::EndpointId id("e1");
  const bool leaves = GENERATE(true, false);
  RunDuringCall([&] {
    if (leaves) {
      mControl.mDirectory.MarkLeaving(id, 1, now);
    } else {
      mControl.mDirectory.Pause(id, 1, now + std::chrono::minutes(1));
    }
  });
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("second"));
  CHECK(first.Requests().empty());
}

TEST_CASE_METHOD(
  Fixture,
  "forward: requests with a prompt part under which five endpoints ended reach no more",
  "[frontend]")
{
  StartTicksInRealTime();
  const std::string withoutLength =
    "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n\r\n";
  const std::string written =
    GENERATE_COPY(StreamHead(), withoutLength, withoutLength + "id: 1\ndata: a\n\n");
  std::vector<ScriptedEndpoint*> endpoints;
  for (const char* id : { "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9" }) {
    endpoints.push_back(&AddEndpoint(id));
    endpoints.back()->AddScript({ written, false, false, true });
  }
  const auto crashed = [&] {
    return std::ranges::count_if(endpoints, &ScriptedEndpoint::Crashed);
  };
  for (int i = 0; i < 20 && crashed() < 5; ++i) {
    Call(PostWithParts("/stream/1", "aa:10,dead:20,b" + std::to_string(i) + ":5"),
         EndsCall);
    // Engines that end at the same moment have another cause.
    RunFor(std::chrono::milliseconds(100));
  }
  // The reports of all entries with requests there have come by then.
  const auto settle =
    std::chrono::ceil<std::chrono::milliseconds>(2 * gateway::CrashEvidence::kSettleTime);
  RunFor(settle);
  const auto atFive = crashed();
  const auto isRefused = [&](const std::string& aSharedPart, int aRequest) {
    const std::string parts =
      aSharedPart + ":10,dead:20,b" + std::to_string(aRequest) + ":5";
    return Call(PostWithParts("/stream/1", parts), EndsCall).starts_with("HTTP/1.1 503");
  };
  for (int i = 20; i < 40; ++i) {
    CHECK(isRefused("aa", i));
  }
  CHECK(crashed() == atFive);
  // One request tells which of the two parts it is.
  isRefused("cc", 40);
  RunFor(settle);
  CHECK(crashed() <= atFive + 1);
  const auto atTest = crashed();
  for (int i = 41; i < 60; ++i) {
    CHECK(isRefused("cc", i));
  }
  CHECK(crashed() == atTest);
}

TEST_CASE_METHOD(Fixture,
                 "forward: a response that is cut at any byte is not a whole answer",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n";
  const bool chunked = GENERATE(false, true);
  const std::string whole = chunked ? head + "Transfer-Encoding: chunked\r\n\r\n" +
                                        Chunk("who") + Chunk("le") + "0\r\n\r\n"
                                    : head + "Content-Length: 5\r\n\r\nwhole";
  for (std::size_t n = 0; n < whole.size(); ++n) {
    INFO(n << " of " << whole.size());
    Tick();
    endpoint.AddScript({ whole.substr(0, n), true });
    const std::string response = Call(Post("/once/1"), HasHeadAndBody);
    CHECK(response.starts_with("HTTP/1.1 502"));
  }
  CHECK(endpoint.Requests().size() == whole.size());
  endpoint.AddScript({ whole });
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nwhole"));
}

TEST_CASE_METHOD(Fixture,
                 "forward: a stream that is cut at any byte never looks complete",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const std::string event = "id: 1\ndata: a\n\n";
  const std::string whole = StreamHead() + Chunk(event) + "0\r\n\r\n";
  for (std::size_t n = 0; n < whole.size(); ++n) {
    INFO(n << " of " << whole.size());
    Tick();
    endpoint.AddScript({ whole.substr(0, n), true });
    const std::string response = Call(Post("/stream/1"), EndsCall);
    CHECK_FALSE(HasLastChunk(response));
    CHECK((response.starts_with("HTTP/1.1 50") || response.ends_with(Chunk(event))));
  }
}

TEST_CASE_METHOD(Fixture,
                 "forward: one request under which three endpoints ended reaches no more",
                 "[frontend]")
{
  StartTicksInRealTime();
  const std::string request = GENERATE(PostWithParts("/stream/1", "aa:10,b1:5"),
                                       Post("/stream/1"),
                                       Post("/once/1"),
                                       Get("/safe/1"));
  std::vector<ScriptedEndpoint*> endpoints;
  for (const char* id : { "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9" }) {
    endpoints.push_back(&AddEndpoint(id));
    endpoints.back()->AddScript({ StreamHead(), false, false, true });
  }
  const auto crashed = [&] {
    return std::ranges::count_if(endpoints, &ScriptedEndpoint::Crashed);
  };
  for (int i = 0; i < 20; ++i) {
    const bool over = crashed() >= 3;
    const std::string response = Call(request, EndsCall);
    CHECK(response.starts_with(over ? "HTTP/1.1 503" : "HTTP/1.1 502"));
    CHECK(Contains(response, "Retry-After: ") == over);
    // Engines that end at the same moment have another cause.
    RunFor(std::chrono::milliseconds(220));
  }
  CHECK(crashed() == 3);
}
