#include <catch2/catch.hpp>

#include "components/gateway/waitingrequests.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kNow{ 1h };
const ids::ModelId kModel("m");
constexpr Milliseconds kUrgent{ 0.0 };
constexpr Milliseconds kTolerant{ 400.0 };

ids::RequestId Id(int aNumber)
{
  return ids::RequestId("r" + std::to_string(aNumber));
}

}

// Guards against requests that are held although those before them take all their time.
TEST_CASE("waiting requests: the forecast counts those that go before", "[gateway]")
{
  WaitingRequests waiting;
  for (int i = 0; i < 100; ++i) {
    waiting.RecordBegun(Id(1000 + i), kModel, kNow + i * 100ms);
  }
  const timing::Instant now = kNow + 10s;
  for (int i = 0; i < 20; ++i) {
    waiting.RecordWait(Id(i), kModel, kTolerant, now + i * 1ms);
  }
  waiting.RecordWait(Id(50), kModel, kUrgent, now + 30ms);
  const auto forecast = [&](int aNumber) {
    return waiting.Forecast(Id(aNumber), now + 40ms).value_or(Milliseconds(-1));
  };
  CHECK(waiting.Count(kModel) == 21);
  CHECK(forecast(50) == Milliseconds(0));
  // Twenty go before it, about ten are sent a second.
  CHECK(forecast(19) > Milliseconds(1500));
  CHECK(forecast(19) < Milliseconds(2700));
  CHECK(forecast(99) < Milliseconds(0));
  waiting.RecordBegun(Id(50), kModel, now);
  CHECK(waiting.Count(kModel) == 20);
}

// Guards against requests that count although their callers have left.
TEST_CASE("waiting requests: those that no longer try are forgotten", "[gateway]")
{
  WaitingRequests waiting;
  waiting.RecordWait(Id(1), kModel, kUrgent, kNow);
  waiting.RecordWait(Id(2), kModel, kUrgent, kNow);
  waiting.RecordWait(Id(2), kModel, kUrgent, kNow + 400ms);
  waiting.Tick(kNow + 700ms);
  CHECK(waiting.Count(kModel) == 1);
  CHECK_FALSE(waiting.Forecast(Id(2), kNow + 700ms));
}

// Guards against entries that hold back a request for others that do not wait.
TEST_CASE("waiting requests: a short wait hardly raises the mean number", "[gateway]")
{
  WaitingRequests waiting;
  waiting.Tick(kNow);
  waiting.RecordWait(Id(1), kModel, kUrgent, kNow);
  waiting.Tick(kNow + 40ms);
  CHECK(waiting.MeanCount(kModel) < 0.1);
  for (int i = 2; i < 200; ++i) {
    waiting.RecordWait(Id(1), kModel, kUrgent, kNow + i * 40ms);
    waiting.Tick(kNow + i * 40ms);
  }
  CHECK(waiting.MeanCount(kModel) > 0.9);
  waiting.Erase(Id(1));
  waiting.Tick(kNow + 20s);
  CHECK(waiting.MeanCount(kModel) < 0.1);
}
