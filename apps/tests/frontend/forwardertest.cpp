#include <algorithm>

#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;

namespace {

constexpr const char* kCommon =
  " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r1\r\nApi-Key: secret\r\n";

std::string Get(const std::string& aPath, const std::string& aExtra = {})
{
  return "GET " + aPath + kCommon + aExtra + "\r\n";
}

std::string Post(const std::string& aPath)
{
  return "POST " + aPath + kCommon + "Content-Length: 4\r\n\r\nbody";
}

std::string PostWithParts(const std::string& aPath, const std::string& aParts)
{
  return "POST " + aPath + kCommon + "Prompt-Prefix: " + aParts +
         "\r\nContent-Length: 4\r\n\r\nbody";
}

bool HasHeadAndBody(const std::string& aText)
{
  const std::size_t head = aText.find("\r\n\r\n");
  if (head == std::string::npos) {
    return false;
  }
  const std::size_t length = aText.find("Content-Length: ");
  return length != std::string::npos &&
         aText.size() >= head + 4 + std::stoul(aText.substr(length + 16));
}

bool HasLastChunk(const std::string& aText)
{
  return aText.ends_with("0\r\n\r\n");
}

bool EndsCall(const std::string& aText)
{
  return HasHeadAndBody(aText) || HasLastChunk(aText);
}

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string StreamHead()
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n"
         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(const std::string& aBytes)
{
  std::ostringstream text;
  text << std::hex << aBytes.size() << "\r\n" << aBytes << "\r\n";
  return text.str();
}

}

TEST_CASE_METHOD(Fixture,
                 "forward: an endpoint's response reaches the caller",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ ResponseWithDigest("r1", "hello") });
  const std::string response =
    Call(Get("/safe/1", "Tenant: forged\r\nExpect-Instance: forged\r\n"), HasHeadAndBody);
  CHECK(response.starts_with("HTTP/1.1 200 OK"));
  CHECK(Contains(response, "Response-Seal: s"));
  CHECK(response.ends_with("\r\n\r\nhello"));
  REQUIRE(endpoint.Requests().size() == 1);
  const std::string& request = endpoint.Requests()[0];
  CHECK(Contains(request, "Tenant: club"));
  CHECK(Contains(request, "Expect-Instance: e1"));
  CHECK_FALSE(Contains(request, "forged"));
  CHECK_FALSE(Contains(request, "secret"));
}

TEST_CASE_METHOD(
  Fixture,
  "forward: an irreversible request with an unknown outcome is not sent again",
  "[frontend]")
{
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  first.AddScript({ "", true });
  const std::string response = Call(Post("/once/1"), HasHeadAndBody);
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK(second.Requests().empty());
}

TEST_CASE_METHOD(Fixture,
                 "forward: a truncated response is never forwarded",
                 "[frontend]")
{
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  std::string truncated = ResponseWithDigest("r1", "hello");
  truncated.resize(truncated.size() - 2);
  first.AddScript({ truncated, true });
  second.AddScript({ ResponseWithDigest("r1", "whole") });
  CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("\r\n\r\nwhole"));
}

TEST_CASE_METHOD(Fixture,
                 "forward: a successful response without a digest counts as failed",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript(
    { "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nContent-Length: 2\r\n\r\nno", true });
  CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502"));
}

TEST_CASE_METHOD(Fixture,
                 "forward: a request that an endpoint did not run is sent to another one",
                 "[frontend]")
{
  const std::string full =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  ScriptedEndpoint& first = AddEndpoint("e1");
  first.AddScript({ full });
  SECTION("another endpoint is available")
  {
    ScriptedEndpoint& second = AddEndpoint("e2", "z2");
    second.AddScript({ ResponseWithDigest("r1", "done") });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("done"));
  }
  SECTION("no other endpoint: the caller receives 503 and Retry-After")
  {
    const std::string response = Call(Post("/once/1"), HasHeadAndBody);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(Contains(response, "Retry-After: "));
  }
}

TEST_CASE_METHOD(Fixture,
                 "forward: a request to an unreachable endpoint counts as not run",
                 "[frontend]")
{
  gateway::EndpointReport report;
  report.mId = ids::EndpointId("gone");
  report.mIncarnation = 1;
  report.mService = ids::ServiceId("s");
  report.mAddress = { "127.0.0.1", 1 };
  report.mZone = ids::AvailabilityZoneId("z1");
  report.mSlots = 4;
  mControl.mDirectory.Update(report, timing::Instant{});
  CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 503"));
}

TEST_CASE_METHOD(Fixture,
                 "forward: a late response to an earlier request is discarded",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript(
    { ResponseWithDigest("r0", "late") + ResponseWithDigest("r1", "mine") });
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nmine"));
}

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

TEST_CASE_METHOD(
  Fixture,
  "forward: a stream is resumed at another endpoint without gaps or duplicates",
  "[frontend]")
{
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  first.AddScript(
    { StreamHead() + Chunk("id: 1\ndata: a\n\n") + Chunk("id: 2\ndata: b\n\nid: 3\nda"),
      true });
  second.AddScript({ StreamHead() + Chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n" });
  const std::string response = Call(Post("/stream/1"), HasLastChunk);
  std::string events;
  for (const char* event :
       { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n" }) {
    const std::size_t at = response.find(event);
    REQUIRE(at != std::string::npos);
    CHECK(response.find(event, at + 1) == std::string::npos);
  }
  CHECK_FALSE(Contains(response, "da\r\n"));
  REQUIRE(second.Requests().size() == 1);
  CHECK(Contains(second.Requests()[0], "Last-Event-Id: 2"));
}

TEST_CASE_METHOD(Fixture,
                 "forward: an interrupted stream that is not resumed has no last chunk",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ StreamHead() + Chunk("id: 1\ndata: a\n\n"), true });
  const std::string response =
    Call(Post("/stream/1"), [](const std::string&) { return false; });
  CHECK(Contains(response, "id: 1"));
  CHECK_FALSE(HasLastChunk(response));
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
                 "forward: a response without a length ends with its connection",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript(
    { "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n\r\nopen", true });
  CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("\r\n\r\nopen"));
}

TEST_CASE_METHOD(Fixture, "forward: a request with two lengths is rejected", "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const std::string response =
    Call("POST /once/1" + std::string(kCommon) +
           "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/2",
         [](const std::string&) { return false; });
  CHECK(response.starts_with("HTTP/1.1 400"));
  CHECK(endpoint.Requests().empty());
}

TEST_CASE_METHOD(
  Fixture,
  "forward: the endpoint's connection is closed when the caller disconnects",
  "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ "", false, true });
  CallAndDisconnect(Post("/once/1"), [&] { return endpoint.Disconnects() == 1; });
  CHECK(endpoint.Requests().size() == 1);
}

TEST_CASE_METHOD(Fixture,
                 "forward: a request waits briefly for a free slot at a full endpoint",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ ResponseWithDigest("r1", "served") });
  const std::uint64_t hash = gateway::HashName("e1");
  mControl.mDirectory.SetPeersLoad({ { hash, { 100, {}, 0.0 } } },
                                   timing::SystemClock().Now());
  RunDuringCall(
    [&] { mControl.mDirectory.SetPeersLoad({}, timing::SystemClock().Now()); });
  CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("\r\n\r\nserved"));
}

TEST_CASE_METHOD(Fixture,
                 "forward: a request gives up after several unreachable endpoints",
                 "[frontend]")
{
  // Guards against a temporary in the awaited expression, which the compiler destroyed
  // twice.
  for (const char* id : { "e1", "e2", "e3", "e4", "e5" }) {
    AddEndpoint(id);
    gateway::Endpoint* endpoint = mControl.mDirectory.Find(ids::EndpointId(id));
    endpoint->mReport.mAddress.mPort = 1;
  }
  const std::string response = Call(Post("/once/1"), HasHeadAndBody);
  CHECK(response.starts_with("HTTP/1.1 503"));
}

TEST_CASE_METHOD(Fixture,
                 "forward: bytes without end that are no answer end the attempt",
                 "[frontend]")
{
  // The endpoint keeps its connection open, so only the limits end the attempt.
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const std::string endless(600U << 10U, 'x');
  const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n";
  SECTION("in a head")
  {
    endpoint.AddScript({ head + "Padding: " + endless });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502"));
  }
  SECTION("in a head that never began")
  {
    endpoint.AddScript({ endless });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502"));
  }
  SECTION("in a stream without an event")
  {
    endpoint.AddScript({ head + "Content-Length: 1000000000\r\n\r\n" + endless });
    CHECK(Call(Get("/stream/1"), HasHeadAndBody).starts_with("HTTP/1.1 502"));
  }
  SECTION("in the body of a rejection, which does not delay the truth")
  {
    endpoint.AddScript({ "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                         "Content-Length: 1000000000\r\n\r\n" +
                         endless });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 503"));
  }
  CHECK(endpoint.Requests().size() == 1);
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
  "forward: a request is too large for good only by a current configuration",
  "[frontend]")
{
  const auto all = [](const std::string&) { return false; };
  const std::string head = Get("/safe/1", "Padding: " + std::string(20000, 'x') + "\r\n");
  const std::string body =
    "POST /once/1" + std::string(kCommon) + "Content-Length: 99999999\r\n\r\nbody";
  CHECK(Call(head, all).starts_with("HTTP/1.1 431"));
  CHECK(Call(body, all).starts_with("HTTP/1.1 413"));
  mControl.mStoreFreshness.RecordConfiguration(false);
  for (const std::string& request : { head, body }) {
    const std::string response = Call(request, all);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(Contains(response, "Retry-After: "));
  }
}

TEST_CASE_METHOD(
  Fixture,
  "forward: requests with a prompt part under which five endpoints ended reach no more",
  "[frontend]")
{
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
  const auto atFive = crashed();
  for (int i = 20; i < 40; ++i) {
    const std::string response = Call(
      PostWithParts("/stream/1", "cc:10,dead:20,b" + std::to_string(i) + ":5"), EndsCall);
    CHECK(response.starts_with("HTTP/1.1 503"));
  }
  CHECK(crashed() == atFive);
}
