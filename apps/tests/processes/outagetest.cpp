#include <csignal>
#include <thread>

#include <catch2/catch.hpp>

#include "apps/tests/processes/deployment.hpp"
#include "apps/tests/processes/load.hpp"

namespace samphiresail::tests {

namespace {

/// Longer than the in-touch limit by several times.
constexpr std::chrono::seconds kLongOutage{ 10 };

}

TEST_CASE("reachable: a long outage of the store stops nobody who sees a majority",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "load");
  Caller caller(deployment.EntryPort(1), key);
  const ChatRequest request{ .mPrompt = "before" };
  REQUIRE(Eventually([&] { return IsWhole(caller.Chat(request), request); }));

  deployment.Tell("store", "/faults", { { "down", true } });
  std::this_thread::sleep_for(kLongOutage);
  {
    Load load(
      { deployment.EntryPort(1), deployment.EntryPort(2), deployment.EntryPort(3) },
      key,
      {});
    load.AwaitMore(60);
    const auto requests = load.Stop();
    CHECK(requests.size() >= 60);
    CHECK_THAT(DescribeFailures(requests), Catch::Equals(""));
  }
  // One of three entries may go as well.
  deployment.Process("entry-3").Kill();
  std::this_thread::sleep_for(kLongOutage / 2);
  for (std::size_t it = 1; it <= 2; ++it) {
    Caller remaining(deployment.EntryPort(it), key);
    CHECK(IsWhole(remaining.Chat(request), request));
  }
  // Without store and majority nothing that needs a key is served.
  deployment.Process("entry-2").Kill();
  std::this_thread::sleep_for(kLongOutage / 2);
  const auto executions = deployment.EngineExecutions();
  const auto refused = caller.Chat(request);
  CHECK(refused.mError == "not_in_touch");
  CHECK(refused.mOutcome == "not_run");
  CHECK(deployment.EngineExecutions() == executions);

  deployment.Tell("store", "/faults", { { "down", false } });
  CHECK(Eventually([&] { return IsWhole(caller.Chat(request), request); }));
  deployment.CheckStandIns();
}

TEST_CASE("whole-answer: killed agents cost no answer that was begun",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "load");
  const bool stream = GENERATE(false, true);
  Load load({ deployment.EntryPort(1), deployment.EntryPort(2) },
            key,
            { .mTokens = 60, .mStream = stream });
  load.AwaitMore(12);
  deployment.Process("engine-1").Kill();
  load.AwaitMore(12);
  deployment.Process("entry-3").Kill();
  load.AwaitMore(12);
  deployment.Restart("engine-1");
  deployment.Process("engine-2").Kill();
  load.AwaitMore(12);

  const auto requests = load.Stop();
  CHECK(requests.size() >= 48);
  // A killed agent leaves the others short of room, so that some callers may be refused;
  // a refusal must be true, and every other answer whole.
  const auto executed = deployment.ExecutedPrompts();
  std::size_t refused = 0;
  for (const auto& [request, reply] : requests) {
    CAPTURE(request.mPrompt, reply.mStatus, reply.mError, reply.mOutcome);
    if (reply.mOutcome == "not_run") {
      ++refused;
      CHECK_FALSE(executed.contains(PromptDigest(request)));
    } else {
      CHECK(IsWhole(reply, request));
    }
  }
  CHECK(refused * 4 < requests.size());
  deployment.CheckStandIns();
}

TEST_CASE("keys: an entry that was paused does not run old decisions",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "paused");
  Caller before(deployment.EntryPort(1), key);
  const ChatRequest request{ .mPrompt = "before" };
  REQUIRE(Eventually([&] { return IsWhole(before.Chat(request), request); }));

  deployment.Process("entry-1").Pause();
  std::vector<ChatReply> replies(4);
  std::vector<std::jthread> callers;
  callers.reserve(replies.size());
  for (auto& reply : replies) {
    callers.emplace_back([&] {
      reply =
        Caller(deployment.EntryPort(1), key).Chat({ .mPrompt = "sent while paused" });
    });
  }
  CHECK(deployment.Operate({ "keys", "withdraw", "paused" }).mStatus == 0);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  const auto executions = deployment.EngineExecutions();
  deployment.Process("entry-1").Signal(SIGCONT);
  callers.clear();

  for (const auto& reply : replies) {
    CHECK(reply.mStatus != 200);
    CHECK(reply.mOutcome == "not_run");
  }
  CHECK(deployment.EngineExecutions() == executions);
  deployment.CheckStandIns();
}

TEST_CASE("whole-answer: a paused agent costs no answer", "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "load");
  Load load({ deployment.EntryPort(1), deployment.EntryPort(2), deployment.EntryPort(3) },
            key,
            { .mTokens = 60, .mStream = GENERATE(false, true) });
  load.AwaitMore(12);
  deployment.Process("engine-1").Pause();
  load.AwaitMore(12);
  deployment.Process("engine-1").Signal(SIGCONT);
  load.AwaitMore(12);

  const auto requests = load.Stop();
  CHECK(requests.size() >= 36);
  CHECK_THAT(DescribeFailures(requests), Catch::Equals(""));
  deployment.CheckStandIns();
}

}
