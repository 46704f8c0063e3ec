#include <future>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <sys/resource.h>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/support/responseheads.hpp"
#include "components/httpclient/client.hpp"
#include "components/httpclient/responsebody.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using frontend::testing::ScriptedEndpoint;
using httpclient::Outcome;
using httpclient::Reply;

namespace {

const std::string kOk = "HTTP/1.1 200 OK\r\n";

std::string Sound(const std::string& aBody)
{
  return kOk +
         "Content-Type: text/plain\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string Chunked(const std::string& aRest)
{
  return kOk + "Transfer-Encoding: chunked\r\n\r\n" + aRest;
}

/// A client, and a server on a thread of its own.
class Fixture
{
public:
  ~Fixture()
  {
    mIo.stop();
    mThread.join();
  }

  void AddScript(ScriptedEndpoint::Script aScript)
  {
    OnServer([&] { mServer->AddScript(aScript); });
  }
  int Connections()
  {
    int n = 0;
    OnServer([&] { n = mServer->Connections(); });
    return n;
  }
  std::vector<std::string> Requests()
  {
    std::vector<std::string> requests;
    OnServer([&] { requests = mServer->Requests(); });
    return requests;
  }
  Reply Get() { return mClient.Call({ .mTarget = "/path?query=1" }); }

private:
  void OnServer(const std::function<void()>& aTask)
  {
    std::promise<void> done;
    boost::asio::post(mIo, [&] {
      aTask();
      done.set_value();
    });
    done.get_future().wait();
  }

  boost::asio::io_context mIo{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork{
    mIo.get_executor()
  };
  std::unique_ptr<ScriptedEndpoint> mServer{ std::make_unique<ScriptedEndpoint>(mIo) };

public:
  std::uint16_t mPort{ mServer->Port() };
  std::string mUrl{ "http://127.0.0.1:" + std::to_string(mPort) };
  httpclient::Client mClient{ mUrl, { 5s, 5s, 5s } };

private:
  std::thread mThread{ [this] { mIo.run(); } };
};

}

TEST_CASE_METHOD(Fixture,
                 "client: calls follow each other on one connection",
                 "[httpclient]")
{
  AddScript({ Sound("first") });
  AddScript({ Chunked("3\r\nsec\r\n3;x=y\r\nond\r\n0\r\nTrailer: t\r\n\r\n") });
  AddScript({ "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n" });
  const Reply first = Get();
  CHECK(first.mOutcome == Outcome::Answered);
  CHECK(first.mHead.mStatus == 200);
  CHECK(first.mHead.mContentType == "text/plain");
  CHECK(first.mBody == "first");
  httpclient::Request post{ .mMethod = "POST", .mTarget = "/act", .mBody = "{}" };
  post.mContentType = "application/json";
  post.mFields = { { "X-Number", "7" } };
  CHECK(mClient.Call(post).mBody == "second");
  CHECK(Get().mHead.mStatus == 404);
  CHECK(Connections() == 1);
  CHECK(Requests()[0].starts_with(
    "GET /path?query=1 HTTP/1.1\r\nHost: 127.0.0.1:" + std::to_string(mPort) + "\r\n"));
  CHECK(Requests()[1].starts_with("POST /act HTTP/1.1\r\n"));
  CHECK(Requests()[1].find("X-Number: 7\r\n") != std::string::npos);
  CHECK(Requests()[1].find("Content-Type: application/json\r\n") != std::string::npos);
  CHECK(Requests()[1].ends_with("\r\n\r\n{}"));
}

TEST_CASE_METHOD(Fixture,
                 "client: a response with a malformed head is not an answer",
                 "[httpclient]")
{
  std::vector<testing::HeadBegin> heads = testing::MalformedHeads();
  // The library took the blank as a part of the name, and what followed as the body.
  heads.push_back(
    { "blank before the colon of the length", kOk, "Content-Length : 2\r\n" });
  heads.push_back({ "length that is no number", kOk, "Content-Length: 7x\r\n" });
  heads.push_back({ "two lengths", kOk, "Content-Length: 2\r\n" });
  heads.push_back({ "length and chunks", kOk, "Transfer-Encoding: chunked\r\n" });
  heads.push_back({ "unknown coding", kOk, "Transfer-Encoding: gzip\r\n" });
  for (const testing::HeadBegin& head : heads) {
    INFO(head.mWhat);
    AddScript({ Sound("before") });
    AddScript(
      { head.mStatusLine + head.mFields + "Content-Length: 7\r\n\r\nforeign", true });
    AddScript({ Sound("after") });
    CHECK(Get().mBody == "before");
    const int connections = Connections();
    std::string parts;
    bool hasHead = false;
    httpclient::ResponseHandlers handlers;
    handlers.mOnHead = [&](const auto&) { hasHead = true; };
    handlers.mOnPart = [&](std::string_view aPart) { parts.append(aPart); };
    const Reply reply = mClient.Call({}, handlers);
    CHECK(reply.mOutcome == Outcome::Malformed);
    CHECK(reply.mFault.starts_with("bad "));
    CHECK(reply.mHead.mStatus == 0);
    CHECK_FALSE(hasHead);
    CHECK(parts.empty());
    CHECK(Connections() == connections);
    CHECK(Get().mBody == "after");
    CHECK(Connections() == connections + 1);
  }
}

TEST_CASE_METHOD(Fixture, "client: a malformed body is not an answer", "[httpclient]")
{
  const std::string rest = GENERATE("x\r\nab\r\n0\r\n\r\n",
                                    "2\r\nabc\r\n0\r\n\r\n",
                                    "-2\r\nab\r\n0\r\n\r\n",
                                    "2\r\nab\r\n0\r\nX Y: z\r\n\r\n",
                                    "2\r\nab\r\n0\r\nX\x01Y: z\r\n\r\n",
                                    "2\r\nab\r\n0\r\nno colon\r\n\r\n");
  AddScript({ Chunked(rest) });
  AddScript({ Sound("after") });
  CHECK(Get().mOutcome == Outcome::Malformed);
  CHECK(Get().mBody == "after");
  CHECK(Connections() == 2);
}

TEST_CASE_METHOD(Fixture, "client: a sound odd head is that of an answer", "[httpclient]")
{
  for (const testing::HeadBegin& head : testing::OddSoundHeads()) {
    INFO(head.mWhat);
    AddScript({ head.mStatusLine + head.mFields + "Content-Length: 4\r\n\r\nbody" });
    const Reply reply = Get();
    CHECK(reply.mOutcome == Outcome::Answered);
    CHECK(reply.mHead.mStatus / 100 == 2);
    CHECK(reply.mBody == "body");
  }
  CHECK(Connections() == 1);
}

TEST_CASE_METHOD(Fixture,
                 "client: a response that is cut is not an answer",
                 "[httpclient]")
{
  const std::string whole =
    GENERATE(Sound("whole"), Chunked("3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"));
  for (std::size_t n = 0; n < whole.size(); ++n) {
    INFO(n << " of " << whole.size());
    AddScript({ whole.substr(0, n), true });
    CHECK(Get().mOutcome == Outcome::Broken);
  }
  AddScript({ whole });
  CHECK(Get().mBody == "whole");
}

TEST_CASE_METHOD(Fixture,
                 "client: a response without a length ends with its connection",
                 "[httpclient]")
{
  AddScript({ kOk + "\r\nwhole", true });
  AddScript({ Sound("after") });
  CHECK(Get().mBody == "whole");
  CHECK(Get().mBody == "after");
  CHECK(Connections() == 2);
}

TEST_CASE_METHOD(Fixture,
                 "client: a truncated response without a length is not an answer",
                 "[httpclient]")
{
  ScriptedEndpoint::Script script{ kOk + "\r\npart" };
  script.mBeforeBody = true;
  script.mResetAfterEnd = 200ms;
  AddScript(script);
  AddScript({ Sound("after") });
  const httpclient::Request upload{ .mMethod = "POST",
                                    .mBody = std::string(400'000, 'x') };
  const Reply reply = mClient.Call(upload);
  CHECK(reply.mOutcome == Outcome::Truncated);
  CHECK_FALSE(reply.mFault.empty());
  CHECK(Get().mBody == "after");
  CHECK(Connections() == 2);
}

TEST_CASE("client: an answer whose socket was closed meanwhile is not whole",
          "[httpclient]")
{
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  CHECK(httpclient::CheckEndOfConnection(socket.native_handle()) ==
        boost::asio::error::operation_aborted);
}

TEST_CASE_METHOD(Fixture,
                 "client: a response with a known end precedes the end of the request",
                 "[httpclient]")
{
  ScriptedEndpoint::Script script{ Sound("whole") };
  script.mBeforeBody = true;
  script.mResetAfterEnd = 200ms;
  AddScript(script);
  const httpclient::Request upload{ .mMethod = "POST",
                                    .mBody = std::string(400'000, 'x') };
  CHECK(mClient.Call(upload).mBody == "whole");
}

TEST_CASE_METHOD(Fixture, "client: interim responses precede the answer", "[httpclient]")
{
  AddScript({ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" +
              Sound("final") });
  const Reply reply = Get();
  CHECK(reply.mHead.mStatus == 200);
  CHECK(reply.mBody == "final");
  SECTION("but not without end")
  {
    std::string interim;
    for (int it = 0; it < 100; ++it) {
      interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    AddScript({ interim + Sound("late") });
    CHECK(Get().mOutcome == Outcome::Broken);
  }
}

TEST_CASE_METHOD(Fixture,
                 "client: a body in a content coding is no answer",
                 "[httpclient]")
{
  AddScript({ kOk + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nxx" });
  AddScript({ kOk + "Content-Encoding: Identity\r\nContent-Length: 2\r\n\r\nhi" });
  CHECK(Get().mOutcome == Outcome::Broken);
  CHECK(Get().mBody == "hi");
  CHECK(Requests()[0].find("Accept-Encoding: identity\r\n") != std::string::npos);
}

TEST_CASE_METHOD(Fixture,
                 "client: bytes that belong to no call answer none",
                 "[httpclient]")
{
  AddScript({ Sound("first") + Sound("copy") });
  AddScript({ Sound("second") });
  CHECK(Get().mBody == "first");
  CHECK(Get().mBody == "second");
  AddScript({ Sound("third"), false, false, false, Sound("late copy") });
  AddScript({ Sound("fourth") });
  CHECK(Get().mBody == "third");
  std::this_thread::sleep_for(100ms);
  CHECK(Get().mBody == "fourth");
}

TEST_CASE_METHOD(Fixture, "client: a silent server is given up", "[httpclient]")
{
  mClient.SetTimeouts({ 5s, 5s, 50ms });
  AddScript({ "", false, true });
  CHECK(Get().mOutcome == Outcome::Broken);
  AddScript({ Sound("after") });
  mClient.SetTimeouts({ 5s, 5s, 5s });
  CHECK(Get().mBody == "after");
}

TEST_CASE("client: bytes that come one at a time do not outlast the call", "[httpclient]")
{
  constexpr int kBytes = 300;
  boost::asio::io_context io(1);
  boost::asio::ip::tcp::acceptor acceptor(io,
                                          { boost::asio::ip::address_v4::loopback(), 0 });
  std::jthread server([&] {
    boost::system::error_code ec;
    auto socket = acceptor.accept();
    std::string bytes = kOk + "Content-Length: " + std::to_string(kBytes) + "\r\n\r\n";
    for (int it = 0; it <= kBytes && !ec; ++it) {
      boost::asio::write(socket, boost::asio::buffer(bytes), ec);
      bytes = "x";
      std::this_thread::sleep_for(5ms);
    }
  });
  const std::string url =
    "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  httpclient::Client client(url, { 5s, 5s, 5s, 200ms });
  CHECK(client.Call({}).mOutcome == Outcome::Broken);
}

TEST_CASE("client: a call without a connection is not sent", "[httpclient]")
{
  boost::asio::io_context io;
  std::uint16_t port = 0;
  {
    const boost::asio::ip::tcp::acceptor acceptor(
      io, { boost::asio::ip::address_v4::loopback(), 0 });
    port = acceptor.local_endpoint().port();
  }
  const std::string url = GENERATE_COPY("http://127.0.0.1:" + std::to_string(port),
                                        "http://localhost:" + std::to_string(port),
                                        std::string("nonsense"));
  httpclient::Client client(url, { 5s, 5s, 5s });
  CHECK(client.Call({}).mOutcome == Outcome::Unreachable);
  CHECK(client.Call({}).mOutcome == Outcome::Unreachable);
}

TEST_CASE_METHOD(Fixture,
                 "client: without descriptors a call is unreachable, and ends no process",
                 "[httpclient]")
{
  AddScript({ Sound("answer") });
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  const rlimit none{ 0, limit.rlim_max };
  setrlimit(RLIMIT_NOFILE, &none);
  std::optional<httpclient::Client> client;
  std::optional<Outcome> outcome;
  try {
    client.emplace(mUrl, httpclient::Timeouts{ 5s, 5s, 5s });
    outcome = client->Call({}).mOutcome;
  } catch (const std::exception&) {
  }
  setrlimit(RLIMIT_NOFILE, &limit);
  REQUIRE(outcome);
  CHECK(*outcome == Outcome::Unreachable);
  CHECK(client->Call({}).mBody == "answer");
}

TEST_CASE_METHOD(Fixture, "client: a host name is resolved", "[httpclient]")
{
  httpclient::Client client("http://localhost:" + std::to_string(mPort), { 5s, 5s, 5s });
  AddScript({ Sound("answer") });
  CHECK(client.Call({}).mBody == "answer");
}

TEST_CASE_METHOD(Fixture,
                 "client: a server without TLS is unreachable over it",
                 "[httpclient]")
{
  httpclient::Client client("https://127.0.0.1:" + std::to_string(mPort), { 5s, 5s, 5s });
  CHECK(client.Call({}).mOutcome == Outcome::Unreachable);
  CHECK(Requests().empty());
}

TEST_CASE_METHOD(Fixture,
                 "client: a stop request ends the call and no later one",
                 "[httpclient]")
{
  AddScript({ "", false, true });
  std::stop_source stop;
  SECTION("before the call")
  {
    stop.request_stop();
    CHECK(mClient.Call({}, {}, stop.get_token()).mOutcome == Outcome::Unreachable);
    CHECK(Requests().empty());
  }
  SECTION("during the call")
  {
    std::jthread stopper([&] {
      while (Requests().empty()) {
        std::this_thread::sleep_for(1ms);
      }
      stop.request_stop();
    });
    CHECK(mClient.Call({}, {}, stop.get_token()).mOutcome == Outcome::Broken);
    AddScript({ Sound("after") });
    CHECK(Get().mBody == "after");
  }
  SECTION("by one of the handlers")
  {
    httpclient::ResponseHandlers handlers;
    handlers.mOnPart = [&](std::string_view) { stop.request_stop(); };
    AddScript({ Sound("during") });
    AddScript({ Sound("after") });
    httpclient::Client client(mUrl, { 5s, 5s, 50ms });
    CHECK(client.Call({}).mOutcome == Outcome::Broken);
    client.Call({}, handlers, stop.get_token());
    CHECK(client.Call({}).mBody == "after");
  }
}
