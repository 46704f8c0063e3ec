#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_SCHEDULER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_SCHEDULER_HPP

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "apps/samphiresail/agent/agentstate.hpp"
#include "components/admission/admissionqueue.hpp"
#include "components/admission/batchslack.hpp"

namespace samphiresail::agent {

/// Decides which accepted attempt the back end gets next.
template<admission::AdmissionQueue Queue>
class Scheduler
{
public:
  explicit Scheduler(AgentState& aState)
    : mState(aState)
    , mQueue({ kFirstCapacity })
  {
  }

  /// Puts an attempt into the queue, or returns why there is no place for it.
  std::optional<wire::RefuseReason> Enqueue(const attempts::Attempt& aAttempt,
                                            timing::Instant aNow)
  {
    const bool busy = mState.mSlots.InFlight() >= mState.mGate.InFlightLimit(aNow);
    if (busy && mState.mGate.IsCold(aNow) &&
        mQueue.Size() >= mState.mGate.QueueLimit(aNow)) {
      return wire::COLD_LIMIT;
    }
    const auto result = mQueue.Push({ .mAttempt = aAttempt.mId,
                                      .mClass = aAttempt.mClass,
                                      .mAccount = aAttempt.mAccount,
                                      .mWeight = aAttempt.mWeight,
                                      .mDeadline = aAttempt.mDeadline,
                                      .mCost = aAttempt.mCost,
                                      .mModel = aAttempt.mModel },
                                    aNow);
    mState.mQueued = mQueue.Size();
    switch (result) {
      case admission::PushResult::Accepted:
        return std::nullopt;
      case admission::PushResult::Expired:
        return wire::DEADLINE;
      default:
        return wire::QUEUE_FULL;
    }
  }

  /// Takes the attempt that starts next, or nullptr if none may start now.
  attempts::Attempt* Next(timing::Instant aNow)
  {
    if (mState.mSlots.InFlight() >= mState.mGate.InFlightLimit(aNow)) {
      return nullptr;
    }
    const auto mayStart = [&](const admission::QueueItem& aItem) {
      return MayStart(aItem, aNow);
    };
    const auto item = mQueue.Pop(aNow, mayStart);
    mState.mQueued = mQueue.Size();
    return item ? mState.mAttempts.Find(item->mAttempt) : nullptr;
  }

  void Remove(const ids::AttemptId& aAttempt)
  {
    mQueue.Remove(aAttempt);
    mState.mQueued = mQueue.Size();
  }

  /// Returns the attempts that left the queue without being started.
  std::vector<admission::DroppedItem> TakeDropped(timing::Instant aNow)
  {
    auto dropped = mQueue.TakeDropped(aNow);
    mState.mQueued = mQueue.Size();
    return dropped;
  }

  /// Changes the capacity; nothing that waits is dropped.
  void Resize(std::size_t aCapacity) { mQueue.SetCapacity(aCapacity); }

private:
  /// Capacity until the pool's limits are known.
  static constexpr std::size_t kFirstCapacity = 1;

  /// Returns true if the model's knee and the class leave a slot for the item.
  bool MayStart(const admission::QueueItem& aItem, timing::Instant aNow) const
  {
    const catalogue::Model* model = mState.FindModel(aItem.mModel);
    if (model != nullptr && model->mKnee > 0 &&
        mState.mSlots.InFlight(aItem.mModel) >= model->mKnee) {
      return false;
    }
    return aItem.mClass != catalogue::RequestClass::Batch ||
           admission::BatchFits({ .mInFlight = mState.mSlots.InFlight(),
                                  .mBatchInFlight = mState.mSlots.BatchInFlight(),
                                  .mLimit = mState.mGate.InFlightLimit(aNow) });
  }

  AgentState& mState;
  Queue mQueue;
};

}

#endif
