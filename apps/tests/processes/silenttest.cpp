#include <atomic>

#include <catch2/catch.hpp>

#include "apps/tests/processes/deployment.hpp"
#include "apps/tests/processes/load.hpp"

namespace samphiresail::tests {

TEST_CASE("whole-answer: connections to agents that go silent cost no answer",
          "[must-hold][processes]")
{
  Deployment deployment({ .mForwardAgents = true });
  const auto key = deployment.IssueKey("depot-north", "load");
  const bool stream = GENERATE(false, true);

  Load load({ deployment.EntryPort(1), deployment.EntryPort(2), deployment.EntryPort(3) },
            key,
            { .mTokens = 200, .mStream = stream });
  load.AwaitMore(6);
  std::uint64_t silenced = 0;
  for (const auto* name : { "engine-1-forwarder", "engine-2-forwarder" }) {
    silenced += deployment.Tell(name, "/silence", nlohmann::json::object())
                  .at("silenced")
                  .get<std::uint64_t>();
  }
  CHECK(silenced > 0);
  load.AwaitMore(18);

  const auto requests = load.Stop();
  CHECK(requests.size() >= 24);
  CHECK_THAT(DescribeFailures(requests), Catch::Equals(""));
  // An answer is taken up again on a new connection and not generated a second time.
  CHECK(deployment.EngineExecutions() == requests.size() + 3);
  deployment.CheckStandIns();
}

TEST_CASE("keys: a silent connection to the store does not keep a withdrawn key alive",
          "[must-hold][processes]")
{
  Deployment deployment({ .mForwardStore = true });
  const auto key = deployment.IssueKey("depot-north", "withdrawn");
  Caller caller(deployment.EntryPort(1), key);
  const ChatRequest request{ .mPrompt = "before" };
  REQUIRE(Eventually([&] { return IsWhole(caller.Chat(request), request); }));

  const auto silenced =
    deployment.Tell("store-forwarder", "/silence", nlohmann::json::object());
  CHECK(silenced.at("silenced") > 0);
  CHECK(deployment.Operate({ "keys", "withdraw", "withdrawn" }).mStatus == 0);

  REQUIRE(Eventually([&] { return caller.Chat(request).mStatus == 401; }));
  const auto executions = deployment.EngineExecutions();
  CHECK(caller.Chat(request).mStatus == 401);
  CHECK(deployment.EngineExecutions() == executions);
  // The entry has found a new connection: other keys work.
  const auto other = deployment.IssueKey("depot-north", "other");
  Caller served(deployment.EntryPort(1), other);
  CHECK(Eventually([&] { return IsWhole(served.Chat(request), request); }));
  deployment.CheckStandIns();
}

}
