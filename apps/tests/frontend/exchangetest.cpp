#include <catch2/catch.hpp>

#include "components/frontend/exchange.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::frontend;

TEST_CASE("exchanges: the tick ends attempts and requests whose time is over",
          "[frontend]")
{
  const timing::Instant now{ 1h };
  gateway::Admission admission;
  admission.mDeadline = now + 5s;
  Exchange exchange(std::move(admission));
  exchange.mAttemptDeadline = now + 1s;
  ExchangeTable table;
  table.Add(&exchange);
  int asked = 0;
  const auto grant = [&](const Exchange&) {
    ++asked;
    return true;
  };
  table.Tick(now, grant);
  CHECK(asked == 0);
  table.Tick(now + 1s, grant);
  CHECK(exchange.mRetryGranted);
  table.Tick(now + 2s, grant);
  CHECK(asked == 1);
  CHECK_FALSE(exchange.mDeadlineExceeded);
  table.Tick(now + 5s, grant);
  CHECK(exchange.mDeadlineExceeded);
  table.Remove(&exchange);
  CHECK(table.Size() == 0);
}

TEST_CASE("exchanges: a silent attempt goes on while no other one may follow",
          "[frontend]")
{
  const timing::Instant now{ 1h };
  gateway::Admission admission;
  admission.mDeadline = now + 5s;
  Exchange exchange(std::move(admission));
  exchange.mAttemptDeadline = now + 1s;
  ExchangeTable table;
  table.Add(&exchange);
  table.Tick(now + 1s, [](const Exchange&) { return false; });
  CHECK_FALSE(exchange.mRetryGranted);
  CHECK(exchange.mAttemptDeadline == timing::Instant::max());
}
