#include "apps/load/trials/queuetrial.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <vector>

#include "apps/load/trials/eventqueue.hpp"
#include "components/admission/batchslack.hpp"
#include "components/admission/fairqueue.hpp"
#include "components/admission/fifoqueue.hpp"

namespace samphiresail::load {

namespace {

using namespace std::chrono_literals;
using catalogue::RequestClass;

constexpr std::uint32_t kSlots = 32;
constexpr std::size_t kQueued = 128;
constexpr double kServiceSeconds = 0.4;
constexpr std::array<const char*, 5> kAccounts{ "federation",
                                                "club-a",
                                                "club-b",
                                                "club-c",
                                                "club-d" };

/// Longest wait for a slot that still counts as in time.
timing::Duration WaitLimit(RequestClass aClass)
{
  switch (aClass) {
    case RequestClass::Urgent:
      return 300ms;
    case RequestClass::Streamed:
      return 500ms;
    case RequestClass::Short:
    case RequestClass::Irreversible:
      return 2s;
    case RequestClass::Batch:
      break;
  }
  return 30s;
}

RequestClass DrawClass(std::mt19937_64& aGenerator)
{
  constexpr std::array kClasses{ RequestClass::Urgent,   RequestClass::Urgent,
                                 RequestClass::Urgent,   RequestClass::Streamed,
                                 RequestClass::Streamed, RequestClass::Streamed,
                                 RequestClass::Streamed, RequestClass::Short,
                                 RequestClass::Short,    RequestClass::Irreversible };
  return kClasses.at(aGenerator() % kClasses.size());
}

template<typename Queue>
class Endpoint
{
public:
  Endpoint(Queue aQueue, const QueueTrialOptions& aOptions, QueueTrialResult& aResult)
    : mQueue(std::move(aQueue))
    , mOptions(aOptions)
    , mResult(aResult)
    , mGenerator(aOptions.mSeed)
  {
  }

  void Run()
  {
    const timing::Instant end = mEvents.Now() + std::chrono::seconds(mOptions.mSeconds);
    const double capacity = kSlots / kServiceSeconds;
    const double each = capacity * mOptions.mLoad / kAccounts.size();
    for (const char* account : kAccounts) {
      const bool excess = account == kAccounts.front();
      Arrivals(account, each * (excess ? mOptions.mExcess : 1.0), false, end);
    }
    Arrivals("overnight", capacity * mOptions.mBatch, true, end);
    mEvents.RunUntil(end + 40s);
  }

private:
  /// Schedules bursty arrivals one after the other.
  void Arrivals(const std::string& aAccount,
                double aPerSecond,
                bool aBatch,
                timing::Instant aEnd)
  {
    if (aPerSecond <= 0.0) {
      return;
    }
    // Every tenth arrival brings up to four more at the same instant; the gaps grow so
    // that the mean stays.
    constexpr double kMeanGroup = 1.2;
    std::exponential_distribution<double> gap(aPerSecond / kMeanGroup);
    const auto next = mEvents.Now() + std::chrono::duration_cast<timing::Duration>(
                                        std::chrono::duration<double>(gap(mGenerator)));
    if (next > aEnd) {
      return;
    }
    const std::size_t group = mGenerator() % 10 == 0 ? 1 + mGenerator() % 5 : 1;
    mEvents.At(next, [this, aAccount, aPerSecond, aBatch, aEnd, group] {
      for (std::size_t it = 0; it < group; ++it) {
        Arrive(aAccount, aBatch ? RequestClass::Batch : DrawClass(mGenerator));
      }
      Arrivals(aAccount, aPerSecond, aBatch, aEnd);
    });
  }

  void Arrive(const std::string& aAccount, RequestClass aClass)
  {
    admission::QueueItem item;
    item.mAttempt = ids::AttemptId(std::to_string(mNext++));
    item.mClass = aClass;
    item.mAccount = ids::ClientAccountId(aAccount);
    item.mDeadline = mEvents.Now() + WaitLimit(aClass);
    item.mCost = units::Tokens(static_cast<std::int64_t>(100 + mGenerator() % 800));
    ++mResult.mByClass[aClass].mRequests;
    if (aClass != RequestClass::Batch) {
      ++mResult.mByAccount[aAccount].mRequests;
    }
    mQueue.Push(item, mEvents.Now());
    Serve();
  }

  void Serve()
  {
    const auto fits = [this](const admission::QueueItem& aItem) {
      return mOptions.mPolicy == QueuePolicy::FirstInFirstOut ||
             aItem.mClass != RequestClass::Batch ||
             admission::BatchFits({ mInFlight, mBatchInFlight, kSlots });
    };
    while (mInFlight < kSlots) {
      const auto item = mQueue.Pop(mEvents.Now(), fits);
      if (!item) {
        return;
      }
      Start(*item);
    }
  }

  void Start(const admission::QueueItem& aItem)
  {
    const bool batch = aItem.mClass == RequestClass::Batch;
    ++mInFlight;
    mBatchInFlight += batch ? 1 : 0;
    ++mResult.mByClass[aItem.mClass].mInTime;
    if (!batch) {
      ++mResult.mByAccount[aItem.mAccount.Str()].mInTime;
    }
    // The service time follows the token cost, whose mean is 500.
    const double seconds =
      kServiceSeconds * static_cast<double>(aItem.mCost.Count()) / 500.0;
    mEvents.After(std::chrono::duration_cast<timing::Duration>(
                    std::chrono::duration<double>(seconds)),
                  [this, batch] {
                    --mInFlight;
                    mBatchInFlight -= batch ? 1 : 0;
                    Serve();
                  });
  }

  EventQueue mEvents;
  Queue mQueue;
  QueueTrialOptions mOptions;
  QueueTrialResult& mResult;
  std::mt19937_64 mGenerator;
  std::uint64_t mNext{ 0 };
  std::uint32_t mInFlight{ 0 };
  std::uint32_t mBatchInFlight{ 0 };
};

}

QueueTrialResult RunQueueTrial(const QueueTrialOptions& aOptions)
{
  QueueTrialResult result;
  if (aOptions.mPolicy == QueuePolicy::Fair) {
    Endpoint(admission::FairQueue({ .mCapacity = kQueued }), aOptions, result).Run();
  } else {
    Endpoint(admission::FifoQueue(kQueued), aOptions, result).Run();
  }
  return result;
}

}
