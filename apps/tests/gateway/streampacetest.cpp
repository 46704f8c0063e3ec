#include <catch2/catch.hpp>

#include "components/gateway/streampace.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using gateway::Milliseconds;
using gateway::StreamPace;

namespace {

const ids::EndpointId kEngine("engine-1");
const timing::Instant kStart{ 1h };

/// Lets two streams of an engine have aEvents events each, one every 30 ms; returns when
/// the last one came.
timing::Instant PlayEvents(StreamPace& aPace, int aEvents)
{
  aPace.OnEvent(kEngine, true, kStart);
  aPace.OnEvent(kEngine, true, kStart + 15ms);
  timing::Instant now = kStart + 15ms;
  for (int i = 0; i < 2 * aEvents; ++i) {
    now += 15ms;
    aPace.OnEvent(kEngine, false, now);
  }
  return now;
}

}

TEST_CASE("stream pace: an engine whose streams stop is stalled until the next event",
          "[gateway]")
{
  StreamPace pace;
  CHECK(pace.Stall(kEngine, kStart) == Milliseconds(0));
  const timing::Instant last = PlayEvents(pace, 100);
  CHECK(pace.Stall(kEngine, last + 30ms) == Milliseconds(0));
  CHECK(pace.Stall(kEngine, last + 300ms) > Milliseconds(200));
  pace.OnEvent(kEngine, false, last + 300ms);
  CHECK(pace.Stall(kEngine, last + 301ms) == Milliseconds(0));
}

TEST_CASE("stream pace: one long stall is not learned as the usual pace", "[gateway]")
{
  StreamPace pace;
  const timing::Instant last = PlayEvents(pace, 100);
  pace.OnEvent(kEngine, false, last + 5s);
  CHECK(pace.Stall(kEngine, last + 5s + 300ms) > Milliseconds(200));
}

TEST_CASE("stream pace: without streams an engine is never stalled", "[gateway]")
{
  StreamPace pace;
  const timing::Instant last = PlayEvents(pace, 3);
  pace.OnEnd(kEngine);
  pace.OnEnd(kEngine);
  CHECK(pace.Stall(kEngine, last + 10s) == Milliseconds(0));
  pace.OnEnd(kEngine);
  PlayEvents(pace, 3);
  pace.Forget(kEngine);
  CHECK(pace.Stall(kEngine, last + 10s) == Milliseconds(0));
}
