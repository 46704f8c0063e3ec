#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;
using limits::ByteBudget;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kLargeBody = 3U << 20U;
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
  RunFor(milliseconds(50));
  CHECK(mResponseBytes.Used() == 0);
  CHECK(endpoint.Requests().size() == 1);
}
