#include <catch2/catch.hpp>

#include "apps/tests/processes/caller.hpp"
#include "apps/tests/processes/deployment.hpp"

namespace samphiresail::tests {

namespace {

constexpr int kCreated = 201;

/// Begin of an answer that breaks the grammar of HTTP, up to its first fields.
std::string MalformedHead()
{
  return GENERATE("HTTP/1.1 000 OK\r\n",
                  "HTTP/1.1 999 OK\r\n",
                  "HTTP/1.1 200 OK\r\nX Y: z\r\n",
                  "HTTP/1.1 200 OK\r\nX\x01Y: z\r\n",
                  "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
                  "HTTP/1.1 200 OK\r\nX: y\x01z\r\n");
}

std::string Answer(const std::string& aHead)
{
  return aHead + "Content-Type: application/json\r\nContent-Length: 9\r\n\r\n\"foreign\"";
}

}

// A status of 000, or a name of a field with a blank or a control byte, was taken for
// that of an answer; a length with a blank before its colon was overlooked.
TEST_CASE("malformed answer: an action runs once, and its outcome is unknown",
          "[must-hold][processes]")
{
  Deployment deployment({ .mEngines = 1 });
  const auto key = deployment.IssueKey("depot-north", "booking");
  const nlohmann::json body{ { "dock", 7 } };
  const std::string head = MalformedHead();
  INFO(head);
  deployment.Tell(
    "service",
    "/raw-answers",
    { { "path", "bookings" }, { "bytes", Answer(head) }, { "count", 100 } });
  Caller caller(deployment.EntryPort(1), key);
  for (int it = 0; it < 2; ++it) {
    const auto reply = caller.Post("/booking/bookings", "dock-7", body);
    CHECK(reply.mStatus >= 500);
    CHECK(reply.mOutcome == "unknown");
    CHECK(reply.mBody.find("foreign") == std::string::npos);
  }
  CHECK(deployment.ServiceExecutions(body) == 1);
  deployment.Tell(
    "service", "/raw-answers", { { "path", "" }, { "bytes", "" }, { "count", 0 } });
  CHECK(caller.Post("/booking/bookings", "dock-8", { { "dock", 8 } }).mStatus ==
        kCreated);
  deployment.CheckStandIns();
}

// An answer without a length that came before a long call was read, and then broke off,
// was taken for a whole one.
TEST_CASE("truncated answer: the outcome of a long action is unknown",
          "[must-hold][processes]")
{
  Deployment deployment({ .mEngines = 1 });
  const auto key = deployment.IssueKey("depot-north", "booking");
  const nlohmann::json body{ { "dock", 7 }, { "note", std::string(600'000, 'x') } };
  deployment.Tell("service",
                  "/raw-answers",
                  { { "path", "bookings" },
                    { "bytes", "HTTP/1.1 201 Created\r\n\r\n\"foreign\"" },
                    { "count", 1 },
                    { "before_body", true } });
  Caller caller(deployment.EntryPort(1), key);
  for (int it = 0; it < 2; ++it) {
    const auto reply = caller.Post("/booking/bookings", "dock-7", body);
    CHECK(reply.mStatus >= 500);
    CHECK(reply.mOutcome == "unknown");
    CHECK(reply.mBody.find("foreign") == std::string::npos);
  }
  CHECK(deployment.ServiceExecutions(body) == 0);
  CHECK(caller.Post("/booking/bookings", "dock-8", { { "dock", 8 } }).mStatus ==
        kCreated);
  deployment.CheckStandIns();
}

TEST_CASE("malformed answer: a generation is run at another engine",
          "[must-hold][processes]")
{
  Deployment deployment({ .mEngines = 2 });
  const auto key = deployment.IssueKey("depot-north", "chat");
  const std::string head = MalformedHead();
  INFO(head);
  deployment.Tell(
    "backend-1",
    "/raw-answers",
    { { "path", "completions" }, { "bytes", Answer(head) }, { "count", 1000 } });
  const auto before = deployment.EngineExecutions(1);
  Caller caller(deployment.EntryPort(1), key);
  for (int it = 0; it < 10; ++it) {
    const ChatRequest request{ .mPrompt = "pallets " + std::to_string(it) };
    const auto whole = caller.Chat(request);
    CHECK(IsWhole(whole, request));
    CHECK(whole.mStatus == 200);
    CHECK(IsWhole(caller.Stream(request), request));
  }
  CHECK(deployment.EngineExecutions(1) > before);
}

}
