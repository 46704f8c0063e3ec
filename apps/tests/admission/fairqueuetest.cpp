#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>
#include <string>

#include "components/admission/batchslack.hpp"
#include "components/admission/fairqueue.hpp"
#include "components/admission/fifoqueue.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using admission::FairQueue;
using admission::PushResult;
using admission::QueueItem;
using catalogue::RequestClass;

namespace {

const timing::Instant kNow{ 1h };

QueueItem Item(const std::string& aAttempt,
               RequestClass aClass,
               const std::string& aAccount,
               timing::Duration aDeadline = 10s,
               std::int64_t aCost = 100)
{
  return { ids::AttemptId(aAttempt),
           aClass,
           ids::ClientAccountId(aAccount),
           1,
           kNow + aDeadline,
           units::Tokens(aCost),
           ids::ModelId("m") };
}

std::string PopName(FairQueue& aQueue, const admission::ItemFilter& aFilter = {})
{
  const auto item = aQueue.Pop(kNow, aFilter);
  return item ? item->mAttempt.Str() : "";
}

}

TEST_CASE("fair queue serves the class first and then the deadline")
{
  FairQueue queue({ .mCapacity = 10 });
  queue.Push(Item("batch", RequestClass::Batch, "a", 1s), kNow);
  queue.Push(Item("short", RequestClass::Short, "a", 1s), kNow);
  queue.Push(Item("late", RequestClass::Urgent, "a", 9s), kNow);
  queue.Push(Item("soon", RequestClass::Urgent, "a", 2s), kNow);
  CHECK(PopName(queue) == "soon");
  CHECK(PopName(queue) == "late");
  CHECK(PopName(queue) == "short");
  CHECK(PopName(queue) == "batch");
  CHECK(PopName(queue).empty());
}

TEST_CASE("fair queue shares a class by weight between backlogged accounts")
{
  FairQueue queue({ .mCapacity = 1000 });
  for (int it = 0; it < 300; ++it) {
    auto heavy = Item("h" + std::to_string(it), RequestClass::Streamed, "heavy");
    heavy.mWeight = 2;
    queue.Push(heavy, kNow);
  }
  for (int it = 0; it < 100; ++it) {
    queue.Push(Item("l" + std::to_string(it), RequestClass::Streamed, "light"), kNow);
  }
  std::map<std::string, int> served;
  for (int it = 0; it < 90; ++it) {
    ++served[queue.Pop(kNow, {})->mAccount.Str()];
  }
  CHECK(served["heavy"] == Approx(60).margin(1));
  CHECK(served["light"] == Approx(30).margin(1));
}

TEST_CASE("fair queue does not let an account save up its share while it is idle")
{
  FairQueue queue({ .mCapacity = 1000 });
  for (int it = 0; it < 100; ++it) {
    queue.Push(Item("b" + std::to_string(it), RequestClass::Streamed, "busy"), kNow);
  }
  for (int it = 0; it < 50; ++it) {
    queue.Pop(kNow, {});
  }
  for (int it = 0; it < 50; ++it) {
    queue.Push(Item("n" + std::to_string(it), RequestClass::Streamed, "newcomer"), kNow);
  }
  std::map<std::string, int> served;
  for (int it = 0; it < 20; ++it) {
    ++served[queue.Pop(kNow, {})->mAccount.Str()];
  }
  CHECK(served["busy"] == Approx(10).margin(1));
}

TEST_CASE("fair queue gives batch its guaranteed minimum under endless urgent work")
{
  FairQueue queue({ .mCapacity = 100 });
  int batchServed = 0;
  int next = 0;
  queue.Push(Item("batch", RequestClass::Batch, "b"), kNow);
  queue.Push(Item("batch0", RequestClass::Batch, "b"), kNow);
  for (int it = 0; it < 1000; ++it) {
    while (queue.Size() < 10) {
      queue.Push(Item("u" + std::to_string(next++), RequestClass::Urgent, "a"), kNow);
    }
    const auto item = queue.Pop(kNow, {});
    if (item->mClass == RequestClass::Batch) {
      ++batchServed;
      queue.Push(Item("batch" + std::to_string(it + 1), RequestClass::Batch, "b"), kNow);
    }
  }
  CHECK(batchServed == Approx(50).margin(2));
}

TEST_CASE("fair queue skips an item that the filter holds back")
{
  FairQueue queue({ .mCapacity = 10 });
  auto blocked = Item("blocked", RequestClass::Urgent, "a");
  blocked.mModel = ids::ModelId("adapter");
  queue.Push(blocked, kNow);
  queue.Push(Item("free", RequestClass::Short, "b"), kNow);
  const auto filter = [](const QueueItem& aItem) {
    return aItem.mModel != ids::ModelId("adapter");
  };
  CHECK(PopName(queue, filter) == "free");
  CHECK(PopName(queue, filter).empty());
  CHECK(PopName(queue) == "blocked");
}

TEST_CASE(
  "a full fair queue displaces items for a higher class and for a smaller account")
{
  FairQueue queue({ .mCapacity = 3 });
  queue.Push(Item("b", RequestClass::Batch, "a"), kNow);
  queue.Push(Item("s1", RequestClass::Streamed, "large", 5s), kNow);
  queue.Push(Item("s2", RequestClass::Streamed, "large", 6s), kNow);
  CHECK(queue.Push(Item("s3", RequestClass::Streamed, "large"), kNow) ==
        PushResult::Accepted);
  CHECK(queue.Push(Item("s4", RequestClass::Streamed, "large"), kNow) ==
        PushResult::Full);
  CHECK(queue.Push(Item("b2", RequestClass::Batch, "small"), kNow) == PushResult::Full);
  CHECK(queue.Push(Item("s5", RequestClass::Streamed, "small"), kNow) ==
        PushResult::Accepted);
  const auto dropped = queue.TakeDropped(kNow);
  REQUIRE(dropped.size() == 2);
  CHECK(dropped.at(0).mItem.mAttempt.Str() == "b");
  CHECK(dropped.at(1).mItem.mAttempt.Str() == "s3");
  CHECK(dropped.at(1).mCause == admission::DropCause::Displaced);
  CHECK(queue.Size() == 3);
}

TEST_CASE("fair queue reports expired items once and rejects expired and duplicate ones")
{
  FairQueue queue({ .mCapacity = 3 });
  queue.Push(Item("x", RequestClass::Short, "a", 1s), kNow);
  queue.Push(Item("y", RequestClass::Short, "a", 5s), kNow);
  CHECK(queue.Push(Item("y", RequestClass::Short, "a"), kNow) == PushResult::Duplicate);
  CHECK(queue.Push(Item("z", RequestClass::Short, "a", 0s), kNow) == PushResult::Expired);
  const auto dropped = queue.TakeDropped(kNow + 1s);
  REQUIRE(dropped.size() == 1);
  CHECK(dropped.front().mItem.mAttempt.Str() == "x");
  CHECK(queue.TakeDropped(kNow + 1s).empty());
  CHECK(queue.Remove(ids::AttemptId("y")));
  CHECK_FALSE(queue.Remove(ids::AttemptId("y")));
  CHECK(queue.Size() == 0);
}

TEST_CASE("fair queue neither loses nor duplicates an item")
{
  const unsigned seed = GENERATE(range(1U, 30U));
  CAPTURE(seed);
  std::mt19937 generator(seed);
  FairQueue queue({ .mCapacity = 20 });
  std::set<std::string> waiting;
  timing::Instant now = kNow;
  for (int it = 0; it < 2000; ++it) {
    now += std::chrono::milliseconds(generator() % 50);
    const auto kind = generator() % 3;
    if (kind == 0) {
      auto item = Item("i" + std::to_string(it),
                       static_cast<RequestClass>(generator() % 5),
                       std::string(1, static_cast<char>('a' + generator() % 4)));
      item.mDeadline = now + std::chrono::milliseconds(generator() % 2000);
      if (queue.Push(item, now) == PushResult::Accepted) {
        waiting.insert(item.mAttempt.Str());
      }
    } else if (kind == 1) {
      if (const auto item = queue.Pop(now, {})) {
        REQUIRE(item->mDeadline > now);
        REQUIRE(waiting.erase(item->mAttempt.Str()) == 1);
      }
    } else if (!waiting.empty() && queue.Remove(ids::AttemptId(*waiting.begin()))) {
      waiting.erase(waiting.begin());
    }
    for (const auto& dropped : queue.TakeDropped(now)) {
      REQUIRE(waiting.erase(dropped.mItem.mAttempt.Str()) == 1);
    }
    REQUIRE(waiting.size() == queue.Size());
    REQUIRE(queue.Size() <= 20);
  }
}

TEST_CASE("first-in first-out queue keeps the order of arrival")
{
  admission::FifoQueue queue(2);
  queue.Push(Item("first", RequestClass::Batch, "a"), kNow);
  queue.Push(Item("second", RequestClass::Urgent, "b"), kNow);
  CHECK(queue.Push(Item("third", RequestClass::Urgent, "b"), kNow) == PushResult::Full);
  CHECK(queue.Pop(kNow, {})->mAttempt.Str() == "first");
  CHECK(queue.TakeDropped(kNow + 10s).size() == 1);
  CHECK(queue.Size() == 0);
}

TEST_CASE("batch may use one slot at any load and more only in the slack")
{
  CHECK(admission::BatchFits({ 7, 0, 8 }));
  CHECK_FALSE(admission::BatchFits({ 8, 0, 8 }));
  CHECK(admission::BatchFits({ 5, 5, 8 }));
  CHECK_FALSE(admission::BatchFits({ 6, 1, 8 }));
}

TEST_CASE("an account above its fair share cannot starve the lower classes of the others")
{
  FairQueue queue({ .mCapacity = 200 });
  int next = 0;
  int served = 0;
  for (int it = 0; it < 400; ++it) {
    while (queue.Size() < 50) {
      queue.Push(Item("u" + std::to_string(next++), RequestClass::Urgent, "large"), kNow);
    }
    if (it % 4 == 0) {
      queue.Push(Item("s" + std::to_string(it), RequestClass::Short, "small"), kNow);
    }
    served += queue.Pop(kNow, {})->mAccount.Str() == "small" ? 1 : 0;
  }
  CHECK(served > 80);
}

TEST_CASE("a smaller capacity drops nothing and still reports what expired")
{
  FairQueue queue({ .mCapacity = 4 });
  queue.Push(Item("x", RequestClass::Short, "a", 1s), kNow);
  queue.Push(Item("y", RequestClass::Short, "a", 5s), kNow);
  queue.SetCapacity(1);
  CHECK(queue.Size() == 2);
  CHECK(queue.Push(Item("z", RequestClass::Short, "a"), kNow) == PushResult::Full);
  CHECK(queue.TakeDropped(kNow + 2s).size() == 1);
}

TEST_CASE("a full fair queue displaces no lower class of the others for an account above "
          "its fair share")
{
  FairQueue queue({ .mCapacity = 30 });
  int next = 0;
  const auto push = [&](RequestClass aClass, const std::string& aAccount) {
    return queue.Push(Item("i" + std::to_string(next++), aClass, aAccount), kNow);
  };
  for (int it = 0; it < 5; ++it) {
    push(RequestClass::Short, "small");
  }
  // The small account waits while the large one is served far above its fair share.
  for (int it = 0; it < 25; ++it) {
    push(RequestClass::Streamed, "large");
    queue.Pop(kNow, [](const QueueItem& aItem) {
      return aItem.mAccount == ids::ClientAccountId("large");
    });
  }
  while (queue.Size() < 30) {
    push(RequestClass::Streamed, "large");
  }
  CHECK(push(RequestClass::Streamed, "large") == PushResult::Full);
  CHECK(queue.TakeDropped(kNow).empty());
  CHECK(push(RequestClass::Short, "small") == PushResult::Accepted);
  const auto dropped = queue.TakeDropped(kNow);
  REQUIRE(dropped.size() == 1);
  CHECK(dropped.front().mItem.mAccount.Str() == "large");
}
