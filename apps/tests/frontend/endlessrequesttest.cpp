#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend;
using namespace samphiresail::frontend::testing;
using std::chrono::milliseconds;

namespace {

/// More bytes than the buffers of two sockets take; stands for bytes without end.
constexpr std::size_t kEndless = 48U << 20U;
/// Bytes that the buffers of two sockets take on top of what the entry reads.
constexpr std::size_t kMostTaken = 24U << 20U;

/// A body for which there is memory, but that takes longer than its caller waits.
constexpr std::size_t kSlowBody = 24U << 20U;

std::string ChunkedPost()
{
  return "POST /once/1" + std::string(kCommon) + "Transfer-Encoding: chunked\r\n\r\n";
}

/// Sends the bytes and returns how many of them the system took before the entry closed
/// the connection.
std::size_t SendUntilClosed(Fixture& aFixture, const std::string& aBytes)
{
  std::size_t sent = 0;
  bool done = false;
  const auto caller = [&]() -> asio::awaitable<void> {
    ErrorCode ec;
    tcp::socket socket(aFixture.mIo);
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), aFixture.Port());
    co_await socket.async_connect(endpoint, RedirectError(ec));
    sent = co_await asio::async_write(socket, asio::buffer(aBytes), RedirectError(ec));
    done = true;
  };
  asio::co_spawn(aFixture.mIo, caller, asio::detached);
  while (!done) {
    aFixture.mIo.run_one();
  }
  return sent;
}

}

// Any caller could fill an entry's memory with the framing of a body, so that the entry
// was killed with the requests of all its callers.
TEST_CASE_METHOD(Fixture, "caller: bytes without end are not kept", "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  std::string bytes;
  SECTION("in the size line of a chunk")
  {
    bytes = ChunkedPost() + "5;" + std::string(kEndless, 'x');
  }
  SECTION("in the size line of a later chunk")
  {
    bytes = ChunkedPost() + Chunk("body") + "5;" + std::string(kEndless, 'x');
  }
  SECTION("in the trailer")
  {
    bytes = ChunkedPost() + Chunk("body") + "0\r\nX: " + std::string(kEndless, 'x');
  }
  SECTION("in the head")
  {
    bytes = "POST /once/1 HTTP/1.1\r\nX: " + std::string(kEndless, 'x');
  }
  SECTION("in the target")
  {
    bytes = "POST /" + std::string(kEndless, 'x');
  }
  SECTION("in the body")
  {
    bytes = ChunkedPost() + Chunk(std::string(kEndless, 'x'));
  }
  CHECK(SendUntilClosed(*this, bytes) < kMostTaken);
  CHECK(endpoint.Requests().empty());
  CHECK(Contains(MetricsText(), "samphiresail_refusals_total 1"));
}

// A cancelled read that had just completed went on, and nothing ended it any more.
TEST_CASE_METHOD(Fixture,
                 "caller: a body that always has more bytes is ended at its time",
                 "[frontend]")
{
  StartTicks();
  ChangeConfiguration([](gateway::ServingConfiguration& aConfiguration) {
    aConfiguration.mLimits.mMaxBodyBytes = 1U << 30U;
  });
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ ResponseWithDigest("r1", "done") });
  const std::size_t rest = 4;
  const std::string head =
    "POST /once/1" + std::string(kCommon) +
    "Deadline-Ms: 60\r\nContent-Length: " + std::to_string(kSlowBody + rest) + "\r\n\r\n";
  const std::string response =
    CallInParts({ { milliseconds(0), head + std::string(kSlowBody, 'x') },
                  { milliseconds(8000), std::string(rest, 'x') } },
                [](const std::string&) { return false; });
  CHECK(response.starts_with("HTTP/1.1 408"));
  CHECK(endpoint.Requests().empty());
}
