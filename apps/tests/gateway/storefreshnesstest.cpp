#include <catch2/catch.hpp>

#include "components/gateway/storefreshness.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using gateway::StoreFreshness;

namespace {

const timing::Instant kNow{ 1h };

}

TEST_CASE("contact: without news of the store keys are not trusted for long", "[gateway]")
{
  StoreFreshness freshness;
  CHECK_FALSE(freshness.AreKeysFresh(kNow));
  freshness.ConfirmUpTo(kNow);
  CHECK(freshness.AreKeysFresh(kNow + 3900ms));
  CHECK_FALSE(freshness.AreKeysFresh(kNow + 4s));
  CHECK_FALSE(freshness.IsReady(kNow + 3s));
}

TEST_CASE("contact: an answer counts from when its call was sent", "[gateway]")
{
  StoreFreshness freshness;
  // The process was suspended while the answer waited in the socket.
  freshness.RecordResponse(kNow + 10s, kNow + 10s);
  freshness.ConfirmUpTo(kNow);
  CHECK_FALSE(freshness.AreKeysFresh(kNow + 10s));
}

TEST_CASE("contact: records that vanish just after an outage may have lapsed",
          "[gateway]")
{
  StoreFreshness freshness;
  const auto answer = [&freshness](timing::Instant aAt) {
    freshness.RecordResponse(aAt, aAt);
    freshness.ConfirmUpTo(aAt);
  };
  answer(kNow);
  CHECK_FALSE(freshness.RecordsMayHaveLapsed(kNow + 1s));
  CHECK(freshness.RecordsMayHaveLapsed(kNow + 3s));
  answer(kNow + 5s);
  CHECK(freshness.RecordsMayHaveLapsed(kNow + 6s));
  answer(kNow + 6s);
  answer(kNow + 8s);
  CHECK_FALSE(freshness.RecordsMayHaveLapsed(kNow + 8100ms));
}

TEST_CASE("contact: a long answer over a slow link is no outage", "[gateway]")
{
  StoreFreshness freshness;
  freshness.RecordResponse(kNow, kNow);
  freshness.ConfirmUpTo(kNow - 100ms);
  // Sent after a pause, answered at once, and read a second later.
  freshness.RecordResponse(kNow + 1s, kNow + 2500ms);
  CHECK_FALSE(freshness.RecordsMayHaveLapsed(kNow + 2500ms));
  freshness.ConfirmUpTo(kNow + 1s);
  freshness.RecordResponse(kNow + 3500ms, kNow + 5s);
  CHECK_FALSE(freshness.RecordsMayHaveLapsed(kNow + 5s));
}
