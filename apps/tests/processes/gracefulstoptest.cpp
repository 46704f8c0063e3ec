#include <csignal>

#include <catch2/catch.hpp>

#include "apps/tests/processes/deployment.hpp"
#include "apps/tests/processes/load.hpp"

namespace samphiresail::tests {

namespace {

constexpr std::chrono::seconds kStopLimit{ 30 };

}

TEST_CASE("graceful-stop: an entry that ends under load cuts no request",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "load");
  const bool stream = GENERATE(false, true);
  const auto balanced = "127.0.0.1:" + std::to_string(deployment.EntryPort(1)) +
                        ",127.0.0.1:" + std::to_string(deployment.EntryPort(2));
  ChildProcess balancer(
    { SAMPHIRESAIL_STANDINS "/samphiresail-standin-balancer", "--to", balanced },
    "/dev/null");
  const auto line = balancer.ReadLine(kStopLimit);
  const auto port =
    static_cast<std::uint16_t>(std::stoul(line.substr(line.rfind(' ') + 1)));

  Load load({ port }, key, { .mTokens = 40, .mStream = stream });
  load.AwaitMore(20);
  deployment.Process("entry-1").Signal(SIGTERM);
  const auto status = deployment.Process("entry-1").Wait(kStopLimit);
  load.AwaitMore(20);

  const auto requests = load.Stop();
  CHECK(requests.size() >= 40);
  CHECK_THAT(DescribeFailures(requests), Catch::Equals(""));
  CHECK(status.value_or(-1) == 0);
  deployment.CheckStandIns();
}

TEST_CASE("graceful-stop: an agent that ends under load cuts no request",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "load");
  const bool stream = GENERATE(false, true);

  Load load({ deployment.EntryPort(1), deployment.EntryPort(2), deployment.EntryPort(3) },
            key,
            { .mTokens = 40, .mStream = stream });
  load.AwaitMore(20);
  deployment.Process("engine-1").Signal(SIGTERM);
  const auto status = deployment.Process("engine-1").Wait(kStopLimit);
  load.AwaitMore(20);

  const auto requests = load.Stop();
  CHECK(requests.size() >= 40);
  CHECK_THAT(DescribeFailures(requests), Catch::Equals(""));
  CHECK(status.value_or(-1) == 0);
  // What was in flight ran to its end once and was not begun anew elsewhere.
  CHECK(deployment.EngineExecutions() == requests.size() + 3);
  deployment.CheckStandIns();
}

}
