#include "components/frontend/forwarder.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphiresail::frontend {

namespace {

using std::chrono::milliseconds;

/// Longest wait for an adapter that the leader loads on demand. It covers a peer report,
/// an order to evict another adapter, an order to load, and some milliseconds of loading.
constexpr milliseconds kMaxAdapterWait{ 600 };
/// Longest wait for the outcome of another request that has the same suspect. It covers
/// the time in which most endpoints begin to answer.
constexpr milliseconds kMaxSuspectWait{ 500 };
/// A request fails once no connection could be opened to this many endpoints.
constexpr std::size_t kMaxUnreachableEndpoints = 4;

}

Forwarder::Forwarder(FrontendContext& aContext,
                     tcp::socket& aCaller,
                     const CallerRequest& aRequest,
                     Exchange& aExchange,
                     const bool& aKeepAlive)
  : mContext(aContext)
  , mCaller(aCaller)
  , mRequest(aRequest)
  , mExchange(aExchange)
  , mKeepAlive(aKeepAlive)
{
  if (!IsIrreversible()) {
    mExchange.mStartStandby = [this] { StartStandby(); };
  }
  mExchange.mMayGiveUpConnection = [this] { return MayGiveUpConnection(); };
}

asio::awaitable<bool> Forwarder::Run()
{
  gateway::TrafficControl& control = mContext.mControl;
  const gateway::Admission& admission = mExchange.mAdmission;
  // Named, because gcc 12 destroys aggregate temporaries of an awaited expression twice.
  const gateway::Choice full{ nullptr, gateway::NoEndpoint::Full, {}, {} };
  const gateway::Choice noneUsable{ nullptr, gateway::NoEndpoint::NoneUsable, {}, {} };
  std::size_t unreachable = 0;
  for (;;) {
    const bool takesOver = mExchange.mStandby != nullptr;
    if (takesOver) {
      if (mExchange.mCurrent->mAborted) {
        // The endpoint was only silent, and may be asked again.
        std::erase(mExchange.mTried, mExchange.mCurrent->mAttempt.mEndpoint);
      }
      mExchange.mCurrent = std::exchange(mExchange.mStandby, nullptr);
      mExchange.mCurrent->mTookOver = true;
    } else if (mNextAttempt != nullptr) {
      mExchange.mCurrent = std::exchange(mNextAttempt, nullptr);
    } else {
      const gateway::Choice choice = co_await Choose();
      if (choice.mEndpoint == nullptr) {
        co_return co_await Finish(mExchange.mMayHaveRun ? Result::Failed : Result::NotRun,
                                  choice);
      }
      mExchange.mCurrent = MakeAttempt(choice);
    }
    const Result result = co_await RunAttempt(takesOver);
    if (result == Result::Delivered || result == Result::Ended || IsAborted()) {
      co_return co_await Finish(result, full);
    }
    if (result == Result::Failed) {
      mExchange.mMayHaveRun = true;
      if (mExchange.mCurrent->mError) {
        mBrokenConnections.push_back(mExchange.mCurrent->mAttempt.mEndpoint);
      }
    }
    if (mExchange.mStandby != nullptr) {
      LogStandby("request goes on at the other endpoint", *mExchange.mStandby);
      continue;
    }
    if (result == Result::Unreachable) {
      if (++unreachable >= kMaxUnreachableEndpoints) {
        co_return co_await Finish(mExchange.mMayHaveRun ? Result::Failed : Result::NotRun,
                                  noneUsable);
      }
      continue;
    }
    const bool repeatable = result == Result::NotRun || !IsIrreversible();
    if (!repeatable || !control.TrySpendRetry(
                         admission, mExchange.mAttemptsSent, mContext.mClock.Now())) {
      co_return co_await Finish(mExchange.mMayHaveRun ? Result::Failed : Result::NotRun,
                                full);
    }
    mContext.mMetrics.mRetries.Increment();
  }
}

timing::Instant Forwarder::WaitDeadline(const gateway::Choice& aChoice,
                                        timing::Instant aStart,
                                        timing::Instant aNow) const
{
  const gateway::Admission& admission = mExchange.mAdmission;
  switch (aChoice.mReason) {
    case gateway::NoEndpoint::AdapterAbsent:
      return std::min(admission.mDeadline, aStart + kMaxAdapterWait);
    case gateway::NoEndpoint::SuspectTested:
      return std::min(admission.mDeadline, aStart + kMaxSuspectWait);
    case gateway::NoEndpoint::Full: {
      const auto longest = std::chrono::duration_cast<timing::Duration>(
        mContext.mControl.Allowance(admission, aNow).mAtEntry);
      const timing::Instant deadline =
        std::min(admission.mDeadline, admission.mArrived + longest);
      // A request that cannot be sent in time is refused at once.
      const bool hopeless =
        aChoice.mFreeAfter &&
        aNow + std::chrono::duration_cast<timing::Duration>(*aChoice.mFreeAfter) >
          deadline;
      return hopeless ? aNow : deadline;
    }
    case gateway::NoEndpoint::Suspected:
      return admission.mDeadline;
    case gateway::NoEndpoint::ModelAbsent:
    case gateway::NoEndpoint::NoneUsable:
    case gateway::NoEndpoint::Paused:
    case gateway::NoEndpoint::Quarantined:
    case gateway::NoEndpoint::Stopping:
    case gateway::NoEndpoint::TooLate:
      return aNow;
  }
  return aNow;
}

asio::awaitable<gateway::Choice> Forwarder::Choose()
{
  const gateway::Admission& admission = mExchange.mAdmission;
  const timing::Instant start = mContext.mClock.Now();
  // Named, because gcc 12 destroys aggregate temporaries of such a statement twice.
  const gateway::Choice none{ nullptr, gateway::NoEndpoint::Full, {}, {} };
  for (;;) {
    const timing::Instant now = mContext.mClock.Now();
    if (IsAborted()) {
      mExchange.mQueued += now - start;
      co_return none;
    }
    gateway::Choice choice = mContext.mControl.Begin(admission, mExchange.mTried, now);
    if (choice.mEndpoint == nullptr && !mBrokenConnections.empty()) {
      const gateway::Choice again =
        mContext.mControl.Begin(admission, TriedOtherThanBroken(), now);
      if (again.mEndpoint != nullptr) {
        std::erase(mBrokenConnections, again.mAttempt.mEndpoint);
        choice = again;
      }
    }
    if (choice.mEndpoint != nullptr || now >= WaitDeadline(choice, start, now)) {
      mExchange.mQueued += now - start;
      co_return choice;
    }
    if (choice.mReason == gateway::NoEndpoint::AdapterAbsent) {
      mContext.mOnWaitingForAdapter(admission.mMetadata);
    }
    co_await mContext.mPlacementChanged.Wait();
  }
}

std::vector<ids::EndpointId> Forwarder::TriedOtherThanBroken() const
{
  std::vector<ids::EndpointId> tried;
  std::ranges::copy_if(
    mExchange.mTried, std::back_inserter(tried), [&](const ids::EndpointId& aEndpoint) {
      return std::ranges::count(mBrokenConnections, aEndpoint) == 0;
    });
  return tried;
}

bool Forwarder::MayGiveUpConnection()
{
  if (!mExchange.mMayHaveRun) {
    return true;
  }
  const timing::Instant now = mContext.mClock.Now();
  gateway::TrafficControl& control = mContext.mControl;
  control.Avoid(mExchange.mCurrent->mAttempt.mEndpoint, now);
  const gateway::Choice choice =
    control.Begin(mExchange.mAdmission, mExchange.mTried, now);
  if (choice.mEndpoint == nullptr) {
    return false;
  }
  mNextAttempt = MakeAttempt(choice);
  return true;
}

asio::awaitable<Forwarder::Result> Forwarder::RunAttempt(bool aTakesOver)
{
  const std::shared_ptr<AttemptState> attempt = mExchange.mCurrent;
  if (aTakesOver) {
    if (!attempt->mConnecting) {
      attempt->mDeadline = mContext.mClock.Now() + ResponseTimeout();
    }
    while (attempt->mHead == AttemptState::Head::Awaited) {
      co_await mStandbyChanged->Wait();
    }
  } else {
    co_await RequestHead(*attempt);
  }
  Result result = Result::Failed;
  switch (attempt->mHead) {
    case AttemptState::Head::Arrived:
      result = co_await ForwardResponse(*attempt);
      break;
    case AttemptState::Head::Refused:
      result = Result::NotRun;
      break;
    case AttemptState::Head::Unreachable:
      result = Result::Unreachable;
      break;
    case AttemptState::Head::Awaited:
    case AttemptState::Head::Failed:
      break;
  }
  EndAttempt(*attempt, result);
  co_return result;
}

asio::awaitable<bool> Forwarder::SendLocalResponse(const gateway::Refusal& aRefusal)
{
  mStatus = aRefusal.mStatus;
  mContext.mMetrics.mRefusals.Increment();
  std::string response = BuildLocalResponse(
    mContext.mDialect, mExchange.mAdmission.mMetadata, aRefusal, SayKeepAlive());
  const bool written = co_await WriteToCaller(std::move(response));
  co_return written&& mSaidKeepAlive;
}

bool Forwarder::SayKeepAlive()
{
  mSaidKeepAlive = mKeepAlive;
  return mSaidKeepAlive;
}

asio::awaitable<bool> Forwarder::Finish(Result aResult, const gateway::Choice& aChoice)
{
  co_await EndStandby();
  ReleaseNextAttempt();
  if (aResult == Result::Delivered) {
    SetOutcome("answered");
    co_return mSaidKeepAlive;
  }
  if (mExchange.mCallerDisconnected) {
    SetOutcome(mExchange.mCallerCutOff ? "caller read nothing" : "caller left");
    co_return false;
  }
  if (mExchange.mResponseHeadSent) {
    // Part of the response was sent, so only closing the connection shows the caller that
    // it is incomplete.
    SetOutcome(mExchange.mDeadlineExceeded ? "stream cut at the deadline"
                                           : "stream broke off");
    mContext.mMetrics.mInterruptedStreams.Increment();
    co_return false;
  }
  if (!mFailureHead.empty()) {
    SetOutcome("endpoint failed");
    mStatus = mFailureStatus;
    const bool written =
      co_await WriteToCaller(std::move(mFailureHead), std::move(mFailureBody));
    co_return written&& mSaidKeepAlive;
  }
  const bool sent = mExchange.mAttemptsSent > 0;
  if (aResult == Result::NotRun || (!sent && !mExchange.mMayHaveRun)) {
    gateway::Refusal refusal = mContext.mControl.RefuseNotRun(
      mExchange.mAdmission, aChoice, mContext.mClock.Now());
    SetOutcome(refusal.mReason);
    const bool keep = co_await SendLocalResponse(refusal);
    co_return keep;
  }
  const gateway::Refusal failure =
    mExchange.mDeadlineExceeded
      ? LocalResponse(504, "the endpoint did not answer in time")
    : mExchange.mCurrent->mWithoutMemory
      ? LocalResponse(502, "no memory to hold the response")
      : LocalResponse(502, "the endpoint gave no whole answer");
  SetOutcome(failure.mReason);
  const bool keep = co_await SendLocalResponse(failure);
  co_return keep;
}

void Forwarder::ReleaseNextAttempt()
{
  if (mNextAttempt != nullptr) {
    mContext.mControl.End(
      mNextAttempt->mAttempt, gateway::AttemptEnd::Abandoned, mContext.mClock.Now());
    mNextAttempt = nullptr;
  }
}

asio::awaitable<void> Forwarder::FailAfterException()
{
  SetOutcome("an exception interrupted the request");
  ReleaseNextAttempt();
  if (mExchange.mCurrent->mInFlight) {
    EndAttempt(*mExchange.mCurrent, Result::Failed);
  }
  co_await EndStandby();
  if (!mResponseSent && !mExchange.mCallerDisconnected) {
    const gateway::Refusal failure = LocalResponse(502, "the entry failed");
    co_await SendLocalResponse(failure);
  }
}

}
