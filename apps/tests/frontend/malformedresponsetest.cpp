#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"
#include "apps/tests/support/responseheads.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;
using samphiresail::testing::HeadBegin;
using samphiresail::testing::MalformedHeads;
using std::chrono::milliseconds;

namespace {

const std::string kEvent1 = Chunk("id: 1\ndata: a\n\n");
const std::string kEvent2 = Chunk("id: 2\ndata: b\n\n");
const std::string kEnd = "0\r\n\r\n";

/// Response with a body of known length to the request r1.
std::string Buffered(const HeadBegin& aHead, const std::string& aFields = {})
{
  return aHead.mStatusLine + aHead.mFields + "Attempt-Id: r1\r\nResponse-Seal: s\r\n" +
         aFields + "Content-Length: 7\r\n\r\nforeign";
}

/// Stream of one event.
std::string Stream(const HeadBegin& aHead)
{
  return aHead.mStatusLine + aHead.mFields + "Attempt-Id: r1\r\nResponse-Seal: s\r\n" +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
         Chunk("id: 9\ndata: foreign\n\n") + kEnd;
}

}

// A status of 000 reached the caller as the status of its answer.
TEST_CASE_METHOD(Fixture,
                 "malformed response: a request that may run twice is sent elsewhere",
                 "[frontend]")
{
  const HeadBegin head = GENERATE(from_range(MalformedHeads()));
  INFO(head.mWhat);
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  first.AddScript({ Buffered(head) });
  second.AddScript({ ResponseWithDigest("r1", "sound") });
  const std::string response = Call(Get("/safe/1"), HasHeadAndBody);
  CHECK(response.starts_with("HTTP/1.1 200 OK\r\n"));
  CHECK(response.ends_with("\r\n\r\nsound"));
  CHECK(first.Requests().size() == 1);
  CHECK(second.Requests().size() == 1);
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: a request that must run once is sent once",
                 "[frontend]")
{
  const HeadBegin head = GENERATE(from_range(MalformedHeads()));
  // A head that cannot be trusted does not show that the request did not run.
  const std::string claim =
    GENERATE("", "Not-Executed: 1\r\n", "Retry-After: 30\r\nServer-Leaving: 1\r\n");
  INFO(head.mWhat << ", " << claim);
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  first.AddScript({ Buffered(head, claim) });
  second.AddScript({ ResponseWithDigest("r1", "second run") });
  const std::string response = Call(Post("/once/1"), HasHeadAndBody);
  CHECK(response.starts_with("HTTP/1.1 502 "));
  CHECK_FALSE(Contains(response, "foreign"));
  CHECK_FALSE(Contains(response, "Not-Executed"));
  CHECK(second.Requests().empty());
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: its connection carries no further request",
                 "[frontend]")
{
  const HeadBegin head = GENERATE(from_range(MalformedHeads()));
  INFO(head.mWhat);
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ ResponseWithDigest("r1", "before") });
  endpoint.AddScript({ Buffered(head) });
  endpoint.AddScript({ ResponseWithDigest("r1", "after") });
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nbefore"));
  CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502 "));
  CHECK(endpoint.Connections() == 1);
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nafter"));
  // One of them shows whether the endpoint still runs.
  CHECK(endpoint.Connections() == 3);
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: nothing that it says of its endpoint is believed",
                 "[frontend]")
{
  const HeadBegin head = GENERATE(from_range(MalformedHeads()));
  INFO(head.mWhat);
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ Buffered(head, "Server-Leaving: 1\r\nRetry-After: 30\r\n") });
  endpoint.AddScript({ ResponseWithDigest("r1", "after") });
  CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502 "));
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nafter"));
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: a late one ends the attempt of the next request",
                 "[frontend]")
{
  const HeadBegin head = GENERATE(from_range(MalformedHeads()));
  INFO(head.mWhat);
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  // It would be discarded as the answer to an earlier request, if it were sound.
  const std::string late =
    head.mStatusLine + head.mFields + "Attempt-Id: r0\r\nContent-Length: 4\r\n\r\nlate";
  first.AddScript({ late + ResponseWithDigest("r1", "behind it") });
  const std::string response = Call(Post("/once/1"), HasHeadAndBody);
  CHECK(response.starts_with("HTTP/1.1 502 "));
  CHECK(second.Requests().empty());
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: a stream that has not begun is begun elsewhere",
                 "[frontend]")
{
  const HeadBegin head = GENERATE(from_range(MalformedHeads()));
  INFO(head.mWhat);
  AddEndpoint("e1").AddScript({ Stream(head) });
  AddEndpoint("e2", "z2").AddScript({ StreamHead() + kEvent1 + kEnd });
  const std::string response = Call(Post("/stream/1"), EndsCall);
  CHECK(response.starts_with("HTTP/1.1 200 OK\r\n"));
  CHECK(response.ends_with("\r\n\r\n" + kEvent1 + kEnd));
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: a stream that has begun is resumed or broken off",
                 "[frontend]")
{
  const HeadBegin head = GENERATE(from_range(MalformedHeads()));
  INFO(head.mWhat);
  const std::size_t attempts = GENERATE(2U, 3U);
  ChangeConfiguration([&](gateway::ServingConfiguration& aConfiguration) {
    for (gateway::Route& route : aConfiguration.mRoutes) {
      route.mMaxAttempts = attempts;
    }
  });
  const std::string rest = StreamHead() + kEvent2 + kEnd;
  ScriptedEndpoint& first = AddEndpoint("e1");
  first.AddScript({ StreamHead() + kEvent1, true });
  first.AddScript({ rest });
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  second.AddScript({ Stream(head) });
  second.AddScript({ rest });
  const std::string response = Call(Post("/stream/1"), HasLastChunk);
  CHECK(first.Requests().size() + second.Requests().size() == attempts);
  CHECK(response.starts_with("HTTP/1.1 200 OK\r\n"));
  CHECK_FALSE(Contains(response, "foreign"));
  CHECK(response.rfind("HTTP/1.1") == 0);
  CHECK(response.ends_with(attempts == 3 ? kEvent1 + kEvent2 + kEnd : kEvent1));
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: a standby that sends one takes over from no other",
                 "[frontend]")
{
  const HeadBegin head = GENERATE(from_range(MalformedHeads()));
  INFO(head.mWhat);
  StartTicks();
  ScriptedEndpoint::Script slow;
  slow.mLater = { { milliseconds(1500), ResponseWithDigest("r1", "sound") } };
  AddEndpoint("e1").AddScript(slow);
  ScriptedEndpoint& standby = AddEndpoint("e2", "z2");
  standby.AddScript({ Buffered(head) });
  CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("\r\n\r\nsound"));
  CHECK(standby.Requests().size() == 1);
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: chunks and trailers count like the head",
                 "[frontend]")
{
  const std::string fault = GENERATE("x\r\n",
                                     "-1\r\n",
                                     "2\r\nabc\r\n0\r\n\r\n",
                                     "0\r\nX Y: z\r\n\r\n",
                                     "0\r\nX\x01Y: z\r\n\r\n",
                                     "0\r\nX: y\x01z\r\n\r\n",
                                     "0\r\nContent-Length: 3\r\n\r\n",
                                     "0\r\nno colon\r\n\r\n");
  INFO(fault);
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  SECTION("of a buffered response")
  {
    first.AddScript({ StreamHead() + kEvent1 + fault });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502 "));
    CHECK(second.Requests().empty());
  }
  SECTION("of a stream, which goes on elsewhere")
  {
    first.AddScript({ StreamHead() + kEvent1 + fault });
    second.AddScript({ StreamHead() + kEvent2 + kEnd });
    const std::string response = Call(Post("/stream/1"), EndsCall);
    CHECK(response.ends_with("\r\n\r\n" + kEvent1 + kEvent2 + kEnd));
  }
  SECTION("of a late response")
  {
    first.AddScript({ "HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" +
                      fault + ResponseWithDigest("r1", "behind it") });
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502 "));
    CHECK(second.Requests().empty());
  }
}

// The coding was not undone, and the caller got its bytes as the body.
TEST_CASE_METHOD(Fixture,
                 "malformed response: a body in an unknown coding is not passed on",
                 "[frontend]")
{
  const std::string coding = GENERATE("gzip",
                                      "gzip, chunked",
                                      "chunked, gzip",
                                      "chunked, chunked",
                                      "xchunked",
                                      "chunked;q=1",
                                      "identity",
                                      "");
  INFO(coding);
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n"
                           "Transfer-Encoding: " +
                           coding + "\r\n\r\n";
  endpoint.AddScript({ head + Chunk("id: 1\ndata: foreign\n\n") + kEnd, true });
  SECTION("as a buffered response")
  {
    CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502 "));
  }
  SECTION("as a stream")
  {
    AddEndpoint("e2", "z2").AddScript({ StreamHead() + kEvent1 + kEnd });
    CHECK(Call(Post("/stream/1"), EndsCall).ends_with("\r\n\r\n" + kEvent1 + kEnd));
  }
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: chunked alone is known in any spelling",
                 "[frontend]")
{
  const std::string field = GENERATE("Transfer-Encoding: chunked",
                                     "transfer-encoding:CHUNKED",
                                     "Transfer-Encoding: , chunked ,");
  INFO(field);
  AddEndpoint("e1").AddScript(
    { "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n" + field + "\r\n\r\n" +
      Chunk("whole") + kEnd });
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nwhole"));
}

// The parser adds the fields of the trailer to those of the head.
TEST_CASE_METHOD(Fixture,
                 "malformed response: no field of a trailer becomes one of the head",
                 "[frontend]")
{
  const std::string trailer = "0\r\nSet-Cookie: foreign\r\nRetry-After: 9\r\n\r\n";
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ StreamHead() + kEvent1 + trailer });
  SECTION("of a buffered response")
  {
    const std::string response = Call(Post("/once/1"), HasHeadAndBody);
    CHECK(response.ends_with("\r\n\r\nid: 1\ndata: a\n\n"));
    CHECK_FALSE(Contains(response, "Set-Cookie"));
    CHECK_FALSE(Contains(response, "Retry-After"));
  }
  SECTION("of a stream")
  {
    const std::string response = Call(Post("/stream/1"), EndsCall);
    CHECK(response.ends_with("\r\n\r\n" + kEvent1 + kEnd));
    CHECK_FALSE(Contains(response, "Set-Cookie"));
  }
  SECTION("of a stream without an event")
  {
    ScriptedEndpoint& other = AddEndpoint("e2");
    endpoint.AddScript({ StreamHead() + trailer });
    other.AddScript({ StreamHead() + trailer });
    Call(Post("/stream/1"), EndsCall);
    const std::string response = Call(Post("/stream/1"), EndsCall);
    CHECK(response.ends_with("\r\nContent-Length: 0\r\n\r\n"));
    CHECK_FALSE(Contains(response, "Set-Cookie"));
  }
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: a connection whose response may go on is closed",
                 "[frontend]")
{
  const std::string fields = "Attempt-Id: r1\r\nResponse-Seal: s\r\n";
  const std::string response = GENERATE_COPY(
    "HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n" + fields + "\r\n",
    "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n" + fields + "\r\n",
    "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n" +
      fields + "\r\n" + Chunk("body") + kEnd);
  INFO(response);
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ response });
  endpoint.AddScript({ ResponseWithDigest("r1", "next") });
  CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 20"));
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nnext"));
  CHECK(endpoint.Connections() == 2);
}

TEST_CASE_METHOD(Fixture, "malformed response: it is logged and counted", "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const auto isCounted = [&](int aCount) {
    return Contains(MetricsText(),
                    "samphiresail_malformed_answers_total " + std::to_string(aCount));
  };
  endpoint.AddScript({ Buffered({ "", "HTTP/1.1 000 OK\r\n", "" }) });
  Call(Post("/once/1"), HasHeadAndBody);
  CHECK(isCounted(1));
  CHECK(Contains(Log(), R"("error":"bad status","malformed":true)"));
  endpoint.AddScript({ StreamHead() + kEvent1 + "0\r\nX Y: z\r\n\r\n" });
  Call(Post("/stream/1"), HasLastChunk);
  CHECK(isCounted(2));
  endpoint.AddScript({ "HTTP/1.1 200 OK\r\nX", true });
  Call(Post("/once/1"), HasHeadAndBody);
  CHECK(isCounted(2));
}

TEST_CASE_METHOD(Fixture, "malformed response: sound odd heads pass", "[frontend]")
{
  const HeadBegin head = GENERATE(from_range(testing::OddSoundHeads()));
  INFO(head.mWhat);
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  SECTION("of a buffered response")
  {
    endpoint.AddScript({ Buffered(head) });
    endpoint.AddScript({ Buffered(head) });
    for (int i = 0; i < 2; ++i) {
      const std::string response = Call(Post("/once/1"), HasHeadAndBody);
      CHECK(response.starts_with("HTTP/1.1 2"));
      CHECK(response.ends_with("\r\n\r\nforeign"));
    }
    CHECK(endpoint.Connections() == 1);
  }
  SECTION("of a stream")
  {
    endpoint.AddScript({ Stream(head) });
    const std::string response = Call(Post("/stream/1"), EndsCall);
    CHECK(response.starts_with("HTTP/1.1 2"));
    CHECK(response.ends_with("\r\n\r\n" + Chunk("id: 9\ndata: foreign\n\n") + kEnd));
  }
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: the fields of sound odd heads are passed on",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const std::string fields = "!#$%&'*+-.^_`|~09azAZ: z\r\nEmpty: \r\n"
                             "High: \x80\xe9\xff\r\nTab: y\tz\r\n";
  endpoint.AddScript({ Buffered({ "", "HTTP/1.1 200 \r\n", fields }) });
  CHECK(Contains(Call(Post("/once/1"), HasHeadAndBody), "\r\n" + fields));
}

TEST_CASE_METHOD(Fixture,
                 "malformed response: statuses that nobody knows are passed on",
                 "[frontend]")
{
  const std::string status = GENERATE("299", "399", "418", "497", "597");
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ Buffered({ "", "HTTP/1.1 " + status + " X\r\n", "" }) });
  const std::string response = Call(Post("/once/1"), HasHeadAndBody);
  CHECK(response.starts_with("HTTP/1.1 " + status + " X\r\n"));
  CHECK(response.ends_with("\r\n\r\nforeign"));
}
