#include <catch2/catch.hpp>

#include "components/frontend/exchange.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::frontend;

namespace {

const timing::Instant kNow{ 1h };

bool Never(const Exchange&)
{
  return false;
}

/// Exchange with a deadline after 5 s, whose attempt has one after 1 s.
class WaitingExchange : public Exchange
{
public:
  WaitingExchange()
    : Exchange(MakeAdmission())
  {
    mCurrent->mInFlight = true;
    mCurrent->mDeadline = kNow + 1s;
    mStartStandby = [this] { ++mSearches; };
  }
  int mSearches{ 0 };

private:
  static gateway::Admission MakeAdmission()
  {
    gateway::Admission admission;
    admission.mDeadline = kNow + 5s;
    return admission;
  }
};

}

TEST_CASE("exchanges: the tick ends requests past their deadline and no silent attempt",
          "[frontend]")
{
  WaitingExchange exchange;
  ExchangeTable table;
  table.Add(&exchange);
  table.Tick(kNow, Never);
  CHECK(exchange.mSearches == 0);
  table.Tick(kNow + 1s, Never);
  CHECK(exchange.mSearches == 1);
  CHECK_FALSE(exchange.mCurrent->mAborted);
  table.Tick(kNow + 1s, Never);
  CHECK(exchange.mSearches == 1);
  table.Tick(kNow + 4s, Never);
  CHECK(exchange.mSearches == 2);
  CHECK_FALSE(exchange.mCurrent->mAborted);
  CHECK_FALSE(exchange.mDeadlineExceeded);
  table.Tick(kNow + 5s, Never);
  CHECK(exchange.mCurrent->mAborted);
  CHECK(exchange.mDeadlineExceeded);
  table.Remove(&exchange);
  CHECK(table.Size() == 0);
}

TEST_CASE("exchanges: a silent attempt that may not be repeated goes on", "[frontend]")
{
  WaitingExchange exchange;
  exchange.mStartStandby = nullptr;
  ExchangeTable table;
  table.Add(&exchange);
  table.Tick(kNow + 4s, [](const Exchange&) { return true; });
  CHECK_FALSE(exchange.mCurrent->mAborted);
}

TEST_CASE("exchanges: a standby is given up at its deadline unless it has taken over",
          "[frontend]")
{
  WaitingExchange exchange;
  exchange.mStandby = std::make_shared<AttemptState>();
  AttemptState& standby = *exchange.mStandby;
  standby.mDeadline = kNow + 2s;
  ExchangeTable table;
  table.Add(&exchange);
  table.Tick(kNow + 1900ms, Never);
  CHECK_FALSE(exchange.mCurrent->mAborted);
  SECTION("while it connects, it is given up instead")
  {
    standby.mConnecting = true;
    table.Tick(kNow + 2s, Never);
    CHECK_FALSE(exchange.mCurrent->mAborted);
  }
  SECTION("after it was sent, it is given up if it is silent as well")
  {
    standby.mInFlight = true;
    const auto kept = exchange.mStandby;
    table.Tick(kNow + 2s, Never);
    CHECK_FALSE(exchange.mCurrent->mAborted);
    CHECK(kept->mAborted);
    CHECK(exchange.mStandby == nullptr);
    exchange.mSearches = 0;
  }
  SECTION("after its response has begun")
  {
    standby.mInFlight = true;
    exchange.HandOver();
    table.Tick(kNow + 2s, Never);
    CHECK(exchange.mCurrent->mAborted);
    CHECK(exchange.IsHandedOver());
    CHECK_FALSE(standby.mAborted);
  }
  CHECK(exchange.mSearches == 0);
}

TEST_CASE("exchanges: a process that was stopped past a deadline still answers",
          "[frontend]")
{
  asio::io_context io;
  tcp::socket caller(io, tcp::v4());
  WaitingExchange exchange;
  exchange.mCaller = &caller;
  ExchangeTable table;
  table.Add(&exchange);
  table.Tick(kNow + 8s, Never);
  CHECK(exchange.mDeadlineExceeded);
  CHECK(caller.is_open());
  table.Tick(kNow + 8s + ExchangeTable::kWriteGrace, Never);
  CHECK_FALSE(caller.is_open());
}
