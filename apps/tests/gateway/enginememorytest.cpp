#include <catch2/catch.hpp>

#include "components/gateway/enginememory.hpp"

using namespace samphiresail;
using namespace samphiresail::gateway;

namespace {

const ids::ModelId kModel("m");
constexpr EngineCapacity kCapacity{ 32, 96000.0 };
constexpr Milliseconds kSlotTime{ 2000.0 };

EngineWork Work(double aPrompt, double aOutput)
{
  return { kModel, aPrompt, aPrompt, aOutput };
}

}

// Guards against counting a stated maximum as certain, which leaves memory unused, and
// against counting too little before anything is known.
TEST_CASE("engine memory: responses count with what they generate, not with their maxima",
          "[gateway]")
{
  EngineMemory memory;
  CHECK(memory.ExpectedTokens(Work(1000, 800)) == 1800.0);
  // Events of 8 tokens; responses of a quarter, a half and all of the stated output.
  for (int i = 0; i < 300; ++i) {
    const double used = i % 50 == 0 ? 1.0 : i % 2 == 0 ? 0.25 : 0.5;
    memory.ObserveOutput(kModel, 800.0, 800.0 * used / 8.0);
  }
  const double expected = memory.ExpectedTokens(Work(1000, 800));
  CHECK(expected > 1250.0);
  CHECK(expected < 1450.0);
  CHECK(memory.ExpectedTokens({ ids::ModelId("other"), 1000, 1000, 800 }) == 1800.0);
}

// Guards against engines that are filled until they preempt requests.
TEST_CASE("engine memory: a request waits until what runs leaves room for it",
          "[gateway]")
{
  const auto wait = [](double aHeld, double aTokens, Milliseconds aBehind) {
    const EngineLoad load{ 20, Milliseconds(0), aHeld };
    const double room = EngineMemory::Room(load, kCapacity, aBehind, kSlotTime);
    return EngineMemory::WaitForRoom(load, room, aTokens, kSlotTime);
  };
  constexpr Milliseconds kNone{ 0.0 };
  CHECK(wait(90000, 6000, kNone) == kNone);
  CHECK(wait(90000, 7000, kNone) > kNone);
  CHECK(wait(95000, 7000, kNone) > wait(90000, 7000, kNone));
  // What becomes free within a tenth of the slot time is left to more urgent requests.
  CHECK(wait(80000, 6000, kSlotTime / 10) == kNone);
  CHECK(wait(85000, 6000, kSlotTime / 10) > kNone);
  // What is larger than an idle engine is tried there, and unknown memory is no limit.
  CHECK(wait(0, 200000, kNone) == kNone);
  CHECK(EngineMemory::Room({ 20, kNone, 1e6 }, { 32, 0.0 }, kNone, kSlotTime) > 1e9);
}
