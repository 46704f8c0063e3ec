#include <catch2/catch.hpp>

#include "components/gateway/accountshares.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kStart{ 1h };
const ids::ModelId kModel("m");
const ids::ClientAccountId kLarge("large");
constexpr double kWork = 0.05;

/// Lets four accounts ask once in 100 ms and the large one aFactor times as often; every
/// request begins. Returns the time at the end.
timing::Instant Play(AccountShares& aShares,
                     int aFactor,
                     double aLargeWeight,
                     bool aShort)
{
  timing::Instant now = kStart;
  const auto ask = [&](const ids::ClientAccountId& aAccount, double aWeight) {
    aShares.RecordDemand(kModel, aAccount, aWeight, kWork, now);
    aShares.RecordBegun(kModel, aAccount, kWork, now);
  };
  for (int i = 0; i < 100; ++i, now += 100ms) {
    for (const char* name : { "a", "b", "c", "d" }) {
      ask(ids::ClientAccountId(name), 1.0);
    }
    for (int k = 0; k < aFactor; ++k) {
      ask(kLarge, aLargeWeight);
    }
    if (aShort) {
      aShares.RecordContention(kModel, now);
    }
  }
  return now;
}

}

// Guards against one account that takes the engines of all others.
TEST_CASE("account shares: only the account that takes more is held back", "[gateway]")
{
  AccountShares shares;
  const timing::Instant now = Play(shares, 6, 1.0, true);
  CHECK(shares.IsOverShare(kModel, kLarge, now));
  CHECK_FALSE(shares.IsOverShare(kModel, ids::ClientAccountId("a"), now));
  CHECK_FALSE(shares.IsOverShare(ids::ModelId("other"), kLarge, now));
  // Once requests find room again, nobody is.
  CHECK_FALSE(shares.IsOverShare(kModel, kLarge, now + 3s));
}

// Guards against limits where there is enough for all, or where the rates differ as
// agreed.
TEST_CASE("account shares: nobody is held back without need", "[gateway]")
{
  AccountShares enough;
  const timing::Instant now = Play(enough, 6, 1.0, false);
  CHECK_FALSE(enough.IsOverShare(kModel, kLarge, now));
  AccountShares equal;
  Play(equal, 1, 1.0, true);
  CHECK_FALSE(equal.IsOverShare(kModel, kLarge, now));
  AccountShares agreed;
  Play(agreed, 6, 6.0, true);
  CHECK_FALSE(agreed.IsOverShare(kModel, kLarge, now));
}
