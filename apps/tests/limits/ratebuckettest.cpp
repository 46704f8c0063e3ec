#include <catch2/catch.hpp>

#include "components/limits/ratebucket.hpp"

namespace {

using namespace samphiresail;
using namespace std::chrono_literals;
using limits::GrantKey;
using limits::RateBucket;
using units::Tokens;

const timing::Instant kStart{ 1h };

GrantKey MakeKey(std::uint64_t aNonce)
{
  return { ids::ProcessId("entry-1"), units::Incarnation(1), aNonce };
}

RateBucket MakeBucket()
{
  RateBucket bucket(kStart, 2s);
  bucket.SetLimits(units::TokensPerSecond(100), Tokens(1000), kStart);
  return bucket;
}

}

TEST_CASE("rate: a bucket starts empty and refills up to its capacity", "[must-hold]")
{
  RateBucket bucket = MakeBucket();
  CHECK(bucket.Grant(MakeKey(1), Tokens(10), kStart) == Tokens(0));
  CHECK(bucket.Level(kStart + 1s) == Tokens(100));
  CHECK(bucket.Level(kStart + 60s) == Tokens(1000));
}

TEST_CASE("rate: level and outstanding grants stay below the capacity", "[must-hold]")
{
  RateBucket bucket = MakeBucket();
  bucket.Fill();
  CHECK(bucket.Grant(MakeKey(1), Tokens(1000), kStart) == Tokens(1000));
  // The unspent grant keeps the bucket from refilling until it expires.
  CHECK(bucket.Level(kStart + 1999ms) == Tokens(0));
  CHECK(bucket.Level(kStart + 2s) == Tokens(0));
  CHECK(bucket.Level(kStart + 3s) == Tokens(100));
}

TEST_CASE(
  "a spent grant lets the bucket refill and a closed one returns its unspent tokens")
{
  RateBucket bucket = MakeBucket();
  bucket.Fill();
  REQUIRE(bucket.Grant(MakeKey(1), Tokens(1000), kStart) == Tokens(1000));
  bucket.Report(MakeKey(1), Tokens(600), false, kStart);
  CHECK(bucket.Level(kStart + 1s) == Tokens(100));
  bucket.Report(MakeKey(1), Tokens(600), true, kStart + 1s);
  CHECK(bucket.Level(kStart + 1s) == Tokens(500));
  bucket.Report(MakeKey(1), Tokens(600), true, kStart + 1s);
  CHECK(bucket.Level(kStart + 1s) == Tokens(500));
}

TEST_CASE("rate: a repeated request gets no second grant", "[must-hold]")
{
  RateBucket bucket = MakeBucket();
  bucket.Fill();
  CHECK(bucket.Grant(MakeKey(1), Tokens(100), kStart) == Tokens(100));
  CHECK(bucket.Grant(MakeKey(1), Tokens(100), kStart) == Tokens(0));
  bucket.Report(MakeKey(1), Tokens(100), true, kStart);
  CHECK(bucket.Grant(MakeKey(1), Tokens(100), kStart) == Tokens(0));
}

TEST_CASE("rate: a refund is bounded by the smallest room since the charge",
          "[must-hold]")
{
  RateBucket bucket = MakeBucket();
  bucket.Fill();
  REQUIRE(bucket.Grant(MakeKey(1), Tokens(300), kStart) == Tokens(300));
  bucket.Report(MakeKey(1), Tokens(300), true, kStart);
  // After two seconds 100 tokens of capacity are free. Accepting all 250 would reduce the
  // charge to 50, less than the 200 refilled since, so that the bucket would overflow.
  CHECK(bucket.Refund(MakeKey(1), Tokens(300), Tokens(250), kStart + 2s) == Tokens(100));
  CHECK(bucket.Level(kStart + 2s) == Tokens(1000));
}

TEST_CASE("rate: refunds together are bounded by the room at each time", "[must-hold]")
{
  RateBucket bucket = MakeBucket();
  bucket.Fill();
  REQUIRE(bucket.Grant(MakeKey(1), Tokens(100), kStart) == Tokens(100));
  bucket.Report(MakeKey(1), Tokens(50), false, kStart);
  bucket.Report(MakeKey(1), Tokens(100), true, kStart);
  REQUIRE(bucket.Grant(MakeKey(2), Tokens(800), kStart + 500ms) == Tokens(800));
  bucket.Report(MakeKey(2), Tokens(800), true, kStart + 500ms);
  // 50 tokens of capacity were free just before the second grant; the refunds of both
  // charges together must not exceed them.
  CHECK(bucket.Refund(MakeKey(1), Tokens(50), Tokens(50), kStart + 600ms) == Tokens(50));
  CHECK(bucket.Refund(MakeKey(1), Tokens(100), Tokens(50), kStart + 700ms) == Tokens(0));
}

TEST_CASE("rate: a repeated refund counts once", "[must-hold]")
{
  RateBucket bucket = MakeBucket();
  bucket.Fill();
  REQUIRE(bucket.Grant(MakeKey(1), Tokens(900), kStart) == Tokens(900));
  bucket.Report(MakeKey(1), Tokens(900), true, kStart);
  CHECK(bucket.Refund(MakeKey(1), Tokens(900), Tokens(100), kStart) == Tokens(100));
  CHECK(bucket.Refund(MakeKey(1), Tokens(900), Tokens(100), kStart) == Tokens(0));
  CHECK(bucket.Refund(MakeKey(2), Tokens(900), Tokens(100), kStart) == Tokens(0));
}

TEST_CASE("a refund to a bucket that was full is accepted whole")
{
  RateBucket bucket = MakeBucket();
  bucket.Fill();
  REQUIRE(bucket.Grant(MakeKey(1), Tokens(300), kStart + 1s) == Tokens(300));
  bucket.Report(MakeKey(1), Tokens(300), true, kStart + 1050ms);
  CHECK(bucket.Refund(MakeKey(1), Tokens(300), Tokens(200), kStart + 2s) == Tokens(200));
}
