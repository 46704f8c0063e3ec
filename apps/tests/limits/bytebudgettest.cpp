#include <list>

#include <catch2/catch.hpp>

#include "components/limits/bytebudget.hpp"

using namespace samphiresail::limits;
using Outcome = ByteBudget::Outcome;

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;

}

TEST_CASE("byte budget: shares grow until the budget is used", "[limits]")
{
  ByteBudget budget(10 * kMegabyte);
  ByteBudget::Share first(budget);
  CHECK(first.Grow(6 * kMegabyte) == Outcome::Granted);
  {
    ByteBudget::Share second(budget);
    CHECK(second.Grow(4 * kMegabyte) == Outcome::Granted);
    CHECK(budget.Used() == 10 * kMegabyte);
    ByteBudget::Share third(budget);
    CHECK(third.Grow(kMegabyte) == Outcome::Wait);
  }
  CHECK(budget.Used() == 6 * kMegabyte);
  first.Release();
  CHECK(budget.Used() == 0);
}

TEST_CASE("byte budget: the largest share gives way to the others", "[limits]")
{
  ByteBudget budget(10 * kMegabyte);
  ByteBudget::Share large(budget);
  ByteBudget::Share other(budget);
  CHECK(large.Grow(7 * kMegabyte) == Outcome::Granted);
  CHECK(other.Grow(3 * kMegabyte) == Outcome::Granted);
  CHECK(other.Grow(kMegabyte) == Outcome::Wait);
  CHECK(large.Grow(kMegabyte) == Outcome::Denied);
  CHECK(large.Size() == 7 * kMegabyte);
  large.Release();
  CHECK(other.Grow(kMegabyte) == Outcome::Granted);
}

TEST_CASE("byte budget: a message larger than the whole budget is denied", "[limits]")
{
  ByteBudget budget(kMegabyte);
  ByteBudget::Share share(budget);
  CHECK(share.Grow(2 * kMegabyte) == Outcome::Denied);
  CHECK(budget.Used() == 0);
}

TEST_CASE("byte budget: small messages pass while large ones wait", "[limits]")
{
  ByteBudget budget(kMegabyte);
  ByteBudget::Share large(budget);
  REQUIRE(large.Grow(kMegabyte) == Outcome::Granted);
  std::list<ByteBudget::Share> small;
  for (int i = 0; i < 100; ++i) {
    CHECK(small.emplace_back(budget).Grow(ByteBudget::kSmallShare) == Outcome::Granted);
    CHECK(small.back().Grow(1) == Outcome::Wait);
  }
  CHECK(budget.Used() == kMegabyte + 100 * ByteBudget::kSmallShare);
}

TEST_CASE("byte budget: somebody can always go on", "[limits]")
{
  ByteBudget budget(10 * kMegabyte);
  std::list<ByteBudget::Share> shares;
  for (int i = 0; i < 50; ++i) {
    shares.emplace_back(budget);
  }
  bool moved = true;
  int denied = 0;
  for (int round = 0; round < 1000 && moved; ++round) {
    moved = false;
    for (ByteBudget::Share& share : shares) {
      const Outcome outcome = share.Grow(100'000);
      moved = moved || outcome != Outcome::Wait;
      if (outcome == Outcome::Denied) {
        share.Release();
        ++denied;
      }
    }
    CHECK(budget.Used() <= budget.Limit() + 50 * ByteBudget::kSmallShare);
  }
  CHECK(moved);
  CHECK(denied > 0);
}
