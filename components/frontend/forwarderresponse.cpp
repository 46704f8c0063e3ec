#include "components/frontend/forwarder.hpp"

#include <utility>

#include "components/frontend/endpointprobe.hpp"

namespace samphiresail::frontend {

namespace {

using std::chrono::milliseconds;

/// Longest pause in a stream before it is resumed at another endpoint; callers disconnect
/// after a pause of two seconds.
constexpr milliseconds kStreamIdleTimeout{ 1300 };
/// Largest body of a response that is buffered before it is forwarded, in bytes, with the
/// framing of its chunks.
constexpr std::size_t kMaxBufferedResponseBytes = 8U << 20U;

bool IsSuccess(unsigned aStatus)
{
  return http::to_status_class(aStatus) == http::status_class::successful;
}

bool IsServerError(unsigned aStatus)
{
  return aStatus >= 500;
}

}

asio::awaitable<Forwarder::Result> Forwarder::ForwardResponse(AttemptState& aAttempt)
{
  if (aAttempt.mAborted) {
    co_return Result::Failed;
  }
  const bool success = IsSuccess(aAttempt.mParser->get().result_int());
  if (success && !aAttempt.mFacts.mHasResponseDigest) {
    co_return Result::Failed;
  }
  Result result = Result::Failed;
  if (success && mExchange.mAdmission.mRoute->mKind == gateway::RequestKind::Stream) {
    result = co_await ForwardEventStream(aAttempt);
  } else if (mExchange.mResponseHeadSent) {
    // An error response cannot be forwarded inside a stream that has begun.
    co_await DiscardBody(aAttempt);
  } else {
    result = co_await ForwardBufferedResponse(aAttempt);
  }
  co_return result;
}

asio::awaitable<Forwarder::Result> Forwarder::ForwardBufferedResponse(
  AttemptState& aAttempt)
{
  ResponseParser& parser = *aAttempt.mParser;
  std::string body;
  if (aAttempt.IsAnswer()) {
    DropStandby();
  }
  while (!parser.is_done()) {
    std::string_view read;
    aAttempt.mDeadline = mContext.mClock.Now() + ResponseTimeout();
    const ErrorCode ec = co_await ReadSome(aAttempt, read);
    body.append(read);
    if (ec || aAttempt.mAborted ||
        aAttempt.mBytesAfterHead > kMaxBufferedResponseBytes) {
      co_return Result::Failed;
    }
  }
  aAttempt.mDeadline = timing::Instant::max();
  const unsigned status = parser.get().result_int();
  if (body.empty() && IsSuccess(status) && aAttempt.mHasNoLength) {
    aAttempt.mError = http::error::end_of_stream;
    co_return Result::Failed;
  }
  if (IsSuccess(status) && aAttempt.mHasNoLength &&
      co_await EndedWithEndpoint(aAttempt)) {
    co_return Result::Failed;
  }
  std::string response = ResponseHead(parser.get().base());
  AppendHeader(response, "Content-Length", std::to_string(body.size()));
  if (!SayKeepAlive()) {
    AppendHeader(response, "Connection", "close");
  }
  response.append("\r\n").append(body);
  if (IsServerError(status)) {
    mFailureResponse = std::move(response);
    mFailureStatus = status;
    co_return Result::Failed;
  }
  DropStandby();
  mStatus = status;
  const bool delivered = co_await WriteToCaller(std::move(response));
  co_return delivered ? Result::Delivered : Result::Ended;
}

asio::awaitable<Forwarder::Result> Forwarder::ForwardEventStream(AttemptState& aAttempt)
{
  ResponseParser& parser = *aAttempt.mParser;
  const bool resumable = !IsIrreversible();
  bool firstEvent = true;
  timing::Instant firstEventAt{};
  mExchange.mEvents.Restart();
  while (!parser.is_done()) {
    std::string_view read;
    const ErrorCode ec = co_await ReadSome(aAttempt, read);
    if (aAttempt.mAborted) {
      co_return Result::Failed;
    }
    const std::string_view events = mExchange.mEvents.Feed(read);
    if (!events.empty()) {
      DropStandby();
      aAttempt.mDeadline = timing::Instant::max();
      ++aAttempt.mEvents;
      std::string out;
      if (!mExchange.mResponseHeadSent) {
        out = ResponseHead(parser.get().base());
        AppendHeader(out, "Transfer-Encoding", "chunked");
        if (!SayKeepAlive()) {
          AppendHeader(out, "Connection", "close");
        }
        out.append("\r\n");
        mStatus = parser.get().result_int();
        mExchange.mResponseHeadSent = true;
        mExchange.mTimeToFirstEvent =
          mContext.mClock.Now() - mExchange.mAdmission.mArrived;
        mContext.mMetrics.mFirstEvent.Observe(*mExchange.mTimeToFirstEvent);
      }
      if (firstEvent) {
        firstEventAt = mContext.mClock.Now();
        RecordFirstEvent(aAttempt);
        firstEvent = false;
      } else {
        mContext.mControl.OnProgress(aAttempt.mAttempt, mContext.mClock.Now());
        if (!mExchange.mAnswered) {
          RecordAnswered();
        }
      }
      out.append(EncodeChunk(events));
      if (parser.is_done() && !mExchange.mEvents.Partial()) {
        out.append(kLastChunk);
      }
      if (!co_await WriteToCaller(std::move(out))) {
        co_return Result::Ended;
      }
      if (resumable) {
        aAttempt.mDeadline = mContext.mClock.Now() + kStreamIdleTimeout;
      }
      if (parser.is_done() && !mExchange.mEvents.Partial()) {
        mContext.mControl.OnStreamComplete(
          aAttempt.mAttempt, mExchange.mAdmission, firstEventAt, mContext.mClock.Now());
        co_return Result::Delivered;
      }
    }
    if (ec || mExchange.mEvents.IsOverlong()) {
      co_return Result::Failed;
    }
  }
  if (firstEvent && aAttempt.mHasNoLength) {
    aAttempt.mError = http::error::end_of_stream;
  }
  if (mExchange.mEvents.Partial() || aAttempt.mError) {
    co_return Result::Failed;
  }
  if (aAttempt.mHasNoLength && co_await EndedWithEndpoint(aAttempt)) {
    co_return Result::Failed;
  }
  // The stream ended after its last event was forwarded, or had no event.
  DropStandby();
  if (aAttempt.mEndpointRuns) {
    mContext.mControl.OnStreamComplete(
      aAttempt.mAttempt, mExchange.mAdmission, firstEventAt, mContext.mClock.Now());
  }
  std::string out;
  if (!mExchange.mResponseHeadSent) {
    out = ResponseHead(parser.get().base());
    AppendHeader(out, "Content-Length", "0");
    if (!SayKeepAlive()) {
      AppendHeader(out, "Connection", "close");
    }
    out.append("\r\n");
    mStatus = parser.get().result_int();
  } else {
    out = kLastChunk;
  }
  const bool delivered = co_await WriteToCaller(std::move(out));
  co_return delivered ? Result::Delivered : Result::Ended;
}

asio::awaitable<bool> Forwarder::EndedWithEndpoint(AttemptState& aAttempt)
{
  const gateway::Endpoint* endpoint =
    mContext.mControl.mDirectory.Find(aAttempt.mAttempt.mEndpoint);
  if (endpoint == nullptr || endpoint->IsLeaving()) {
    co_return false;
  }
  aAttempt.mDeadline = timing::Instant::max();
  if (!mExchange.mAnswered) {
    mContext.mControl.OnUnansweredBreak(
      aAttempt.mAttempt, mExchange.mAdmission, mContext.mClock.Now());
  }
  const ProbeOutcome outcome =
    co_await ProbeEndpoint(mContext, aAttempt.mAttempt.mEndpoint, aAttempt.mAddress);
  aAttempt.mEndpointRuns = outcome == ProbeOutcome::Running;
  if (outcome == ProbeOutcome::Ended) {
    aAttempt.mError = http::error::end_of_stream;
  }
  co_return outcome == ProbeOutcome::Ended || aAttempt.mAborted;
}

void Forwarder::RecordFirstEvent(AttemptState& aAttempt)
{
  const timing::Instant now = mContext.mClock.Now();
  const gateway::Attempt& attempt = aAttempt.mAttempt;
  if (mExchange.mAdmission.mService->mEngine) {
    const gateway::Milliseconds error =
      (now - attempt.mSentAt) - attempt.mForecast.mFirstEvent;
    mContext.mMetrics.mForecastError.Observe(
      std::chrono::duration_cast<timing::Duration>(std::chrono::abs(error)));
  }
  mContext.mControl.OnFirstEvent(aAttempt.mAttempt, mExchange.mAdmission, now);
}

asio::awaitable<bool> Forwarder::WriteToCaller(std::string aBytes)
{
  ErrorCode ec;
  mResponseSent = true;
  co_await asio::async_write(mCaller, asio::buffer(aBytes), RedirectError(ec));
  if (ec) {
    mExchange.mCallerDisconnected = true;
  }
  co_return !ec;
}

}
