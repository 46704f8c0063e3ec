#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/support/responseheads.hpp"
#include "components/httpclient/responsebody.hpp"
#include "platform/enginecalls.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using frontend::testing::ScriptedEndpoint;
using platform::HttpReply;

namespace {

/// More bytes than the buffers of two sockets take; stands for bytes without end.
constexpr std::size_t kEndless = 64U << 20U;
/// Bytes that the buffers of two sockets take on top of the largest response.
constexpr std::size_t kMostTaken = 40U << 20U;

std::string Response(unsigned aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

struct Fixture
{
  template<typename T>
  T Await(frontend::asio::awaitable<T> aCall)
  {
    std::optional<T> result;
    frontend::asio::co_spawn(
      mIo,
      [&]() -> frontend::asio::awaitable<void> { result = co_await std::move(aCall); },
      frontend::asio::detached);
    while (!result) {
      mIo.run_one();
    }
    return std::move(*result);
  }

  HttpReply Call(bool aOwnConnection = false)
  {
    platform::HttpCall call;
    call.mTarget = "/report";
    call.mOwnConnection = aOwnConnection;
    return Await(mClient.Call(mAddress, std::move(call), 20s));
  }

  frontend::asio::io_context mIo{ 1 };
  ScriptedEndpoint mServer{ mIo };
  timing::ManualClock mClock;
  platform::HttpClient mClient{ mIo, mClock };
  settings::SocketAddress mAddress{ "127.0.0.1", mServer.Port() };
};

}

TEST_CASE_METHOD(Fixture,
                 "http client: a second copy of a response answers no later call",
                 "[platform]")
{
  const std::string first = Response(200, "first");
  SECTION("that comes with the first copy")
  {
    mServer.AddScript({ first + first });
    mServer.AddScript({ Response(200, "second") });
    CHECK(Call().mBody == "first");
    CHECK(Call().mBody == "second");
    CHECK(mServer.Connections() == 2);
  }
  SECTION("that comes while the connection is idle")
  {
    mServer.AddScript({ first, false, false, false, first });
    mServer.AddScript({ Response(200, "second") });
    CHECK(Call().mBody == "first");
    mIo.run_for(100ms);
    CHECK(Call().mBody == "second");
    CHECK(mServer.Connections() == 2);
  }
  SECTION("that comes with the response to the later call")
  {
    mServer.AddScript({ first });
    mServer.AddScript({ first + Response(200, "second") });
    mServer.AddScript({ Response(200, "third") });
    CHECK(Call().mBody == "first");
    CHECK(Call().mOutcome == HttpReply::Outcome::Unknown);
    CHECK(Call().mBody == "third");
  }
  SECTION("that comes before the response to a later call with its own connection")
  {
    mServer.AddScript({ first, false, false, false, first });
    mServer.AddScript({ Response(200, "second") });
    CHECK(Call().mBody == "first");
    CHECK(Call(true).mBody == "second");
  }
}

TEST_CASE_METHOD(Fixture,
                 "engine calls: a second copy of a report or order answers no order",
                 "[platform]")
{
  platform::EngineCalls calls(mClient, ids::ProcessId("entry-1"), [](const auto&) {});
  gateway::EndpointReport endpoint;
  endpoint.mAddress = mAddress;
  const gateway::EngineAction action{ endpoint.mId, gateway::EngineOrder{}, 0 };
  const bool report = GENERATE(true, false);
  // The copy is sent once the order was received, ahead of the answer to the order.
  mServer.AddScript({ Response(200, "{}"), false, false, false, Response(200, "{}") });
  mServer.AddScript({ Response(409, "") });
  if (report) {
    Await(calls.Report(endpoint));
  } else {
    CHECK(Await(calls.Order(endpoint, action, 41)) ==
          gateway::OrderOutcome::AlreadyInState);
  }
  CHECK(Await(calls.Order(endpoint, action, 41)) == gateway::OrderOutcome::Conflict);
}

TEST_CASE_METHOD(Fixture,
                 "http client: a response without a length ends with its connection",
                 "[platform]")
{
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  const std::string body = R"({"stage":"running"})";
  SECTION("whole")
  {
    ScriptedEndpoint::Script script{ head + body.substr(0, 4), true };
    script.mSecondPart = body.substr(4);
    mServer.AddScript(script);
    const HttpReply reply = Call();
    CHECK(reply.mOutcome == HttpReply::Outcome::Answered);
    CHECK(reply.mBody == body);
    mServer.AddScript({ Response(200, "next") });
    CHECK(Call().mBody == "next");
    CHECK(mServer.Connections() == 2);
  }
  SECTION("but is no answer if it is reset")
  {
    for (std::size_t n = 0; n <= body.size(); ++n) {
      ScriptedEndpoint::Script script{ head + body.substr(0, n), true };
      script.mReset = true;
      mServer.AddScript(script);
      CHECK(Call().mOutcome == HttpReply::Outcome::Unknown);
    }
  }
  SECTION("and is bounded")
  {
    mServer.AddScript({ head + std::string(9U << 20U, 'x') });
    CHECK(Call().mOutcome == HttpReply::Outcome::TooLarge);
  }
}

// The store's or an engine's answer was kept however long its framing was.
TEST_CASE_METHOD(Fixture, "http client: bytes without end are not kept", "[platform]")
{
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string bytes;
  SECTION("in the size line of a chunk")
  {
    bytes = head + "5;" + std::string(kEndless, 'x');
  }
  SECTION("in the trailer")
  {
    bytes = head + "0\r\nX: " + std::string(kEndless, 'x');
  }
  SECTION("in the size lines of many chunks")
  {
    const std::string chunk = "1;" + std::string(4000, 'x') + "\r\ny\r\n";
    bytes = head;
    while (bytes.size() < kEndless) {
      bytes.append(chunk);
    }
  }
  SECTION("in the head")
  {
    bytes = "HTTP/1.1 200 OK\r\nX: " + std::string(kEndless, 'x');
  }
  mServer.AddScript({ bytes });
  mServer.AddScript({ Response(200, "next") });
  const auto outcome = Call().mOutcome;
  CHECK(
    (outcome == HttpReply::Outcome::Unknown || outcome == HttpReply::Outcome::TooLarge));
  mIo.run_for(50ms);
  CHECK(mServer.BytesSent() < kMostTaken);
  CHECK(Call().mBody == "next");
}

TEST_CASE_METHOD(Fixture,
                 "engine calls: a report that is larger than any engine's is not read",
                 "[platform]")
{
  platform::EngineCalls calls(mClient, ids::ProcessId("entry-1"), [](const auto&) {});
  gateway::EndpointReport endpoint;
  endpoint.mAddress = mAddress;
  mServer.AddScript({ "HTTP/1.1 200 OK\r\n\r\n" + std::string(600U << 10U, ' ') +
                        R"({"stage":"running","models":[],"sequence":3})",
                      true });
  CHECK_FALSE(Await(calls.Report(endpoint)).has_value());
}

TEST_CASE_METHOD(Fixture,
                 "engine calls: a report without a length that is cut is no report",
                 "[platform]")
{
  platform::EngineCalls calls(mClient, ids::ProcessId("entry-1"), [](const auto&) {});
  gateway::EndpointReport endpoint;
  endpoint.mAddress = mAddress;
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  const std::string body = R"({"stage":"running","models":[],"sequence":3})";
  for (std::size_t n = 0; n <= body.size(); ++n) {
    INFO(n << " of " << body.size());
    mServer.AddScript({ head + body.substr(0, n), true });
    CHECK(Await(calls.Report(endpoint)).has_value() == (n == body.size()));
  }
}

TEST_CASE_METHOD(Fixture,
                 "http client: a response that is cut at any byte is not an answer",
                 "[platform]")
{
  const std::string whole =
    GENERATE(Response(200, R"({"revision":13})"),
             std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "8\r\n{\"revisi\r\n7\r\non\":13}\r\n0\r\n\r\n"));
  for (std::size_t n = 0; n < whole.size(); ++n) {
    INFO(n << " of " << whole.size());
    mServer.AddScript({ whole.substr(0, n), true });
    CHECK(Call().mOutcome == HttpReply::Outcome::Unknown);
  }
  mServer.AddScript({ whole });
  CHECK(Call().mBody == R"({"revision":13})");
}

// A write that the store answered with a status of 000 counted as one without effect, an
// order as rejected.
TEST_CASE_METHOD(Fixture,
                 "http client: a response with a malformed head is not an answer",
                 "[platform]")
{
  const auto heads = testing::MalformedHeads();
  int malformed = 0;
  mClient.SetFaultHandler([&](const settings::SocketAddress& aAddress, const auto&) {
    CHECK(aAddress.mPort == mAddress.mPort);
    ++malformed;
  });
  for (const testing::HeadBegin& head : heads) {
    INFO(head.mWhat);
    mServer.AddScript({ Response(200, "before") });
    mServer.AddScript({ head.mStatusLine + head.mFields +
                        "Server-Leaving: 1\r\nContent-Length: 7\r\n\r\nforeign" });
    mServer.AddScript({ Response(200, "after") });
    CHECK(Call().mBody == "before");
    const int connections = mServer.Connections();
    const HttpReply reply = Call();
    CHECK(reply.mOutcome == HttpReply::Outcome::Unknown);
    CHECK(reply.mStatus == 0);
    CHECK(reply.mBody.empty());
    CHECK(reply.mHeaders.begin() == reply.mHeaders.end());
    CHECK(mServer.Connections() == connections);
    CHECK(Call().mBody == "after");
    CHECK(mServer.Connections() == connections + 1);
  }
  CHECK(malformed == static_cast<int>(heads.size()));
}

TEST_CASE_METHOD(Fixture,
                 "http client: a malformed trailer is reported, a lost response is not",
                 "[platform]")
{
  int malformed = 0;
  mClient.SetFaultHandler([&](const auto&, const auto&) { ++malformed; });
  mServer.AddScript({ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "2\r\n{}\r\n0\r\nX Y: z\r\n\r\n" });
  CHECK(Call().mOutcome == HttpReply::Outcome::Unknown);
  CHECK(malformed == 1);
  mServer.AddScript({ "HTTP/1.1 200 OK\r\n", true });
  CHECK(Call().mOutcome == HttpReply::Outcome::Unknown);
  CHECK(malformed == 1);
}

// An order whose answer broke off counted as accepted.
TEST_CASE_METHOD(Fixture,
                 "http client: a truncated response without a length is not an answer",
                 "[platform]")
{
  int truncated = 0;
  mClient.SetFaultHandler([&](const settings::SocketAddress& aAddress, const auto& aEc) {
    CHECK(aAddress.mPort == mAddress.mPort);
    CHECK(httpclient::IsTruncated(aEc));
    ++truncated;
  });
  ScriptedEndpoint::Script script{ "HTTP/1.1 200 OK\r\n\r\n{}" };
  script.mResetAfterEnd = 0ms;
  SECTION("in general")
  {
    mServer.AddScript({ Response(200, "before") });
    mServer.AddScript(script);
    mServer.AddScript({ "HTTP/1.1 200 OK\r\n\r\nafter", true });
    CHECK(Call().mBody == "before");
    CHECK(Call().mOutcome == HttpReply::Outcome::Unknown);
    const HttpReply after = Call();
    CHECK(after.mOutcome == HttpReply::Outcome::Answered);
    CHECK(after.mBody == "after");
    CHECK(mServer.Connections() == 2);
  }
  SECTION("that precedes the end of the call")
  {
    script.mBeforeBody = true;
    script.mResetAfterEnd = 20ms;
    mServer.AddScript(script);
    platform::HttpCall call;
    call.mMethod = frontend::http::verb::put;
    call.mTarget = "/report";
    call.mBody = std::string(400'000, 'x');
    const HttpReply reply = Await(mClient.Call(mAddress, std::move(call), 20s));
    CHECK(reply.mOutcome == HttpReply::Outcome::Unknown);
  }
  SECTION("to an order")
  {
    platform::EngineCalls calls(mClient, ids::ProcessId("entry-1"), [](const auto&) {});
    gateway::EndpointReport endpoint;
    endpoint.mAddress = mAddress;
    const gateway::EngineAction action{ endpoint.mId, gateway::EngineOrder{}, 0 };
    mServer.AddScript(script);
    CHECK(Await(calls.Order(endpoint, action, 41)) == gateway::OrderOutcome::Unknown);
  }
  CHECK(truncated == 1);
}

TEST_CASE_METHOD(Fixture,
                 "http client: a response with a sound odd head is an answer",
                 "[platform]")
{
  for (const testing::HeadBegin& head : testing::OddSoundHeads()) {
    INFO(head.mWhat);
    mServer.AddScript(
      { head.mStatusLine + head.mFields + "Content-Length: 4\r\n\r\nbody" });
    const HttpReply reply = Call();
    CHECK(reply.mOutcome == HttpReply::Outcome::Answered);
    CHECK(reply.mBody == "body");
  }
  CHECK(mServer.Connections() == 1);
}

TEST_CASE_METHOD(Fixture,
                 "engine calls: a malformed response to an order rejects nothing",
                 "[platform]")
{
  int leaving = 0;
  platform::EngineCalls calls(
    mClient, ids::ProcessId("entry-1"), [&](const auto&) { ++leaving; });
  gateway::EndpointReport endpoint;
  endpoint.mAddress = mAddress;
  const gateway::EngineAction action{ endpoint.mId, gateway::EngineOrder{}, 0 };
  for (const testing::HeadBegin& head : testing::HeadsWithMalformedStatus()) {
    INFO(head.mWhat);
    const std::string response =
      head.mStatusLine + "Server-Leaving: 1\r\nContent-Length: 2\r\n\r\n{}";
    mServer.AddScript({ response });
    CHECK(Await(calls.Order(endpoint, action, 41)) == gateway::OrderOutcome::Unknown);
    mServer.AddScript({ response });
    CHECK_FALSE(Await(calls.Report(endpoint)).has_value());
  }
  CHECK(leaving == 0);
}
