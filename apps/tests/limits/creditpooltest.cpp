#include <thread>

#include <catch2/catch.hpp>

#include "components/limits/creditpool.hpp"

namespace {

using namespace samphiresail;
using namespace std::chrono_literals;
using limits::CreditPool;
using units::Tokens;

const ids::ClientAccountId kAccount("north");
const timing::Instant kStart{ 1h };

limits::GrantOrigin MakeOrigin(std::uint64_t aNonce)
{
  return { ids::ProcessId("entry-1"), aNonce };
}

}

TEST_CASE("rate: a charge spends only unexpired grants", "[must-hold]")
{
  CreditPool pool;
  pool.AddGrant(kAccount, MakeOrigin(1), Tokens(100), kStart + 1s);
  CHECK_FALSE(pool.TryCharge(kAccount, Tokens(101), kStart));
  CHECK(pool.TryCharge(kAccount, Tokens(60), kStart));
  CHECK_FALSE(pool.TryCharge(kAccount, Tokens(41), kStart));
  CHECK_FALSE(pool.TryCharge(kAccount, Tokens(10), kStart + 1s));
}

TEST_CASE("a charge over several grants is returned to their holders")
{
  CreditPool pool;
  pool.AddGrant(kAccount, MakeOrigin(1), Tokens(50), kStart + 1s);
  pool.AddGrant(kAccount, MakeOrigin(2), Tokens(50), kStart + 1s);
  const auto charge = pool.TryCharge(kAccount, Tokens(80), kStart);
  REQUIRE(charge);
  pool.RefundUnused(*charge, Tokens(40));
  const auto refunds = pool.TakeRefunds();
  REQUIRE(refunds.size() == 2);
  CHECK(refunds[0].mOrigin.mNonce == 2);
  CHECK(refunds[0].mTokens == Tokens(30));
  CHECK(refunds[1].mOrigin.mNonce == 1);
  CHECK(refunds[1].mTokens == Tokens(10));
  CHECK(pool.TakeRefunds().empty());
}

TEST_CASE("the use of a grant is reported once and closed at its expiry")
{
  CreditPool pool;
  pool.AddGrant(kAccount, MakeOrigin(1), Tokens(50), kStart + 1s);
  REQUIRE(pool.TryCharge(kAccount, Tokens(20), kStart));
  const auto first = pool.TakeActivity(kStart);
  REQUIRE(first.at(0).mUses.size() == 1);
  CHECK(first[0].mUses[0].mSpent == Tokens(20));
  CHECK_FALSE(first[0].mUses[0].mClosed);
  CHECK(first[0].mAvailable == Tokens(30));
  CHECK(pool.TakeActivity(kStart).at(0).mUses.empty());
  const auto last = pool.TakeActivity(kStart + 1s);
  REQUIRE(last.at(0).mUses.size() == 1);
  CHECK(last[0].mUses[0].mClosed);
  CHECK(last[0].mAvailable == Tokens(0));
}

TEST_CASE("a waiting caller reports its demand and is woken by a grant")
{
  const timing::SystemClock clock;
  std::unique_ptr<CreditPool> pool;
  int demands = 0;
  pool = std::make_unique<CreditPool>([&] {
    ++demands;
    pool->AddGrant(kAccount, MakeOrigin(1), Tokens(50), clock.Now() + 1h);
  });
  CHECK(pool->WaitForCredit(kAccount, Tokens(50), clock, 1h));
  CHECK(demands == 1);
  CHECK_FALSE(pool->WaitForCredit(kAccount, Tokens(51), clock, 0s));
  CHECK(pool->TakeActivity(clock.Now()).at(0).mWaiting == Tokens(0));
}
