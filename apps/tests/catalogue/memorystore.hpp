#ifndef SAMPHIRESAIL_APPS_TESTS_CATALOGUE_MEMORYSTORE_HPP
#define SAMPHIRESAIL_APPS_TESTS_CATALOGUE_MEMORYSTORE_HPP

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <variant>

#include "components/store/keyvaluestore.hpp"

namespace samphiresail::tests {

/// What happens to one call of MemoryStore.
enum class StoreFault
{
  None,
  NotSent,
  /// The answer is lost and the request did not take effect.
  LostRequest,
  /// The answer is lost after the request took effect.
  LostAnswer,
};

/// Key-value service in memory with transactions and faults planned for each call.
class MemoryStore
{
public:
  store::StoreReply Execute(const store::StoreRequest& aRequest,
                            std::chrono::milliseconds)
  {
    StoreFault fault = StoreFault::None;
    if (!mFaults.empty()) {
      fault = mFaults.front();
      mFaults.pop_front();
    }
    if (fault == StoreFault::NotSent) {
      return { .mOutcome = store::StoreOutcome::NotSent };
    }
    if (fault == StoreFault::LostRequest) {
      return { .mOutcome = store::StoreOutcome::Unknown };
    }
    store::StoreReply reply = Apply(aRequest);
    if (fault == StoreFault::LostAnswer) {
      reply = { .mOutcome = store::StoreOutcome::Unknown };
    }
    if (mAfterCall) {
      mAfterCall();
    }
    return reply;
  }

  /// Faults of the next calls, in order; later calls have none.
  std::deque<StoreFault> mFaults;
  /// Runs after each call that reached the store.
  std::function<void()> mAfterCall;
  std::map<std::string, store::KeyValue> mRecords;
  std::int64_t mRevision{ 0 };

private:
  store::StoreReply Apply(const store::StoreRequest& aRequest)
  {
    store::StoreReply reply{ .mOutcome = store::StoreOutcome::Answered };
    if (const auto* range = std::get_if<store::RangeRequest>(&aRequest)) {
      Read(*range, reply);
    } else if (const auto* swap = std::get_if<store::TransactionRequest>(&aRequest)) {
      Swap(*swap, reply);
    }
    reply.mRevision = mRevision;
    return reply;
  }

  void Read(const store::RangeRequest& aRange, store::StoreReply& aReply)
  {
    for (const auto& [key, record] : mRecords) {
      const bool inside = aRange.mRangeEnd.empty()
                            ? key == aRange.mKey
                            : key >= aRange.mKey && key < aRange.mRangeEnd;
      if (inside) {
        aReply.mRecords.push_back(record);
      }
    }
  }

  void Swap(const store::TransactionRequest& aSwap, store::StoreReply& aReply)
  {
    aReply.mSucceeded =
      std::ranges::all_of(aSwap.mCompares, [&](const store::Compare& aCompare) {
        const auto it = mRecords.find(aCompare.mKey);
        const std::int64_t held = it == mRecords.end() ? 0 : it->second.mModRevision;
        return held == aCompare.mModRevision;
      });
    if (!aReply.mSucceeded) {
      return;
    }
    ++mRevision;
    for (const store::WriteOperation& write : aSwap.mWrites) {
      if (const auto* put = std::get_if<store::PutOperation>(&write)) {
        mRecords[put->mKey] = { put->mKey, put->mValue, mRevision, mRevision };
      } else {
        mRecords.erase(std::get<store::DeleteOperation>(write).mKey);
      }
    }
  }
};

static_assert(store::KeyValueStore<MemoryStore>);

}

#endif
