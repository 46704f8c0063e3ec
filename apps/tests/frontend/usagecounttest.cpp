#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;
using std::chrono::milliseconds;
using Script = ScriptedEndpoint::Script;

namespace {

const std::string kNotRun =
  "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r1\r\nNot-Executed: 1\r\n"
  "Content-Length: 0\r\n\r\n";
const std::string kFailure =
  "HTTP/1.1 500 X\r\nAttempt-Id: r1\r\nContent-Length: 0\r\n\r\n";
const std::string kWhole = ResponseWithDigest("r1", "done");
const std::string kEvent = "id: 1\ndata: a\n\n";
const std::string kRest = Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";

}

TEST_CASE_METHOD(Fixture,
                 "usage: a request counts once if an endpoint ran it, else not",
                 "[frontend]")
{
  // Responses to the first and the second attempt, at two endpoints.
  const auto [path,
              first,
              second,
              counted] = GENERATE(table<std::string, Script, Script, std::size_t>({
    { "/safe/1", { kWhole }, {}, 1 },
    { "/safe/1", { kNotRun }, { kWhole }, 1 },
    { "/safe/1", { kNotRun }, { kNotRun }, 0 },
    { "/safe/1", { kFailure }, { kWhole }, 1 },
    { "/safe/1", { "", true }, { kWhole }, 1 },
    { "/once/1", { "", true }, {}, 1 },
    { "/once/1", { kFailure }, {}, 1 },
    { "/stream/1", { StreamHead() + Chunk(kEvent) + kRest }, {}, 1 },
    // Broke off before the first event, which alone counts.
    { "/stream/1", { StreamHead(), true }, { kNotRun }, 0 },
    // Resumed at the other endpoint.
    { "/stream/1", { StreamHead() + Chunk(kEvent), true }, { StreamHead() + kRest }, 1 },
    { "/stream/1", { kFailure }, { kFailure }, 1 },
    { "/stream/1", { kNotRun }, { kNotRun }, 0 },
  }));
  CAPTURE(path, first.mBytes, second.mBytes);
  AddEndpoint("e1").AddScript(first);
  AddEndpoint("e2", "z2").AddScript(second);
  Call(Post(path), EndsCall);
  REQUIRE(mRan.size() == counted);
  if (counted > 0) {
    CHECK(mRan[0].first.Str() == "club");
  }
}

TEST_CASE_METHOD(Fixture,
                 "usage: a stream begins with its first event, another request when sent",
                 "[frontend]")
{
  constexpr milliseconds kPause{ 500 };
  Script script;
  const timing::Instant start = Now();
  StartTicks();
  SECTION("stream")
  {
    script.mLater = { { kPause, StreamHead() }, { kPause, Chunk(kEvent) + kRest } };
    AddEndpoint("e1").AddScript(script);
    Call(Post("/stream/1"), EndsCall);
    REQUIRE(mRan.size() == 1);
    CHECK(mRan[0].second >= start + 2 * kPause);
  }
  SECTION("another request")
  {
    script.mLater = { { kPause, kWhole } };
    AddEndpoint("e1").AddScript(script);
    Call(Post("/once/1"), EndsCall);
    REQUIRE(mRan.size() == 1);
    CHECK(mRan[0].second < start + kPause);
  }
  SECTION("one that runs for long is counted before its response")
  {
    script.mLater = { { 3 * kPause, kWhole } };
    AddEndpoint("e1").AddScript(script);
    std::size_t counted = 0;
    RunAfterAdmission(kLongRun + milliseconds(100), [&] { counted = mRan.size(); });
    Call(Post("/once/1"), EndsCall);
    CHECK(counted == 1);
    CHECK(mRan.size() == 1);
  }
}
