#include <catch2/catch.hpp>

#include "apps/samphiresail/entry/callerslots.hpp"

namespace {

using namespace samphiresail;
using entry::CallerSlots;

std::size_t EnterAll(CallerSlots& aSlots, const std::string& aAccount, std::size_t aTries)
{
  std::size_t entered = 0;
  for (std::size_t n = 0; n < aTries; ++n) {
    entered += aSlots.TryEnter(ids::ClientAccountId(aAccount)) ? 1 : 0;
  }
  return entered;
}

}

TEST_CASE("one account's requests leave slots for the others")
{
  CallerSlots slots(128);
  CHECK(EnterAll(slots, "federation", 1000) == 96);
  CHECK(EnterAll(slots, "club-a", 10) == 10);
  CHECK(EnterAll(slots, "club-b", 10) == 10);
  CHECK(EnterAll(slots, "federation", 10) == 0);
  CHECK(slots.Taken() == 116);
}

TEST_CASE("slots that were left can be taken again")
{
  CallerSlots slots(4);
  const ids::ClientAccountId account("depots");
  for (int n = 0; n < 10; ++n) {
    const entry::CallerSlot slot(slots, account);
    CHECK(slot.IsTaken());
  }
  CHECK(slots.Taken() == 0);
}
