#include <array>
#include <deque>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "components/frontend/listener.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend;
using namespace std::chrono_literals;

namespace {

/// More bytes than the buffers of two sockets take; stands for bytes without end.
constexpr std::size_t kEndless = 48U << 20U;
constexpr std::size_t kMostTaken = 24U << 20U;

struct StatusFixture
{
  StatusFixture() { mListener.Start(); }

  static std::uint16_t FreePort(asio::io_context& aIo)
  {
    const tcp::acceptor acceptor(aIo, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint().port();
  }

  tcp::socket& Connect()
  {
    tcp::socket& socket = mCallers.emplace_back(mIo);
    socket.connect({ asio::ip::address_v4::loopback(), mPort });
    Run();
    return socket;
  }

  /// Runs what is ready.
  void Run() { mIo.run_for(20ms); }

  void Pass(timing::Duration aTime)
  {
    mClock.Advance(aTime);
    mListener.Tick(mClock.Now());
    Run();
  }

  /// Sends a request and returns true if it is answered.
  bool IsAnswered(tcp::socket& aSocket)
  {
    constexpr std::string_view kRequest = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
    ErrorCode ec;
    asio::write(aSocket, asio::buffer(kRequest.data(), kRequest.size()), ec);
    Run();
    std::array<char, 512> bytes{};
    aSocket.non_blocking(true, ec);
    const std::size_t n = aSocket.read_some(asio::buffer(bytes), ec);
    return std::string_view(bytes.data(), n).ends_with("ready");
  }

  asio::io_context mIo{ 1 };
  timing::ManualClock mClock;
  std::ostringstream mLog;
  logging::Logger mLogger{ "test", logging::Level::Info, mLog };
  /// The status cannot be given.
  bool mFails{ false };
  std::uint16_t mPort{ FreePort(mIo) };
  StatusListener mListener{ mIo,
                            mClock,
                            mLogger,
                            settings::SocketAddress{ "127.0.0.1", mPort },
                            [this](std::string_view) {
                              if (mFails) {
                                throw std::runtime_error("no status");
                              }
                              return StatusListener::Response{ 200, "ready" };
                            } };
  std::deque<tcp::socket> mCallers;
};

}

// The ready and metrics ports kept whatever was sent to them, without a limit of time.
TEST_CASE_METHOD(StatusFixture, "status: bytes without end are not kept", "[frontend]")
{
  const std::string chunked = "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string begin =
    GENERATE_COPY(chunked + "5;", chunked + "0\r\nX: ", std::string("GET /"));
  const std::string bytes = begin + std::string(kEndless, 'x');
  tcp::socket& caller = Connect();
  std::size_t sent = 0;
  bool done = false;
  const auto send = [&]() -> asio::awaitable<void> {
    ErrorCode ec;
    sent = co_await asio::async_write(caller, asio::buffer(bytes), RedirectError(ec));
    done = true;
  };
  asio::co_spawn(mIo, send, asio::detached);
  while (!done) {
    mIo.run_one();
  }
  Run();
  CHECK(sent < kMostTaken);
  CHECK(mListener.Connections() == 0);
}

TEST_CASE_METHOD(StatusFixture,
                 "status: a connection without a whole request ends in time",
                 "[frontend]")
{
  Connect();
  tcp::socket& dripping = Connect();
  tcp::socket& used = Connect();
  CHECK(mListener.Connections() == 3);
  for (int i = 0; i < 11; ++i) {
    ErrorCode ec;
    asio::write(dripping, asio::buffer("G", 1), ec);
    CHECK(IsAnswered(used));
    Pass(1s);
  }
  CHECK(mListener.Connections() == 1);
  CHECK(IsAnswered(used));
}

TEST_CASE_METHOD(StatusFixture,
                 "status: many connections keep no caller from an answer",
                 "[frontend]")
{
  tcp::socket& used = Connect();
  for (std::size_t i = 0; i < 3 * StatusListener::kMaxConnections; ++i) {
    Connect();
    if (i % 16 == 0) {
      CHECK(IsAnswered(used));
    }
  }
  CHECK(mListener.Connections() <= StatusListener::kMaxConnections);
  CHECK(IsAnswered(used));
  CHECK(IsAnswered(Connect()));
}

// An exception left the coroutine of the connection, which stayed in the list for good.
TEST_CASE_METHOD(StatusFixture,
                 "status: an exception ends its connection, and is logged",
                 "[frontend]")
{
  mFails = true;
  CHECK_FALSE(IsAnswered(Connect()));
  CHECK(mListener.Connections() == 0);
  CHECK(mLog.str().find("no status") != std::string::npos);
  mFails = false;
  CHECK(IsAnswered(Connect()));
}
