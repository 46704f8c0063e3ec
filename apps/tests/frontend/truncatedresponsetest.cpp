#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;
using std::chrono::milliseconds;

namespace {

const std::string kFields = "Attempt-Id: r1\r\nResponse-Seal: s\r\n\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kHead = kOk + kFields;
const std::string kEvent1 = "id: 1\ndata: a\n\n";
const std::string kEvent2 = "id: 2\ndata: b\n\n";
const std::string kWhole = ResponseWithDigest("r1", "whole");
const std::string kWholeStream = StreamHead() + Chunk(kEvent1 + kEvent2) + "0\r\n\r\n";

/// The buffers of two sockets hold the first upload, and not the second.
constexpr std::size_t kSent = 400'000;
constexpr std::size_t kNotSent = 4'150'000;

/// Response that ends its direction and is reset before the entry reads its end.
ScriptedEndpoint::Script ResetAfterEnd(const std::string& aBytes)
{
  ScriptedEndpoint::Script script{ aBytes };
  script.mResetAfterEnd = milliseconds(0);
  return script;
}

/// The same of an endpoint that leaves the body of the request unread, and resets later.
ScriptedEndpoint::Script BeforeBody(const std::string& aBytes)
{
  ScriptedEndpoint::Script script{ aBytes };
  script.mResetAfterEnd = milliseconds(10);
  script.mBeforeBody = true;
  return script;
}

/// Both kinds of truncated responses, with a request that brings each about.
std::pair<std::string, ScriptedEndpoint::Script> Truncated(const std::string& aPath,
                                                           const std::string& aBytes)
{
  const std::size_t size = GENERATE(std::size_t{ 0 }, kSent, kNotSent);
  return { size == 0 ? Post(aPath) : Upload(aPath, size),
           size == 0 ? ResetAfterEnd(aBytes) : BeforeBody(aBytes) };
}

}

// An endpoint answered a long upload at once, without a length, and reset the connection
// while the upload was written. The caller got what had arrived as the whole answer.
TEST_CASE_METHOD(Fixture,
                 "truncated response: it is no answer, and no failure of the endpoint's",
                 "[frontend]")
{
  const std::string status = GENERATE("200 OK", "404 Not Found", "500 Error");
  const bool repeatable = GENERATE(false, true);
  const auto [request, script] = Truncated(
    repeatable ? "/safe/1" : "/once/1", "HTTP/1.1 " + status + "\r\n" + kFields + "part");
  INFO(status << ", " << request.size() << " bytes");
  ScriptedEndpoint& first = AddEndpoint("e1");
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  first.AddScript(script);
  second.AddScript({ kWhole });
  const std::string response = Call(request, HasHeadAndBody);
  CHECK_FALSE(Contains(response, "part"));
  CHECK(response.starts_with(repeatable ? "HTTP/1.1 200" : "HTTP/1.1 502"));
  CHECK(first.Requests().size() == 1);
  CHECK(second.Requests().size() == (repeatable ? 1 : 0));
}

TEST_CASE_METHOD(Fixture,
                 "truncated response: a stream is begun or resumed elsewhere",
                 "[frontend]")
{
  const auto [request, script] = Truncated("/stream/1", kHead + kEvent1);
  INFO(request.size() << " bytes");
  AddEndpoint("e1").AddScript(script);
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  const bool begun = request.size() < kNotSent;
  second.AddScript(
    { begun ? StreamHead() + Chunk(kEvent2) + "0\r\n\r\n" : kWholeStream });
  const std::string response = Call(request, EndsCall);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(HasLastChunk(response));
  CHECK(Contains(response, kEvent1));
  CHECK(Contains(response, kEvent2));
  CHECK(Contains(second.Requests().at(0), "Last-Event-Id: 1\r\n") == begun);
}

TEST_CASE_METHOD(Fixture,
                 "truncated response: a stream that cannot be resumed never looks whole",
                 "[frontend]")
{
  const auto [request, script] = Truncated("/stream/1", kHead + kEvent1);
  INFO(request.size() << " bytes");
  SECTION("as it must run once")
  {
    ChangeConfiguration([](gateway::ServingConfiguration& aConfiguration) {
      for (gateway::Route& route : aConfiguration.mRoutes) {
        route.mResumable = false;
      }
    });
    ScriptedEndpoint& second = AddEndpoint("e2", "z2");
    AddEndpoint("e1").AddScript(script);
    const std::string response = Call(request, EndsCall);
    CHECK_FALSE(HasLastChunk(response));
    CHECK((response.starts_with("HTTP/1.1 502") || response.ends_with(Chunk(kEvent1))));
    CHECK(second.Requests().empty());
  }
  SECTION("as its resumption is truncated as well")
  {
    AddEndpoint("e1").AddScript({ StreamHead() + Chunk(kEvent1), true });
    AddEndpoint("e2", "z2").AddScript(script);
    CHECK(Call(request, EndsCall).ends_with(Chunk(kEvent1)));
  }
}

TEST_CASE_METHOD(Fixture,
                 "truncated response: a standby that sends one takes over from no other",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint::Script slow;
  slow.mLater = { { milliseconds(1800), kWhole } };
  AddEndpoint("e1").AddScript(slow);
  ScriptedEndpoint& standby = AddEndpoint("e2", "z2");
  standby.AddScript(BeforeBody(kHead + "part"));
  CHECK(Call(Upload("/safe/1", kNotSent), HasHeadAndBody).ends_with("\r\n\r\nwhole"));
  CHECK(standby.Requests().size() == 1);
}

TEST_CASE_METHOD(Fixture,
                 "truncated response: a late one ends the attempt of the next request",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript(
    ResetAfterEnd("HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nResponse-Seal: s\r\n\r\nlate"));
  CHECK(Call(Post("/once/1"), HasHeadAndBody).starts_with("HTTP/1.1 502"));
  CHECK(endpoint.Requests().size() == 1);
}

TEST_CASE_METHOD(
  Fixture,
  "truncated response: it is logged, counted, and held against its endpoint",
  "[frontend]")
{
  const auto [request, script] = Truncated("/once/1", kHead + "part");
  INFO(request.size() << " bytes");
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript(script);
  endpoint.AddScript({ kWhole });
  CHECK(Contains(MetricsText(), "samphiresail_truncated_answers_total 0"));
  CHECK(Call(request, HasHeadAndBody).starts_with("HTTP/1.1 502"));
  CHECK(Contains(MetricsText(), "samphiresail_truncated_answers_total 1"));
  CHECK(Contains(MetricsText(), "samphiresail_malformed_answers_total 0"));
  CHECK(Contains(Log(), R"("message":"attempt broke off")"));
  CHECK(Contains(Log(), R"("truncated":true)"));
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("\r\n\r\nwhole"));
  // One of them shows whether the endpoint still runs.
  CHECK(endpoint.Connections() == 3);
}

TEST_CASE_METHOD(Fixture,
                 "truncated response: an early one with a known end is whole",
                 "[frontend]")
{
  const std::size_t size = GENERATE(kSent, kNotSent);
  const bool isStream = GENERATE(false, true);
  INFO(size << " bytes");
  AddEndpoint("e1").AddScript(BeforeBody(isStream ? kWholeStream : kWhole));
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  const std::string response =
    Call(Upload(isStream ? "/stream/1" : "/once/1", size), EndsCall);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.ends_with(isStream ? kEvent2 + "\r\n0\r\n\r\n" : "\r\n\r\nwhole"));
  CHECK(second.Requests().empty());
  CHECK(Contains(MetricsText(), "samphiresail_truncated_answers_total 0"));
}
