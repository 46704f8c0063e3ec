#include <array>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;
using namespace std::chrono_literals;
using frontend::ErrorCode;
using frontend::RedirectError;

namespace {

constexpr auto kGrace = 8000ms;

/// Caller with one connection that it keeps open.
class KeptCaller
{
public:
  explicit KeptCaller(Fixture& aFixture)
    : mSocket(aFixture.mIo)
  {
    mSocket.connect({ frontend::asio::ip::address_v4::loopback(), aFixture.Port() });
    frontend::asio::co_spawn(
      aFixture.mIo, [this] { return Receive(); }, frontend::asio::detached);
  }

  /// Hands bytes to the connection without running anything else.
  void Send(const std::string& aBytes)
  {
    frontend::asio::write(mSocket, frontend::asio::buffer(aBytes));
  }
  const std::string& Received() const { return mReceived; }
  bool Ended() const { return mEnded; }

private:
  frontend::asio::awaitable<void> Receive()
  {
    ErrorCode ec;
    std::array<char, 4096> bytes{};
    while (!ec) {
      const std::size_t n = co_await mSocket.async_read_some(
        frontend::asio::buffer(bytes), RedirectError(ec));
      mReceived.append(bytes.data(), n);
    }
    mEnded = true;
  }

  frontend::tcp::socket mSocket;
  std::string mReceived;
  bool mEnded{ false };
};

struct StopFixture : public Fixture
{
  KeptCaller& Connect()
  {
    mCallers.push_back(std::make_unique<KeptCaller>(*this));
    mIo.run_for(2ms);
    return *mCallers.back();
  }

  std::vector<std::unique_ptr<KeptCaller>> mCallers;
};

bool EndsConnection(const std::string& aResponse)
{
  return Contains(aResponse, "\r\nConnection: close\r\n");
}

}

TEST_CASE_METHOD(StopFixture,
                 "stop: a request that still runs at the end is answered, not cut",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ "", false, true });
  KeptCaller& caller = Connect();
  BeginStop(kGrace);
  CHECK_FALSE(Pass(1000ms));
  caller.Send(Post("/once/1"));
  CHECK(Pass(kGrace));
  mIo.run_for(2ms);
  CHECK(endpoint.Requests().size() == 1);
  CHECK(caller.Received().starts_with("HTTP/1.1 504"));
  CHECK(EndsConnection(caller.Received()));
}

TEST_CASE_METHOD(StopFixture,
                 "stop: what runs when the signal comes is answered, not cut",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ "", false, true });
  KeptCaller& caller = Connect();
  caller.Send(Post("/once/1"));
  CHECK_FALSE(Pass(100ms));
  REQUIRE(Exchanges() == 1);
  BeginStop(kGrace);
  CHECK(Pass(kGrace));
  mIo.run_for(2ms);
  CHECK(caller.Received().starts_with("HTTP/1.1 504"));
}

TEST_CASE_METHOD(StopFixture,
                 "stop: an irreversible request that cannot end in time is not run",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ ResponseWithDigest("r1", "done") });
  KeptCaller& caller = Connect();
  BeginStop(kGrace);
  CHECK_FALSE(Pass(2400ms));
  caller.Send(Post("/slow/1"));
  Pass(400ms, [&] { return HasHeadAndBody(caller.Received()); });
  CHECK(caller.Received().starts_with("HTTP/1.1 503"));
  CHECK(Contains(caller.Received(), "\r\nRetry-After: 0."));
  CHECK(EndsConnection(caller.Received()));
  CHECK(endpoint.Requests().empty());
}

TEST_CASE_METHOD(
  StopFixture,
  "stop: a process that has answered everything ends after the accept time",
  "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ ResponseWithDigest("r1", "done") });
  KeptCaller& caller = Connect();
  CHECK(BeginStop(kGrace));
  CHECK_FALSE(Pass(2000ms));
  caller.Send(Post("/once/1"));
  // Further signals change nothing.
  CHECK_FALSE(BeginStop(20000ms));
  CHECK_FALSE(Pass(880ms));
  CHECK(caller.Received().ends_with("done"));
  CHECK(Pass(200ms));
}

TEST_CASE_METHOD(StopFixture,
                 "stop: a request that is being read keeps the process until its answer",
                 "[frontend]")
{
  KeptCaller& caller = Connect();
  BeginStop(kGrace);
  CHECK_FALSE(Pass(2000ms));
  const std::string request = Post("/once/1");
  caller.Send(request.substr(0, request.size() / 2));
  CHECK_FALSE(Pass(1500ms));
  caller.Send(request.substr(request.size() / 2));
  CHECK_FALSE(Pass(400ms, [&] { return HasHeadAndBody(caller.Received()); }));
  CHECK(caller.Received().starts_with("HTTP/1.1 503"));
  CHECK(Pass(200ms));
}

TEST_CASE_METHOD(StopFixture,
                 "stop: an idle connection is not closed over a request it has received",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ "", false, true });
  KeptCaller& running = Connect();
  KeptCaller& idle = Connect();
  BeginStop(kGrace);
  running.Send(Post("/once/1"));
  CHECK_FALSE(Pass(2000ms));
  Advance(1500ms);
  idle.Send(Get("/safe/1"));
  CHECK_FALSE(Tick());
  CHECK_FALSE(Pass(400ms, [&] { return HasHeadAndBody(idle.Received()); }));
  CHECK(idle.Received().starts_with("HTTP/1.1 503"));
}

TEST_CASE_METHOD(StopFixture,
                 "stop: a connection that is accepted late waits for its request",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ "", false, true });
  KeptCaller& running = Connect();
  BeginStop(kGrace);
  running.Send(Post("/once/1"));
  CHECK_FALSE(Pass(3200ms));
  KeptCaller& late = Connect();
  CHECK_FALSE(Pass(120ms));
  CHECK_FALSE(late.Ended());
  late.Send(Get("/safe/1"));
  CHECK_FALSE(Pass(400ms, [&] { return HasHeadAndBody(late.Received()); }));
  CHECK(late.Received().starts_with("HTTP/1.1 503"));
  // Without a request it is closed.
  KeptCaller& silent = Connect();
  CHECK_FALSE(Pass(1000ms, [&] { return silent.Ended(); }));
  CHECK(silent.Ended());
}

TEST_CASE_METHOD(StopFixture,
                 "stop: an answer after the signal says that its connection ends",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ "", false, false, false, ResponseWithDigest("r1", "done") });
  KeptCaller& caller = Connect();
  caller.Send(Post("/once/1"));
  CHECK_FALSE(Pass(1000ms, [&] { return endpoint.Requests().size() == 1; }));
  REQUIRE(caller.Received().empty());
  BeginStop(kGrace);
  CHECK_FALSE(Pass(2000ms, [&] { return HasHeadAndBody(caller.Received()); }));
  CHECK(caller.Received().ends_with("done"));
  CHECK(EndsConnection(caller.Received()));
}

TEST_CASE_METHOD(StopFixture,
                 "stop: a request sent after a stream that began before is answered",
                 "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ StreamHead() + Chunk("id: 1\ndata: a\n\n"),
                       false,
                       false,
                       false,
                       Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" });
  endpoint.AddScript({ ResponseWithDigest("r1", "next") });
  KeptCaller& caller = Connect();
  caller.Send(Post("/stream/1"));
  CHECK_FALSE(Pass(1000ms, [&] { return Contains(caller.Received(), "data: a"); }));
  BeginStop(kGrace);
  enum class Next
  {
    BeforeEnd,
    AfterEnd,
    Never
  };
  const Next next = GENERATE(Next::BeforeEnd, Next::AfterEnd, Next::Never);
  const bool sendsMore = next != Next::Never;
  if (next == Next::AfterEnd) {
    CHECK_FALSE(Pass(1000ms, [&] { return HasLastChunk(caller.Received()); }));
    CHECK_FALSE(Pass(200ms));
    CHECK_FALSE(caller.Ended());
  }
  if (sendsMore) {
    caller.Send(Post("/once/1"));
  }
  // Without a further request it ends with the other idle connections.
  CHECK_FALSE(Pass(2800ms, [&] { return caller.Ended(); }));
  const std::size_t last = caller.Received().find("0\r\n\r\n");
  REQUIRE(last != std::string::npos);
  CHECK(caller.Ended());
  CHECK(caller.Received().ends_with("next") == sendsMore);
  CHECK(EndsConnection(caller.Received().substr(last)) == sendsMore);
}

// The head of a stream that began before the signal says that the connection is kept. It
// was closed at the stream's end, and the caller's next request was reset.
TEST_CASE_METHOD(
  StopFixture,
  "stop: a stream that ends late leaves time for the caller's next request",
  "[frontend]")
{
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  ScriptedEndpoint::Script script{ StreamHead() + Chunk("id: 1\ndata: a\n\n") };
  script.mLater = { { 4500ms, Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" } };
  endpoint.AddScript(script);
  KeptCaller& caller = Connect();
  caller.Send(Post("/stream/1"));
  CHECK_FALSE(Pass(1000ms, [&] { return Contains(caller.Received(), "data: a"); }));
  BeginStop(kGrace);
  CHECK_FALSE(Pass(6000ms, [&] { return HasLastChunk(caller.Received()); }));
  CHECK_FALSE(Pass(300ms));
  CHECK_FALSE(caller.Ended());
  caller.Send(Post("/once/1"));
  Pass(200ms, [&] { return HasHeadAndBody(caller.Received()); });
  CHECK(Contains(caller.Received(), "HTTP/1.1 503"));
  CHECK(EndsConnection(caller.Received()));
  CHECK(Pass(400ms));
}
