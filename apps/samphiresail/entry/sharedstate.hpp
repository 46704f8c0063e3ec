#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_SHAREDSTATE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_SHAREDSTATE_HPP

#include <atomic>
#include <memory>
#include <mutex>

#include "apps/samphiresail/entry/routingsnapshot.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::entry {

/// What the control thread publishes for the traffic threads.
class SharedState
{
public:
  explicit SharedState(timing::Duration aInTouchLimit)
    : mInTouchLimit(aInTouchLimit)
  {
  }

  /// Returns the newest snapshot; nullptr until the first one is published.
  SnapshotPointer Snapshot() const
  {
    const std::lock_guard lock(mMutex);
    return mSnapshot;
  }

  void Publish(SnapshotPointer aSnapshot)
  {
    const std::lock_guard lock(mMutex);
    mSnapshot = std::move(aSnapshot);
  }

  /// Records an instant such that every change accepted before it is in the snapshot.
  void SetEvidence(timing::Instant aEvidence) { mEvidence.store(aEvidence); }

  /// Returns whether requests that need a key or a limit may be served.
  bool IsInTouch(timing::Instant aNow) const
  {
    return aNow - mEvidence.load() < mInTouchLimit;
  }

  /// States that rate credit can be had.
  void SetHasCredit() { mHasCredit.store(true); }
  bool HasCredit() const { return mHasCredit.load(); }

  void BeginStop() { mStopping.store(true); }
  bool IsStopping() const { return mStopping.load(); }

private:
  timing::Duration mInTouchLimit;
  mutable std::mutex mMutex;
  SnapshotPointer mSnapshot;
  std::atomic<timing::Instant> mEvidence{ timing::Instant{} };
  std::atomic<bool> mHasCredit{ false };
  std::atomic<bool> mStopping{ false };
};

}

#endif
