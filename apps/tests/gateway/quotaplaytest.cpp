#include <catch2/catch.hpp>

#include "apps/tests/gateway/quotaplay.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway::testing;

namespace {

/// Fleets that exchange reports directly and by zone, accounts for which one request is a
/// large part of the burst, and accounts for which the tolerance is small.
std::vector<QuotaDay> Days()
{
  return { { 4, 2, 4200, 4200, 0.5, 400, 1 },     { 10, 3, 20000, 20000, 0.5, 600, 1 },
           { 24, 3, 4200, 8000, 0.5, 400, 1 },    { 29, 3, 20000, 20000, 0.5, 600, 1 },
           { 29, 3, 20000, 20000, 0.5, 5000, 1 }, { 30, 4, 200000, 150000, 0.5, 900, 1 },
           { 23, 3, 230000, 160000, 0.5, 900, 1 } };
}

}

TEST_CASE("quota play: an account below its rate is not rejected while entries hear each "
          "other",
          "[gateway]")
{
  // Guards against rejections of tokens that other entries could use but don't.
  QuotaDay day = GENERATE(from_range(Days()));
  day.mSeed = GENERATE(range(1U, 3U));
  CAPTURE(day.mEntries, day.mRate, day.mMedianTokens, day.mSeed);
  QuotaPlay play(day);
  play.Run(12s, 0.7);
  play.ResetCounts();
  play.Run(60s, 0.7);
  CHECK(play.FalseByBucket() < 0.001);
  CHECK(play.FalseByWindow() < 0.001);
}

TEST_CASE("quota play: no window exceeds the bound while all entries are greedy",
          "[gateway]")
{
  // Guards against entries that use the same tokens between their reports.
  QuotaDay day = GENERATE(from_range(Days()));
  day.mSeed = GENERATE(range(1U, 3U));
  day.mSkew = day.mSeed % 2 == 0 ? 0.5 : 0.0;
  const std::string fault =
    GENERATE("none", "halves", "one way", "any", "pauses", "losses", "one restarts");
  const double before = GENERATE(0.0, 0.5, 1.0);
  CAPTURE(day.mEntries, day.mRate, day.mMedianTokens, day.mSeed, fault, before);
  QuotaPlay play(day);
  const std::size_t half = day.mEntries / 2;
  play.Run(10s, before);
  play.Run(2s, 6.0);
  if (fault == "halves") {
    play.Cut([half](auto aFrom, auto aTo) { return (aFrom < half) != (aTo < half); });
  } else if (fault == "one way") {
    play.Cut([half](auto aFrom, auto aTo) { return aFrom < half && aTo >= half; });
  } else if (fault == "any") {
    play.Cut([](auto aFrom, auto aTo) { return (aFrom * 7 + aTo * 13) % 3 == 0; });
  } else if (fault == "losses") {
    play.SetLoss(0.3);
  } else if (fault == "one restarts") {
    play.Restart(0);
  }
  for (std::size_t i = 0; fault == "pauses" && i < half; ++i) {
    play.Freeze(i);
  }
  play.Run(9s, 6.0);
  play.Cut({});
  for (std::size_t i = 0; i < half; ++i) {
    play.Resume(i);
  }
  play.Run(9s, 6.0);
  CHECK(play.MostInWindow() <= play.Bound());
}
