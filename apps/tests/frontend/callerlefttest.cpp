#include <functional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;
using std::chrono::milliseconds;

namespace {

namespace asio = frontend::asio;

enum class Departure
{
  Close,
  Reset,
  /// Closes behind bytes of a next request.
  CloseBehindNext,
};

/// Caller whose calls block, so that it can send and leave before the entry reads.
class BlockingCaller
{
public:
  explicit BlockingCaller(Fixture& aEntry)
    : mSocket(aEntry.mIo)
  {
    mSocket.connect({ asio::ip::address_v4::loopback(), aEntry.Port() });
  }

  void Send(const std::string& aBytes) { asio::write(mSocket, asio::buffer(aBytes)); }
  void Leave(Departure aDeparture)
  {
    if (aDeparture == Departure::CloseBehindNext) {
      // Larger than what the entry reads along with a head.
      Send("POST /once/2" + std::string(kCommon) + "Content-Length: 300000\r\n\r\n" +
           std::string(100000, 'x'));
    } else if (aDeparture == Departure::Reset) {
      mSocket.set_option(asio::socket_base::linger(true, 0));
    }
    mSocket.close();
  }

private:
  frontend::tcp::socket mSocket;
};

/// Fixture with an endpoint e2 of another zone, to which a connection is open already, so
/// that a request is sent to it without a wait.
class WarmFixture : public Fixture
{
public:
  WarmFixture()
    : mSecond(AddEndpoint("e2", "z2"))
  {
    mSecond.AddScript({ ResponseWithDigest("r1", "warm") });
    REQUIRE(Call(Get("/safe/0"), HasHeadAndBody).ends_with("warm"));
    RunFor(milliseconds(5));
    mSecond.AddScript({ ResponseWithDigest("r1", "second") });
  }

  /// Runs a change as soon as the condition holds, before anything that has arrived
  /// meanwhile is read.
  void RunOnce(const std::function<bool()>& aCondition,
               const std::function<void()>& aChange)
  {
    asio::co_spawn(
      mIo,
      [this, aCondition, aChange]() -> asio::awaitable<void> {
        while (!aCondition()) {
          co_await asio::post(mIo, asio::use_awaitable);
        }
        aChange();
      },
      asio::detached);
  }

protected:
  ScriptedEndpoint& mSecond;
};

}

TEST_CASE_METHOD(WarmFixture,
                 "left: a request whose caller left before it was read is not sent",
                 "[frontend]")
{
  // Guards against a close that lies behind its request in the same socket.
  ChangeConfiguration([](gateway::ServingConfiguration& aConfiguration) {
    aConfiguration.mAccounts.front().mTokensPerSecond = 1.0;
    aConfiguration.mAccounts.front().mBurstTokens = 1.0;
  });
  // Fills the account's bucket.
  Advance(milliseconds(1200));
  BlockingCaller caller(*this);
  RunFor(milliseconds(5));
  caller.Send(Get("/safe/1"));
  caller.Leave(GENERATE(Departure::Close, Departure::Reset, Departure::CloseBehindNext));
  RunFor(milliseconds(20));
  CHECK(mSecond.Requests().size() == 1);
  CHECK(Exchanges() == 0);
  // Its tokens were not used.
  CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("second"));
}

TEST_CASE_METHOD(WarmFixture,
                 "left: a request whose caller left while it waited is not sent",
                 "[frontend]")
{
  const timing::Instant now = timing::SystemClock().Now();
  mControl.mDirectory.SetPeersLoad({ { gateway::HashName("e2"), { 100, {}, 0.0 } } },
                                   now);
  BlockingCaller caller(*this);
  caller.Send(Get("/safe/1"));
  RunFor(milliseconds(20));
  REQUIRE(Exchanges() == 1);
  caller.Leave(GENERATE(Departure::Close, Departure::Reset, Departure::CloseBehindNext));
  // The place becomes free before or after the entry reads the close.
  RunFor(GENERATE(milliseconds(0), milliseconds(20)));
  mControl.mDirectory.SetPeersLoad({}, now);
  Tick();
  RunFor(milliseconds(20));
  CHECK(mSecond.Requests().size() == 1);
  CHECK(Exchanges() == 0);
}

TEST_CASE_METHOD(WarmFixture,
                 "left: a request whose caller left during an attempt is not repeated",
                 "[frontend]")
{
  ScriptedEndpoint& first = AddEndpoint("e1");
  std::string request = Get("/safe/1");
  SECTION("after a failure")
  {
    first.AddScript(
      { "HTTP/1.1 500 Error\r\nAttempt-Id: r1\r\nContent-Length: 0\r\n\r\n" });
  }
  SECTION("after a refusal")
  {
    first.AddScript({ "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r1\r\n"
                      "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" });
  }
  SECTION("after a stream that broke off")
  {
    request = Get("/stream/1");
    first.AddScript({ StreamHead() + Chunk("id: 1\ndata: 1\n\n"), true });
  }
  BlockingCaller caller(*this);
  const auto departure =
    GENERATE(Departure::Close, Departure::Reset, Departure::CloseBehindNext);
  RunOnce([&] { return !first.Requests().empty(); }, [&] { caller.Leave(departure); });
  caller.Send(request);
  RunFor(milliseconds(30));
  CHECK(first.Requests().size() == 1);
  CHECK(mSecond.Requests().size() == 1);
  CHECK(Exchanges() == 0);
}

TEST_CASE_METHOD(WarmFixture,
                 "left: no standby is sent for a caller that has left",
                 "[frontend]")
{
  ScriptedEndpoint& first = AddEndpoint("e1");
  first.AddScript({ "", false, true });
  BlockingCaller caller(*this);
  caller.Send(Get("/safe/1"));
  RunFor(milliseconds(20));
  REQUIRE(first.Requests().size() == 1);
  caller.Leave(GENERATE(Departure::Close, Departure::Reset, Departure::CloseBehindNext));
  Advance(milliseconds(2000));
  Tick();
  RunFor(milliseconds(20));
  CHECK(mSecond.Requests().size() == 1);
  CHECK(first.Disconnects() == 1);
  CHECK(Exchanges() == 0);
}

TEST_CASE_METHOD(WarmFixture,
                 "left: a request past its deadline is not repeated before the next tick",
                 "[frontend]")
{
  ScriptedEndpoint& first = AddEndpoint("e1");
  first.AddScript({ "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: r1\r\n"
                    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" });
  RunOnce([&] { return !first.Requests().empty(); },
          [&] { Advance(milliseconds(2000)); });
  const std::string response =
    Call(Get("/safe/1", "Deadline-Ms: 2000\r\n"), HasHeadAndBody);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(mSecond.Requests().size() == 1);
}

TEST_CASE_METHOD(WarmFixture,
                 "left: a request that an entry behind reads late has less time",
                 "[frontend]")
{
  constexpr milliseconds kUnread{ 60 };
  const bool inTime = GENERATE(true, false);
  mLag.ExpectTick(Now() - milliseconds(100));
  BlockingCaller caller(*this);
  caller.Send(
    Get("/safe/1", "Deadline-Ms: " + std::string(inTime ? "9000" : "50") + "\r\n"));
  // The bytes lie in the socket for a time of the operating system.
  std::this_thread::sleep_for(kUnread);
  RunFor(milliseconds(20));
  REQUIRE(mSecond.Requests().size() == (inTime ? 2 : 1));
  CHECK(Contains(Log(), "its time was over before it was read") != inTime);
  if (inTime) {
    const std::string& sent = mSecond.Requests().back();
    const auto at = sent.find("Deadline-Ms: ");
    REQUIRE(at != std::string::npos);
    // The operating system counts in steps of up to 10 ms.
    CHECK(std::stol(sent.substr(at + 13)) <= (milliseconds(9010) - kUnread).count());
  }
}

TEST_CASE_METHOD(WarmFixture,
                 "left: a caller whose next request has arrived is served",
                 "[frontend]")
{
  mSecond.AddScript({ ResponseWithDigest("r1", "third") });
  const std::string response =
    Call(Get("/safe/1") + Get("/safe/2"),
         [](const std::string& aText) { return aText.ends_with("third"); });
  CHECK(Contains(response, "second"));
  CHECK(mSecond.Requests().size() == 3);
}

TEST_CASE_METHOD(Fixture,
                 "behind: many refusals give few lines and one with those left out",
                 "[frontend]")
{
  const bool behind = GENERATE(false, true);
  if (behind) {
    mLag.ExpectTick(Now() - milliseconds(100));
  }
  for (int i = 0; i < 12; ++i) {
    CHECK(Call(Get("/none/1"), HasHeadAndBody).starts_with("HTTP/1.1 404"));
  }
  CHECK(Contains(MetricsText(), "samphiresail_refusals_total 12"));
  Advance(milliseconds(1100));
  Tick();
  CHECK(Contains(Log(), "\"lines\":2,\"reasons\":\"no route matches: 2\"") == behind);
}
