#include "apps/samphiresail/entry/control/recordpoller.hpp"

#include <algorithm>

#include "components/store/storekeys.hpp"

namespace samphiresail::entry {

namespace {

using namespace std::chrono_literals;

/// Reads of entries that ask another for evidence are this many times rarer.
constexpr int kSeldomFactor = 4;
constexpr timing::Duration kFullInterval = 10s;
/// The planner looks for entries that have ended more often.
constexpr timing::Duration kEntriesInterval = 2s;
constexpr timing::Duration kKeepersInterval = 2s;
constexpr std::uint32_t kMaxBackoff = 4;
/// After this time a read whose reply was lost is begun anew.
constexpr timing::Duration kReadTimeout = 5s;

/// The agents, the configuration and the entries are neighbours in the key order, and so
/// are the rights and the roster.
constexpr char kDirectoryBegin[] = "/samphiresail/agents/";
constexpr char kDirectoryEnd[] = "/samphiresail/entries0";
constexpr char kRecordsBegin[] = "/samphiresail/rights";
constexpr char kRecordsEnd[] = "/samphiresail/roster0";

}

RecordPoller::RecordPoller(ControlState& aState, Outbox& aOutbox)
  : mState(aState)
  , mOutbox(aOutbox)
{
}

void RecordPoller::Tick(timing::Instant aNow)
{
  if (mBegan && aNow - *mBegan > kReadTimeout) {
    Fail(aNow);
  }
  if (!mBegan && (!mNextPoll || *mNextPoll <= aNow)) {
    Begin(aNow);
  }
}

void RecordPoller::Begin(timing::Instant aNow)
{
  mBegan = aNow;
  mFull = !mLastFull || aNow - *mLastFull >= kFullInterval;
  Read(StorePurpose::PollDirectory, aNow);
}

void RecordPoller::Read(StorePurpose aPurpose, timing::Instant aNow)
{
  store::RangeRequest range;
  switch (aPurpose) {
    case StorePurpose::PollDirectory:
      range = { kDirectoryBegin, kDirectoryEnd, mFull ? 0 : mDirectoryRevision };
      break;
    case StorePurpose::PollEntries:
      range = { store::kEntryPrefix, store::PrefixEnd(store::kEntryPrefix), 0 };
      break;
    case StorePurpose::PollKeepers:
      range = { store::kKeepersKey, {}, mKeepersRevision };
      break;
    default:
      range = { kRecordsBegin, kRecordsEnd, mRecordsRevision };
      break;
  }
  mOutbox.Call(aPurpose, range, aNow);
}

void RecordPoller::OnReply(const PendingCall& aCall,
                           const store::StoreReply& aReply,
                           timing::Instant aNow)
{
  if (!mBegan || aCall.mBegin < *mBegan) {
    return;
  }
  if (aReply.mOutcome != store::StoreOutcome::Answered) {
    Fail(aNow);
    return;
  }
  switch (aCall.mPurpose) {
    case StorePurpose::PollDirectory:
      if (!Take(aReply, mDirectoryRevision)) {
        Fail(aNow);
        return;
      }
      if (mFull) {
        mState.KeepOnly(aReply.mRecords, true);
        mLastFull = mLastEntries = aNow;
      }
      Read(StorePurpose::PollRecords, aNow);
      return;
    case StorePurpose::PollRecords:
      if (!Take(aReply, mRecordsRevision)) {
        Fail(aNow);
        return;
      }
      mState.mFreshnessTracker.OnStoreRead(*mBegan);
      mState.mLastStoreRead = *mBegan;
      break;
    case StorePurpose::PollEntries:
      std::ranges::for_each(aReply.mRecords, [&](const store::KeyValue& aRecord) {
        mState.TakeFromStore(aRecord);
      });
      mState.KeepOnly(aReply.mRecords, false);
      mLastEntries = aNow;
      break;
    default:
      Take(aReply, mKeepersRevision);
      mLastKeepers = aNow;
      break;
  }
  if (mState.IsPlanner(aNow) &&
      (!mLastEntries || aNow - *mLastEntries >= kEntriesInterval)) {
    Read(StorePurpose::PollEntries, aNow);
  } else if (!mLastKeepers || aNow - *mLastKeepers >= kKeepersInterval) {
    Read(StorePurpose::PollKeepers, aNow);
  } else {
    Finish(aNow);
  }
}

bool RecordPoller::Take(const store::StoreReply& aReply, std::int64_t& aNextRevision)
{
  const auto unread =
    std::ranges::count_if(aReply.mRecords, [&](const store::KeyValue& aRecord) {
      return !mState.TakeFromStore(aRecord);
    });
  if (unread > 0) {
    return false;
  }
  aNextRevision = std::max(aNextRevision, aReply.mRevision + 1);
  return true;
}

void RecordPoller::Fail(timing::Instant aNow)
{
  mBegan.reset();
  mFailures = std::min(mFailures + 1, kMaxBackoff);
  mNextPoll = aNow + mState.mSettings.mPollInterval * mFailures;
}

void RecordPoller::Finish(timing::Instant aNow)
{
  mFailures = 0;
  mNextPoll = *mBegan + Interval(aNow);
  mBegan.reset();
}

timing::Duration RecordPoller::Interval(timing::Instant aNow) const
{
  const auto relay = mState.FirstFor("relay", &mState.Self().mAvailabilityZone, aNow);
  const bool reads = !relay || relay->IsSame(mState.Self()) || mState.IsPlanner(aNow);
  return reads ? mState.mSettings.mPollInterval
               : mState.mSettings.mPollInterval * kSeldomFactor;
}

}
