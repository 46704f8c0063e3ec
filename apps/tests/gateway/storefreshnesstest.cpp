#include <catch2/catch.hpp>

#include "components/gateway/storefreshness.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using gateway::StoreFreshness;

namespace {

const timing::Instant kNow{ 1h };

}

TEST_CASE("contact: without news of the store keys become stale", "[gateway]")
{
  StoreFreshness freshness;
  CHECK_FALSE(freshness.AreKeysFresh(kNow));
  freshness.ConfirmUpTo(kNow);
  CHECK(freshness.AreKeysFresh(kNow + 3900ms));
  CHECK_FALSE(freshness.AreKeysFresh(kNow + 4s));
  CHECK_FALSE(freshness.IsReady(kNow + 3s));
}

TEST_CASE("contact: a shorter time for revoked keys makes them stale sooner", "[gateway]")
{
  StoreFreshness freshness;
  freshness.SetBounds(2s, 2500ms);
  freshness.ConfirmUpTo(kNow);
  CHECK(freshness.AreKeysFresh(kNow + 1900ms));
  CHECK_FALSE(freshness.AreKeysFresh(kNow + 2s));
}

TEST_CASE("contact: a response is as fresh as its request", "[gateway]")
{
  StoreFreshness freshness;
  // The process was suspended while the response waited in the socket.
  freshness.RecordResponse(kNow + 10s, kNow + 10s);
  freshness.ConfirmUpTo(kNow);
  CHECK_FALSE(freshness.AreKeysFresh(kNow + 10s));
}

TEST_CASE("contact: records removed just after an outage may have expired", "[gateway]")
{
  StoreFreshness freshness;
  const auto respond = [&freshness](timing::Instant aAt) {
    freshness.RecordResponse(aAt, aAt);
    freshness.ConfirmUpTo(aAt);
  };
  respond(kNow);
  CHECK_FALSE(freshness.RecordsMayHaveLapsed(kNow + 1s));
  CHECK(freshness.RecordsMayHaveLapsed(kNow + 3s));
  respond(kNow + 5s);
  CHECK(freshness.RecordsMayHaveLapsed(kNow + 6s));
  respond(kNow + 6s);
  respond(kNow + 8s);
  CHECK_FALSE(freshness.RecordsMayHaveLapsed(kNow + 8100ms));
}

TEST_CASE("contact: a long response over a slow link is no outage", "[gateway]")
{
  StoreFreshness freshness;
  freshness.RecordResponse(kNow, kNow);
  freshness.ConfirmUpTo(kNow - 100ms);
  // Requested after a pause, the response begins at once and is read 1.5 s later.
  freshness.RecordResponse(kNow + 1s, kNow + 2500ms);
  CHECK_FALSE(freshness.RecordsMayHaveLapsed(kNow + 2500ms));
  freshness.ConfirmUpTo(kNow + 1s);
  freshness.RecordResponse(kNow + 3500ms, kNow + 5s);
  CHECK_FALSE(freshness.RecordsMayHaveLapsed(kNow + 5s));
}

TEST_CASE("contact: a restored store confirms no key that it may have lost the end of",
          "[gateway]")
{
  StoreFreshness freshness;
  freshness.SetBounds(2s, 5s);
  freshness.ConfirmUpTo(kNow);
  const timing::Instant restored = kNow + 2s;
  freshness.RecordRestore(restored);
  freshness.ConfirmUpTo(restored + 1s);
  CHECK(freshness.AreKeysFresh(kNow + 3900ms));
  CHECK_FALSE(freshness.AreKeysFresh(kNow + 4s));
  CHECK_FALSE(freshness.IsConfigurationCurrent(kNow + 2s));
  // The process goes on with what it has.
  CHECK(freshness.IsReady(kNow + 4s));
  SECTION("until the operator has written the configuration again")
  {
    freshness.RecordRewrite();
    freshness.ConfirmUpTo(restored + 1500ms);
  }
  SECTION("or has had the time for it")
  {
    freshness.ConfirmUpTo(restored + StoreFreshness::kRewriteTime - 1ms);
    CHECK_FALSE(freshness.AreKeysFresh(restored + StoreFreshness::kRewriteTime));
    freshness.ConfirmUpTo(restored + StoreFreshness::kRewriteTime);
  }
  CHECK(freshness.AreKeysFresh(restored + StoreFreshness::kRewriteTime));
}

TEST_CASE("contact: a process that starts believes no backup that others know of",
          "[gateway]")
{
  StoreFreshness freshness;
  freshness.ConfirmUpTo(kNow);
  freshness.RecordStart(true, kNow);
  CHECK(freshness.IsOutdated(kNow));
  CHECK_FALSE(freshness.AreKeysFresh(kNow));
  CHECK_FALSE(freshness.IsReady(kNow));
  SECTION("none of them is heard of")
  {
    CHECK(freshness.IsOutdated(kNow + 1999ms));
  }
  SECTION("they have a newer version, however late they say so")
  {
    const timing::Instant heard = kNow + GENERATE(100ms, 2500ms);
    freshness.RecordPeers(true, 0ms, heard);
    CHECK(freshness.IsOutdated(heard + 2900ms));
    SECTION("until this process has it")
    {
      freshness.RecordPeers(true, 0ms, heard + 2900ms);
      freshness.RecordPeers(false, 0ms, heard + 4s);
      CHECK_FALSE(freshness.IsOutdated(heard + 4s));
    }
    SECTION("or they are gone")
    {
      CHECK_FALSE(freshness.IsOutdated(heard + 3s));
    }
  }
  SECTION("they await records that were lost")
  {
    freshness.RecordPeers(false, 1500ms, kNow + 100ms);
    CHECK(freshness.IsOutdated(kNow + 1500ms));
    CHECK_FALSE(freshness.IsOutdated(kNow + 1600ms));
  }
  SECTION("they know no more")
  {
    freshness.RecordPeers(false, 0ms, kNow + 100ms);
    CHECK_FALSE(freshness.IsOutdated(kNow + 100ms));
  }
  CHECK_FALSE(freshness.IsOutdated(kNow + 30s));
}

TEST_CASE("contact: a process that cannot have read a backup goes on where it is behind",
          "[gateway]")
{
  StoreFreshness freshness;
  freshness.ConfirmUpTo(kNow);
  SECTION("that once was level")
  {
    freshness.RecordStart(false, kNow);
    CHECK_FALSE(freshness.IsOutdated(kNow));
    freshness.RecordPeers(false, 0ms, kNow);
  }
  SECTION("of a store that states no generation") {}
  freshness.RecordPeers(true, 2s, kNow + 1s);
  CHECK(freshness.AreKeysFresh(kNow + 3s));
  CHECK(freshness.IsReady(kNow + 2s));
}
