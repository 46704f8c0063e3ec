#include "components/frontend/forwarder.hpp"

#include <chrono>
#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace samphiresail::frontend {

namespace {

using std::chrono::milliseconds;

/// Pause in the search for a standby once the retry budget is spent.
constexpr milliseconds kNoRetryPause{ 1000 };

}

void Forwarder::StartStandby()
{
  ++mStandbySearches;
  if (!mStandbyChanged) {
    mStandbyChanged.emplace(mContext.mIo);
  }
  asio::co_spawn(
    mContext.mIo, [this] { return RunStandbySearch(); }, asio::detached);
}

asio::awaitable<void> Forwarder::RunStandbySearch()
{
  try {
    co_await SeekStandby();
  } catch (const std::exception& error) {
    mContext.mLogger.Error("search for a standby failed",
                           { { "request", mExchange.mAdmission.mMetadata.mId.Str() },
                             { "error", std::string(error.what()) } });
  }
  --mStandbySearches;
  mStandbyChanged->Notify();
}

asio::awaitable<void> Forwarder::SeekStandby()
{
  gateway::TrafficControl& control = mContext.mControl;
  const gateway::Admission& admission = mExchange.mAdmission;
  bool refused = true;
  while (refused && mExchange.mCurrent->mInFlight && !mExchange.mCurrent->mAborted) {
    const timing::Instant now = mContext.mClock.Now();
    if (mExchange.mAttemptsSent >= admission.mRoute->mMaxAttempts) {
      mExchange.mNextStandbyAt = now + kNoRetryPause;
      break;
    }
    const gateway::Choice choice = control.Begin(admission, mExchange.mTried, now);
    if (choice.mEndpoint == nullptr) {
      if (choice.mReason == gateway::NoEndpoint::AdapterAbsent) {
        mContext.mOnWaitingForAdapter(admission.mMetadata);
      }
      break;
    }
    if (!control.TrySpendRetry(admission, mExchange.mAttemptsSent, now)) {
      control.End(choice.mAttempt, gateway::AttemptEnd::Abandoned, now);
      mExchange.mNextStandbyAt = now + kNoRetryPause;
      break;
    }
    const std::shared_ptr<AttemptState> standby = MakeAttempt(choice);
    standby->mIsStandby = true;
    mExchange.mStandby = standby;
    mContext.mMetrics.mRetries.Increment();
    LogStandby("endpoint is silent, another one is tried", *standby);
    co_await RequestHead(*standby);
    if (standby->mTookOver) {
      break;
    }
    refused = standby->mHead == AttemptState::Head::Refused ||
              standby->mHead == AttemptState::Head::Unreachable;
    const bool accepted =
      standby->mHead == AttemptState::Head::Arrived && standby->IsAnswer();
    if (mExchange.mStandby == standby && (accepted || mExchange.mCurrent->mAborted)) {
      mExchange.HandOver();
      break;
    }
    if (mExchange.mStandby == standby) {
      mExchange.mStandby = nullptr;
    }
    EndStandbyAttempt(*standby);
  }
}

void Forwarder::DropStandby()
{
  if (mExchange.mStandby != nullptr) {
    std::exchange(mExchange.mStandby, nullptr)->Abort();
  }
}

asio::awaitable<void> Forwarder::EndStandby()
{
  mExchange.mStartStandby = nullptr;
  const std::shared_ptr<AttemptState> standby = mExchange.mStandby;
  const bool accepted =
    standby != nullptr && standby->mHead != AttemptState::Head::Awaited;
  DropStandby();
  while (mStandbySearches > 0) {
    co_await mStandbyChanged->Wait();
  }
  if (accepted) {
    EndStandbyAttempt(*standby);
  }
}

void Forwarder::EndStandbyAttempt(AttemptState& aStandby)
{
  if (aStandby.mInFlight && aStandby.mHead != AttemptState::Head::Refused) {
    mExchange.mMayHaveRun = true;
  }
  switch (aStandby.mHead) {
    case AttemptState::Head::Refused:
      EndAttempt(aStandby, Result::NotRun);
      break;
    case AttemptState::Head::Unreachable:
      EndAttempt(aStandby, Result::Unreachable);
      break;
    case AttemptState::Head::Awaited:
    case AttemptState::Head::Arrived:
    case AttemptState::Head::Failed:
      EndAttempt(aStandby, Result::Failed);
      break;
  }
}

void Forwarder::LogStandby(std::string_view aMessage, const AttemptState& aStandby)
{
  const AttemptState& current = *mExchange.mCurrent;
  const timing::Duration since = mContext.mClock.Now() - current.mAttempt.mSentAt;
  mContext.mLogger.Info(
    aMessage,
    { { "request", mExchange.mAdmission.mMetadata.mId.Str() },
      { "endpoint", current.mAttempt.mEndpoint.Str() },
      { "other_endpoint", aStandby.mAttempt.mEndpoint.Str() },
      { "events", current.mEvents },
      { "sent_ms_ago",
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count() } });
}

}
