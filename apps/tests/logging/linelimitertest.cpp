#include <deque>

#include <catch2/catch.hpp>

#include "components/logging/linelimiter.hpp"

using namespace samphiresail;
using std::chrono::milliseconds;

TEST_CASE("limiter: no second has more lines than allowed, and the rest is counted",
          "[logging]")
{
  // Guards against an entry that spends its core on lines of refusals.
  timing::ManualClock clock;
  logging::LineLimiter limiter;
  std::deque<timing::Instant> written;
  std::size_t leftOut = 0;
  for (int i = 0; i < 5000; ++i) {
    clock.Advance(milliseconds(i % 7));
    if (limiter.Allow(i % 3 == 0 ? "full" : "rate", 20, clock.Now())) {
      written.push_back(clock.Now());
    }
    for (const auto& [reason, lines] : limiter.TakeLeftOut(clock.Now())) {
      leftOut += lines;
    }
    while (written.front() + std::chrono::seconds(1) <= clock.Now()) {
      written.pop_front();
      ++leftOut;
    }
    REQUIRE(written.size() <= 20);
  }
  clock.Advance(std::chrono::seconds(1));
  for (const auto& [reason, lines] : limiter.TakeLeftOut(clock.Now())) {
    leftOut += lines;
  }
  CHECK(leftOut + written.size() == 5000);
}

TEST_CASE("limiter: what is left out is given once a second, by reason", "[logging]")
{
  timing::ManualClock clock;
  logging::LineLimiter limiter;
  CHECK(limiter.Allow("rate", 1, clock.Now()));
  CHECK_FALSE(limiter.Allow("rate", 1, clock.Now()));
  CHECK_FALSE(limiter.Allow("rate", 1, clock.Now()));
  CHECK_FALSE(limiter.Allow("full", 1, clock.Now()));
  clock.Advance(milliseconds(999));
  CHECK(limiter.TakeLeftOut(clock.Now()).empty());
  clock.Advance(milliseconds(1));
  CHECK(limiter.TakeLeftOut(clock.Now()) ==
        logging::LineLimiter::Counts{ { "full", 1 }, { "rate", 2 } });
  CHECK(limiter.TakeLeftOut(clock.Now()).empty());
  CHECK(limiter.Allow("rate", 1, clock.Now()));
}
