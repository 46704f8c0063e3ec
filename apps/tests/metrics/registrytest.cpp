#include <catch2/catch.hpp>

#include "components/metrics/registry.hpp"

using namespace samphiresail;

TEST_CASE("metrics are serialized in the text format")
{
  metrics::Registry registry;
  const metrics::Counter counter = registry.AddCounter(
    "samphiresail_refusals_total", "Refusals", { { "reason", "rate" } });
  counter.Increment();
  registry.AddCounter("samphiresail_refusals_total", "Refusals", { { "reason", "rate" } })
    .Increment(2);
  registry.AddGauge("samphiresail_in_flight", "Requests in flight").Set(4);
  registry.AddHistogram("samphiresail_wait_seconds", "Wait")
    .Observe(std::chrono::milliseconds(3));
  const std::string text = registry.Text();
  CHECK(counter.Value() == 3);
  CHECK(text.find("samphiresail_refusals_total{reason=\"rate\"} 3") != std::string::npos);
  CHECK(text.find("samphiresail_in_flight 4") != std::string::npos);
  CHECK(text.find("samphiresail_wait_seconds_bucket{le=\"0.005\"} 1") !=
        std::string::npos);
}
