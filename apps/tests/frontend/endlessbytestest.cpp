#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;

namespace {

/// More bytes than the buffers of two sockets take; stands for bytes without end.
constexpr std::size_t kEndless = 48U << 20U;
/// Bytes that the buffers of two sockets take on top of what the entry reads.
constexpr std::size_t kMostTaken = 24U << 20U;

/// Repeats the text up to kEndless bytes.
std::string WithoutEnd(const std::string& aText)
{
  std::string bytes;
  bytes.reserve(kEndless + aText.size());
  while (bytes.size() < kEndless) {
    bytes.append(aText);
  }
  return bytes;
}

std::string ChunkedHead(const std::string& aRequestId)
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + aRequestId +
         "\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

}

// An entry kept the size line of a chunk, or a trailer, however long it was, exceeded its
// memory and was killed with the requests of all its callers.
TEST_CASE_METHOD(Fixture,
                 "forward: bytes without end of an endpoint are not kept",
                 "[frontend]")
{
  StartTicks();
  const std::string path = GENERATE("/once/1", "/stream/1");
  const std::string request = GENERATE("r1", "r0");
  const std::string head = ChunkedHead(request);
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  std::string bytes;
  SECTION("in the size line of the first chunk")
  {
    bytes = head + "5;" + WithoutEnd("x");
  }
  SECTION("in the size line of a later chunk")
  {
    bytes = head + Chunk("id: 1\ndata: a\n\n") + "5;" + WithoutEnd("x");
  }
  SECTION("in the size line of the last chunk")
  {
    bytes = head + "0;" + WithoutEnd("x");
  }
  SECTION("in one line of the trailer")
  {
    bytes = head + "0\r\nX: " + WithoutEnd("x");
  }
  SECTION("in many lines of the trailer")
  {
    bytes = head + "0\r\n" + WithoutEnd("X: y\r\n");
  }
  SECTION("in the head")
  {
    bytes = "HTTP/1.1 200 OK\r\nX: " + WithoutEnd("x");
  }
  SECTION("in interim heads")
  {
    bytes = WithoutEnd("HTTP/1.1 100 Continue\r\n\r\n");
  }
  SECTION("in empty lines")
  {
    bytes = WithoutEnd("\r\n");
  }
  endpoint.AddScript({ bytes });
  const std::string response = Call(Post(path), EndsCall);
  const bool streamBegan = response.starts_with("HTTP/1.1 200");
  CHECK((response.starts_with("HTTP/1.1 502") || streamBegan));
  CHECK_FALSE(HasLastChunk(response));
  RunFor(std::chrono::milliseconds(50));
  CHECK(endpoint.BytesSent() < kMostTaken);
}

TEST_CASE_METHOD(Fixture,
                 "forward: the framing of chunks counts as part of a held response",
                 "[frontend]")
{
  StartTicks();
  const std::string request = GENERATE("r1", "r0");
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  const std::string extension(4000, 'x');
  endpoint.AddScript(
    { ChunkedHead(request) + WithoutEnd("1;" + extension + "\r\ny\r\n") });
  CHECK(Call(Post("/once/1"), EndsCall).starts_with("HTTP/1.1 502"));
  RunFor(std::chrono::milliseconds(50));
  CHECK(endpoint.BytesSent() < kMostTaken);
}
