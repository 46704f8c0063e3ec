#include <csignal>
#include <thread>

#include <catch2/catch.hpp>

#include "apps/tests/processes/caller.hpp"
#include "apps/tests/processes/deployment.hpp"

namespace samphiresail::tests {

namespace {

constexpr int kCreated = 201;

bool IsRunning(Deployment& aDeployment, const nlohmann::json& aBody)
{
  return aDeployment.ServiceExecutions(aBody) > 0;
}

}

TEST_CASE("at-most-once: an entry killed during a booking runs it once",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "booking");
  const nlohmann::json body{ { "dock", 1 } };
  const auto delay = GENERATE(0, 400);
  deployment.Tell("service", "/faults", { { "delay_ms", delay } });

  std::jthread first([&] {
    Caller(deployment.EntryPort(1), key).Post("/booking/bookings", "dock-1", body);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(delay / 2));
  deployment.Process("entry-1").Kill();
  first.join();

  std::vector<std::string> confirmations;
  CHECK(Eventually([&] {
    const auto reply =
      Caller(deployment.EntryPort(2), key).Post("/booking/bookings", "dock-1", body);
    if (reply.mStatus == kCreated) {
      confirmations.push_back(reply.mBody);
    }
    return reply.mStatus == kCreated || reply.mOutcome == "unknown";
  }));
  const auto again =
    Caller(deployment.EntryPort(3), key).Post("/booking/bookings", "dock-1", body);
  CHECK(deployment.ServiceExecutions(body) <= 1);
  if (!confirmations.empty()) {
    CHECK(deployment.ServiceExecutions(body) == 1);
    CHECK(again.mBody == confirmations.front());
  }
  deployment.CheckStandIns();
}

TEST_CASE("at-most-once: an agent killed during a booking never runs it again",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "booking");
  const nlohmann::json body{ { "dock", 2 } };
  deployment.Tell("service", "/faults", { { "delay_ms", 500 } });

  ServiceReply reply;
  std::jthread first([&] {
    reply =
      Caller(deployment.EntryPort(1), key).Post("/booking/bookings", "dock-2", body);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  deployment.Process("service-1").Kill();
  first.join();
  CHECK(reply.mOutcome == "unknown");
  CHECK(Eventually([&] { return IsRunning(deployment, body); }));

  deployment.Restart("service-1");
  CHECK(Eventually([&] {
    return Caller(deployment.EntryPort(2), key).Get("/booking/stock/1").mStatus == 200;
  }));
  for (std::size_t it = 1; it <= 3; ++it) {
    const auto again =
      Caller(deployment.EntryPort(it), key).Post("/booking/bookings", "dock-2", body);
    CHECK(again.mOutcome == "unknown");
  }
  CHECK(deployment.ServiceExecutions(body) == 1);
  deployment.CheckStandIns();
}

TEST_CASE("at-most-once: repeats at all entries at once run a booking once",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "booking");
  const nlohmann::json body{ { "dock", 3 } };
  deployment.Tell("service", "/faults", { { "delay_ms", 200 } });
  deployment.Tell("store", "/faults", { { "lose_answers", 2 }, { "writes_only", true } });
  {
    std::vector<std::jthread> callers;
    for (std::size_t it = 0; it < 9; ++it) {
      callers.emplace_back([&, it] {
        Caller(deployment.EntryPort(it % 3 + 1), key)
          .Post("/booking/bookings", "dock-3", body);
      });
    }
  }
  std::vector<std::string> bodies;
  for (std::size_t it = 1; it <= 3; ++it) {
    CHECK(Eventually([&] {
      const auto reply =
        Caller(deployment.EntryPort(it), key).Post("/booking/bookings", "dock-3", body);
      if (reply.mStatus == kCreated) {
        bodies.push_back(reply.mBody);
      }
      return reply.mStatus == kCreated;
    }));
  }
  REQUIRE(bodies.size() == 3);
  CHECK(bodies[0] == bodies[1]);
  CHECK(bodies[1] == bodies[2]);
  CHECK(deployment.ServiceExecutions(body) == 1);
  deployment.CheckStandIns();
}

TEST_CASE("not-run: with the store down an irreversible call is refused and not run",
          "[must-hold][processes]")
{
  Deployment deployment;
  const auto key = deployment.IssueKey("depot-north", "booking");
  const nlohmann::json body{ { "dock", 4 } };
  Caller caller(deployment.EntryPort(1), key);
  CHECK(Eventually([&] { return caller.Get("/booking/stock/1").mStatus == 200; }));
  deployment.Tell("store", "/faults", { { "down", true } });

  const auto refused = caller.Post("/booking/bookings", "dock-4", body);
  CHECK(refused.mOutcome == "not_run");
  CHECK(deployment.ServiceExecutions(body) == 0);

  deployment.Tell("store", "/faults", { { "down", false } });
  CHECK(Eventually([&] {
    return caller.Post("/booking/bookings", "dock-4", body).mStatus == kCreated;
  }));
  CHECK(deployment.ServiceExecutions(body) == 1);
  deployment.CheckStandIns();
}

}
