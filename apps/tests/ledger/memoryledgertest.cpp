#include <catch2/catch.hpp>

#include "components/ledger/memoryledger.hpp"

namespace {

using namespace samphiresail;
using namespace std::chrono_literals;
using ledger::MemoryLedger;
using ledger::Order;
using ledger::OrderAction;
using ledger::OrderOutcome;

const timing::Instant kStart{ 1h };
const ids::ModelId kFirst{ "first" };
const ids::ModelId kSecond{ "second" };
constexpr units::Bytes kMemory{ 60 };

Order MakeOrder(std::uint64_t aFencing, OrderAction aAction)
{
  return { .mFencing = units::FencingNumber(aFencing),
           .mAction = aAction,
           .mModel = kFirst,
           .mMemory = kMemory };
}

MemoryLedger MakeLedger(bool aChecksFencing)
{
  MemoryLedger ledger;
  ledger.Configure({ .mCapacity = units::Bytes(100),
                     .mChecksFencing = aChecksFencing,
                     .mLongestOrder = 3s });
  return ledger;
}

void ReserveAndLoad(MemoryLedger& aLedger, OrderOutcome aOutcome)
{
  REQUIRE(aLedger.Reserve(kFirst, kMemory));
  aLedger.RecordOrder(MakeOrder(1, OrderAction::Load), kStart);
  aLedger.OnOrderOutcome(units::FencingNumber(1), aOutcome, kStart + 1s);
}

void ReceiveList(MemoryLedger& aLedger,
                 const std::vector<ids::ModelId>& aModels,
                 timing::Instant aRequestedAt,
                 timing::Instant aNow)
{
  const auto memoryOf = [](const ids::ModelId&) { return std::optional(kMemory); };
  aLedger.OnResidentModels(aModels, memoryOf, aRequestedAt, aNow);
}

}

// A load order without a known outcome may take effect after the engine returned its list
// of resident models. If that list released the memory, it could be reserved twice.
TEST_CASE("memory is held until a list requested after the load order expired",
          "[must-hold]")
{
  MemoryLedger ledger = MakeLedger(false);
  ReserveAndLoad(ledger, OrderOutcome::Unknown);
  ReceiveList(ledger, {}, kStart + 2s, kStart + 4s);
  CHECK(ledger.Occupied() == kMemory);
  CHECK_FALSE(ledger.Reserve(kSecond, kMemory));
  ReceiveList(ledger, {}, kStart + 3100ms, kStart + 4200ms);
  CHECK(ledger.Occupied() == units::Bytes(0));
  CHECK(ledger.Reserve(kSecond, kMemory));
}

// After a confirmed unload, a delayed load order may still load the model again. The
// memory may be reused at once only if the engine rejects orders with an outdated fencing
// number.
TEST_CASE("memory of an unloaded model is free at once only if old orders are refused",
          "[must-hold]")
{
  const bool checksFencing = GENERATE(false, true);
  MemoryLedger ledger = MakeLedger(checksFencing);
  ReserveAndLoad(ledger, OrderOutcome::Confirmed);
  CHECK(ledger.IsResident(kFirst));
  ledger.RecordOrder(MakeOrder(2, OrderAction::Unload), kStart + 1s);
  CHECK_FALSE(ledger.IsResident(kFirst));
  ledger.OnOrderOutcome(units::FencingNumber(2), OrderOutcome::Confirmed, kStart + 2s);
  CHECK(ledger.Reserve(kSecond, kMemory) == checksFencing);
}

TEST_CASE("memory of an order that was not sent is free at once")
{
  MemoryLedger ledger = MakeLedger(false);
  ReserveAndLoad(ledger, OrderOutcome::NotSent);
  CHECK(ledger.Occupied() == units::Bytes(0));
}

TEST_CASE("a model without declared memory occupies the whole endpoint")
{
  MemoryLedger ledger = MakeLedger(false);
  const auto unknown = [](const ids::ModelId&) { return std::optional<units::Bytes>(); };
  ledger.OnResidentModels({ kFirst }, unknown, kStart, kStart);
  CHECK(ledger.Free() == units::Bytes(0));
  ReceiveList(ledger, { kFirst }, kStart + 1s, kStart + 1s);
  CHECK(ledger.Occupied() == kMemory);
}

TEST_CASE("a list requested before a confirmed load does not change what is resident")
{
  MemoryLedger ledger = MakeLedger(true);
  ReserveAndLoad(ledger, OrderOutcome::Confirmed);
  ReceiveList(ledger, {}, kStart, kStart + 2s);
  CHECK(ledger.IsResident(kFirst));
  ReceiveList(ledger, {}, kStart + 2s, kStart + 3s);
  CHECK_FALSE(ledger.IsResident(kFirst));
}
