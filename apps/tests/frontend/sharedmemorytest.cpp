#include <list>

#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;
using limits::ByteBudget;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kLargeBody = 3U << 20U;
/// Part of an event that has to wait while memory is short.
constexpr std::size_t kLargePart = 2 * ByteBudget::kSmallShare;
/// The largest that a scripted endpoint reads.
constexpr std::size_t kBodyForEndpoint = 900U << 10U;

std::string PostWithBody(std::size_t aLength)
{
  return "POST /once/1" + std::string(kCommon) +
         "Content-Length: " + std::to_string(aLength) + "\r\n\r\n" +
         std::string(aLength, 'x');
}

}

// The bodies of all callers together took an entry over its memory.
TEST_CASE_METHOD(Fixture,
                 "memory: a body without room is refused unread, and its caller told",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ ResponseWithDigest("r1", "done") });
  ByteBudget::Share others(mRequestBytes);
  REQUIRE(others.Grow(kMemoryOfBudget) == ByteBudget::Outcome::Granted);
  SECTION("if it is large")
  {
    const std::string response =
      Call(PostWithBody(kLargeBody), [](const auto&) { return false; });
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(Contains(response, "Retry-After: 1.000"));
    CHECK(Contains(response, "Attempt-Id: r1"));
    CHECK(endpoint.Requests().empty());
    CHECK(Contains(MetricsText(), "samphiresail_requests_without_memory_total 1"));
  }
  SECTION("but not if it is small")
  {
    CHECK(Call(PostWithBody(4000), HasHeadAndBody).ends_with("done"));
  }
  SECTION("nor if there is room in a moment")
  {
    RunAfter(milliseconds(300), [&] { others.Release(); });
    CHECK(Call(PostWithBody(kBodyForEndpoint), HasHeadAndBody).ends_with("done"));
  }
  RunFor(milliseconds(50));
  CHECK(mRequestBytes.Used() <= kMemoryOfBudget);
}

TEST_CASE_METHOD(Fixture,
                 "memory: a response without room waits at its endpoint",
                 "[frontend]")
{
  StartTicks();
  const std::string body(kLargeBody, 'y');
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ ResponseWithDigest("r1", body) });
  ByteBudget::Share others(mResponseBytes);
  REQUIRE(others.Grow(kMemoryOfBudget) == ByteBudget::Outcome::Granted);
  RunAfter(milliseconds(3000), [&] { others.Release(); });
  CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with(body));
  CHECK(others.Size() == 0);
  RunFor(milliseconds(50));
  CHECK(mResponseBytes.Used() == 0);
  CHECK(endpoint.Requests().size() == 1);
}

// The endpoint of a response that this entry cannot hold counted as one that fails.
TEST_CASE_METHOD(Fixture,
                 "memory: a response that is given up says nothing of its endpoint",
                 "[frontend]")
{
  StartTicks();
  AddEndpoint("e1").AddScript(
    { "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      Chunk(std::string(kLargeBody, 'y')) + "0\r\n\r\n" });
  std::list<ByteBudget::Share> others;
  for (int i = 0; i < 25; ++i) {
    REQUIRE(others.emplace_back(mResponseBytes).Grow(1'900'000) ==
            ByteBudget::Outcome::Granted);
  }
  const std::string response = Call(Post("/once/1"), HasHeadAndBody);
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK(Contains(response, "no memory to hold the response"));
  RunFor(milliseconds(50));
  CHECK(Contains(MetricsText(), "samphiresail_responses_without_memory_total 1"));
  const gateway::Endpoint* endpoint = mControl.mDirectory.Find(ids::EndpointId("e1"));
  REQUIRE(endpoint != nullptr);
  CHECK(endpoint->mFailureFraction == 0.0);
}

// While a part of an event waited for memory, the time of a silent stream was taken away.
TEST_CASE_METHOD(Fixture,
                 "memory: a stream that has waited for memory is still resumed if silent",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint::Script script{ StreamHead() + Chunk("id: 1\ndata: a\n\n") };
  script.mLater = { { milliseconds(200), Chunk(std::string(kLargePart, 'x')) },
                    { milliseconds(60000), "0\r\n\r\n" } };
  AddEndpoint("e1").AddScript(script);
  ScriptedEndpoint& second = AddEndpoint("e2", "z2");
  second.AddScript({ StreamHead() + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" });
  ByteBudget::Share others(mResponseBytes);
  REQUIRE(others.Grow(kMemoryOfBudget) == ByteBudget::Outcome::Granted);
  RunAfter(milliseconds(600), [&] { others.Release(); });
  const std::string response = Call(Post("/stream/1"), HasLastChunk);
  CHECK(response.ends_with(Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"));
  CHECK(second.Requests().size() == 1);
}

// Each connection kept up to 64 KiB that could not be parsed yet, and nothing bounded
// their sum: a few thousand callers with half a line took an entry over its memory.
TEST_CASE_METHOD(Fixture,
                 "memory: the buffers of all connections keep within their part",
                 "[frontend]")
{
  StartTicks();
  ScriptedEndpoint& endpoint = AddEndpoint("e1");
  endpoint.AddScript({ ResponseWithDigest("r1", "done") });
  const std::size_t before = mConnectionBytes.Used();
  REQUIRE(mConnectionBytes.TryTake(kMemoryOfBudget - before, 0));
  SECTION("so that a long head is refused")
  {
    const std::string response = Call("GET /safe/1" + std::string(kCommon) +
                                        "X: " + std::string(9000, 'x') + "\r\n\r\n",
                                      HasHeadAndBody);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(Contains(response, "Retry-After: 1.000"));
    CHECK(endpoint.Requests().empty());
  }
  SECTION("so that a long size line is refused")
  {
    const std::string response =
      Call("POST /once/1" + std::string(kCommon) +
             "Transfer-Encoding: chunked\r\n\r\n5;" + std::string(9000, 'x'),
           HasHeadAndBody);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(Contains(response, "Attempt-Id: r1"));
  }
  SECTION("so that a long head of an endpoint ends its attempt")
  {
    ScriptedEndpoint& other = AddEndpoint("e2");
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nX: ";
    other.AddScript({ head + std::string(9000, 'x') + "\r\nContent-Length: 0\r\n\r\n" });
    mControl.mDirectory.Remove(ids::EndpointId("e1"), false, Now());
    const std::string response = Call(Post("/once/1"), HasHeadAndBody);
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(Contains(response, "no memory to hold the response"));
  }
  SECTION("and usual messages pass")
  {
    CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("done"));
  }
  CHECK(mConnectionBytes.Used() < kMemoryOfBudget + 100'000);
}

TEST_CASE("memory: an empty buffer of a connection gives back what is not small",
          "[frontend]")
{
  ByteBudget budget(1U << 20U);
  frontend::ConnectionBuffer buffer{ limits::BudgetAllocator<char>(budget) };
  buffer.prepare(20000);
  buffer.commit(20000);
  frontend::ShrinkIfEmpty(buffer);
  CHECK(budget.Used() >= 20000);
  buffer.consume(20000);
  frontend::ShrinkIfEmpty(buffer);
  CHECK(budget.Used() == 0);
}
