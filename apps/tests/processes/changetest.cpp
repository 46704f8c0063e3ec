#include <thread>

#include <catch2/catch.hpp>

#include "apps/tests/processes/deployment.hpp"
#include "apps/tests/processes/load.hpp"

namespace samphiresail::tests {

namespace {

/// Bound of the brief for a key, an availability zone or an endpoint that leaves.
constexpr std::chrono::seconds kBound{ 5 };

std::vector<std::uint16_t> AllEntries(const Deployment& aDeployment)
{
  return { aDeployment.EntryPort(1), aDeployment.EntryPort(2), aDeployment.EntryPort(3) };
}

}

TEST_CASE("zone: an availability zone taken out gets no new work until it is back",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "load");
  Load load(AllEntries(deployment), key, {});
  load.AwaitMore(20);
  CHECK(deployment.Operate({ "zone", "out", "zone-a" }).mStatus == 0);
  std::this_thread::sleep_for(kBound);
  const auto out = deployment.EngineExecutions(1);
  load.AwaitMore(60);
  CHECK(deployment.EngineExecutions(1) == out);

  CHECK(deployment.Operate({ "zone", "in", "zone-a" }).mStatus == 0);
  CHECK(Eventually([&] { return deployment.EngineExecutions(1) > out; }));
  const auto requests = load.Stop();
  CHECK_THAT(DescribeFailures(requests), Catch::Equals(""));
  deployment.CheckStandIns();
}

TEST_CASE("leaving: an endpoint on a VM that leaves gets no new work",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "load");
  Load load(AllEntries(deployment), key, {});
  load.AwaitMore(20);
  deployment.Tell("vms",
                  "/vms",
                  { { "vms",
                      { { { "name", "vm-engine-2" },
                          { "availability_zone", "zone-b" },
                          { "state", "leaving" } } } } });
  std::this_thread::sleep_for(kBound);
  const auto left = deployment.EngineExecutions(2);
  load.AwaitMore(60);
  CHECK(deployment.EngineExecutions(2) == left);
  const auto requests = load.Stop();
  CHECK_THAT(DescribeFailures(requests), Catch::Equals(""));
  deployment.CheckStandIns();
}

TEST_CASE("keys: a key withdrawn from a connected caller stops at every entry",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "withdrawn");
  std::vector<std::unique_ptr<Caller>> callers;
  const ChatRequest request{ .mPrompt = "connected" };
  for (const auto port : AllEntries(deployment)) {
    callers.push_back(std::make_unique<Caller>(port, key));
    REQUIRE(Eventually([&] { return IsWhole(callers.back()->Chat(request), request); }));
  }
  CHECK(deployment.Operate({ "keys", "withdraw", "withdrawn" }).mStatus == 0);
  std::this_thread::sleep_for(kBound);
  const auto executions = deployment.EngineExecutions();
  for (const auto& caller : callers) {
    const auto reply = caller->Chat(request);
    CHECK(reply.mStatus == 401);
    CHECK(reply.mOutcome == "not_run");
  }
  CHECK(deployment.EngineExecutions() == executions);
  deployment.CheckStandIns();
}

TEST_CASE("keys: a running stream ends soon after its key is withdrawn",
          "[must-hold][processes]")
{
  Deployment deployment(
    { .mEngineFlags = { "--token-us", "100000", "--answer-tokens", "400" } });
  const auto key = deployment.IssueKey("depot-north", "withdrawn");
  const ChatRequest request{ .mPrompt = "long", .mTokens = 200 };
  ChatReply reply;
  std::string text;
  std::mutex mutex;
  std::jthread stream([&] {
    Caller caller(deployment.EntryPort(1), key);
    REQUIRE(Eventually([&] {
      reply = caller.Stream(request, [&](const std::string& aText) {
        const std::lock_guard lock(mutex);
        text = aText;
      });
      return reply.mStatus == 200;
    }));
  });
  CHECK(Eventually([&] {
    const std::lock_guard lock(mutex);
    return !text.empty();
  }));
  CHECK(deployment.Operate({ "keys", "withdraw", "withdrawn" }).mStatus == 0);
  stream.join();
  CHECK_FALSE(reply.mEnded);
  CHECK(reply.mError == "key_withdrawn");
  CHECK(ExpectedText(request).starts_with(reply.mText));
  CHECK(reply.mText.size() < ExpectedText(request).size());
  deployment.CheckStandIns();
}

TEST_CASE("rate: all entries together stay within rate and burst of an account",
          "[must-hold][processes]")
{
  Deployment deployment(
    { .mEngineFlags = { "--token-us", "0", "--answer-tokens", "400" } });
  const auto key = deployment.IssueKey("depot-north", "excess");
  constexpr double kRate = 20000.0;
  constexpr double kBurst = 60000.0;
  const auto begin = std::chrono::steady_clock::now();
  Load load(AllEntries(deployment), key, { .mCallers = 12, .mTokens = 400 });
  std::this_thread::sleep_for(kBound);
  const auto requests = load.Stop();
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  double tokens = 0.0;
  std::size_t refused = 0;
  for (const auto& [request, reply] : requests) {
    tokens += static_cast<double>(reply.mTokens);
    refused += static_cast<std::size_t>(reply.mStatus == 429);
  }
  CHECK(refused > 0);
  CHECK(tokens > kRate);
  CHECK(tokens <= kBurst + kRate * elapsed.count());
  deployment.CheckStandIns();
}

}
