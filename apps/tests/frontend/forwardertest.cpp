#include <stdexcept>

#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;

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

TEST_CASE_METHOD(Fixture,
                 "forward: a caller that reads nothing for two seconds gets its answer",
                 "[frontend]")
{
  // More than the buffers of both ends hold.
  const std::string body(7U << 20U, 'x');
  AddEndpoint("e1").AddScript({ ResponseWithDigest("r1", body) });
  const std::string response =
    CallAndReadLate(Get("/safe/1"), std::chrono::milliseconds(2200), HasHeadAndBody);
  CHECK(response.size() > body.size());
  CHECK(HasHeadAndBody(response));
}

TEST_CASE_METHOD(Fixture,
                 "forward: a request that an exception interrupts is answered",
                 "[frontend]")
{
  StartTicks();
  ChangeConfiguration([](gateway::ServingConfiguration& aConfiguration) {
    aConfiguration.mServices.front().mEngine = gateway::EngineSpec{};
  });
  AddEndpoint("e1");
  auto report = mControl.mDirectory.Find(ids::EndpointId("e1"))->mReport;
  report.mModels[ids::ModelId("m")] = {};
  mControl.mDirectory.Update(report, timing::SystemClock().Now());
  mOnWaitingForAdapter = [](const auto&) { throw std::runtime_error("no place"); };
  const std::string response = Call(Get("/safe/1", "Model: m/a1\r\n"), HasHeadAndBody);
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK(Contains(response, "Connection: close"));
  CHECK(Contains(Log(), "no place"));
  CHECK(Exchanges() == 0);
}
