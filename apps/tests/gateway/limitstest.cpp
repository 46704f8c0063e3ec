#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "components/gateway/coldlimiter.hpp"
#include "components/gateway/windowedretrybudget.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kNow{ 1h };
const ids::EndpointId kEndpoint("e1");
const ids::ServiceId kService("s");

}

TEST_CASE("cold limit: the shares of all entries add up to less than the bound",
          "[gateway]")
{
  constexpr double kPerSecond = 15.0;
  constexpr double kFactor = 1.5;
  constexpr double kSlack = 5.0;
  for (const std::size_t entries : { 1U, 2U, 4U, 5U, 7U, 20U }) {
    std::size_t sent = 0;
    ColdLimiter limiter;
    limiter.SetTolerance(kFactor, kSlack);
    for (int step = 0; step < 100; ++step) {
      const timing::Instant now = kNow + step * 9ms;
      if (limiter.HasCapacity(kEndpoint, kPerSecond, entries, now)) {
        limiter.Record(kEndpoint, now);
        ++sent;
      }
    }
    INFO(entries << " entries sent " << sent << " each");
    CHECK(sent >= 1);
    CHECK(static_cast<double>(sent * entries) <= kPerSecond * kFactor + kSlack);
  }
}

TEST_CASE("cold limit: more entries than requests a second stay below the bound",
          "[gateway]")
{
  constexpr double kPerSecond = 8.0;
  constexpr double kBound = kPerSecond * 1.5 + 5.0;
  constexpr std::size_t kEntries = 103;
  std::vector<ids::ProcessId> entries;
  for (std::size_t i = 0; i < kEntries; ++i) {
    entries.emplace_back("front-" + std::to_string(i));
  }
  for (const char* name : { "e1", "e2", "e3" }) {
    const ids::EndpointId endpoint(name);
    std::size_t sent = 0;
    std::size_t sentWhileJoining = 0;
    for (const ids::ProcessId& own : entries) {
      ColdLimiter limiter;
      limiter.SetTolerance(1.5, 5.0);
      std::vector<ids::ProcessId> others = entries;
      std::erase(others, own);
      limiter.SetKnownEntries(own, others);
      for (int i = 0; i < 5 && limiter.HasCapacity(endpoint, kPerSecond, kEntries, kNow);
           ++i) {
        limiter.Record(endpoint, kNow);
        ++sent;
      }
      ColdLimiter joining;
      joining.SetTolerance(1.5, 5.0);
      joining.SetKnownEntries(own, {});
      sentWhileJoining +=
        joining.HasCapacity(endpoint, kPerSecond, kEntries, kNow) ? 1 : 0;
    }
    INFO(name << ": " << sent);
    CHECK(sent >= 1);
    CHECK(static_cast<double>(sent) <= kBound);
    CHECK(sentWhileJoining == 0);
  }
}

TEST_CASE("cold limit: an endpoint without a stated rate is not limited", "[gateway]")
{
  ColdLimiter limiter;
  for (int i = 0; i < 100; ++i) {
    CHECK(limiter.HasCapacity(kEndpoint, 0.0, 5, kNow));
    limiter.Record(kEndpoint, kNow);
  }
}

TEST_CASE("repeats: in any window they stay below the bound over all entries",
          "[gateway]")
{
  constexpr std::size_t kEntries = 4;
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 54.0;
  std::size_t firstAttempts = 0;
  std::size_t retries = 0;
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    WindowedRetryBudget budget;
    budget.SetLimits({ 10s, kRatio, kSlack });
    for (int i = 0; i < 200; ++i) {
      const timing::Instant now = kNow + i * 40ms;
      budget.RecordFirstAttempt(kService, now);
      ++firstAttempts;
      retries += budget.TrySpend(kService, kEntries, now) ? 1 : 0;
      retries += budget.TrySpend(kService, kEntries, now) ? 1 : 0;
    }
  }
  CHECK(retries > 0);
  CHECK(static_cast<double>(retries) <=
        kRatio * static_cast<double>(firstAttempts) + kSlack);
}
