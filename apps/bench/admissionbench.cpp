#include <benchmark/benchmark.h>

#include <chrono>
#include <random>
#include <string>

#include "components/admission/fairqueue.hpp"
#include "components/admission/fifoqueue.hpp"

namespace {

using namespace samphiresail;
using namespace std::chrono_literals;

const timing::Instant kNow{ 1h };

admission::QueueItem Item(std::mt19937_64& aGenerator, std::uint64_t aNumber)
{
  return { .mAttempt = ids::AttemptId("attempt-" + std::to_string(aNumber)),
           .mClass = static_cast<catalogue::RequestClass>(aGenerator() % 5),
           .mAccount =
             ids::ClientAccountId("account-" + std::to_string(aGenerator() % 20)),
           .mWeight = 1,
           .mDeadline = kNow + std::chrono::milliseconds(1 + aGenerator() % 10000),
           .mCost = units::Tokens(static_cast<std::int64_t>(1 + aGenerator() % 1000)),
           .mModel = ids::ModelId("model") };
}

/// One push and one pop of a queue that holds the given number of items.
template<typename Queue>
void PushAndPop(benchmark::State& aState, Queue& aQueue)
{
  std::mt19937_64 generator(3);
  std::uint64_t number = 0;
  for (std::int64_t it = 0; it < aState.range(0); ++it) {
    aQueue.Push(Item(generator, number++), kNow);
  }
  for (auto _ : aState) {
    aQueue.Push(Item(generator, number++), kNow);
    benchmark::DoNotOptimize(aQueue.Pop(kNow, {}));
  }
}

void FairQueuePushPop(benchmark::State& aState)
{
  admission::FairQueue queue(
    { .mCapacity = static_cast<std::size_t>(aState.range(0)) + 1 });
  PushAndPop(aState, queue);
}

void FifoQueuePushPopBaseline(benchmark::State& aState)
{
  admission::FifoQueue queue(static_cast<std::size_t>(aState.range(0)) + 1);
  PushAndPop(aState, queue);
}

BENCHMARK(FairQueuePushPop)->Arg(16)->Arg(64)->Arg(1024);
BENCHMARK(FifoQueuePushPopBaseline)->Arg(16)->Arg(64)->Arg(1024);

}
