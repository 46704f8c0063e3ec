#include "components/frontend/forwarder.hpp"

#include <algorithm>
#include <array>
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
  if (parser.content_length().value_or(0) > kMaxBufferedResponseBytes) {
    co_return Result::Failed;
  }
  std::string response = ResponseHead(parser.get().base());
  std::string body;
  auto held = std::make_unique<limits::ByteBudget::Share>(mContext.mResponseBytes);
  if (aAttempt.IsAnswer()) {
    DropStandby();
  }
  while (!parser.is_done()) {
    std::string_view read;
    aAttempt.mDeadline = mContext.mClock.Now() + ResponseTimeout();
    const ErrorCode ec = co_await ReadSome(aAttempt, read);
    const bool appended = co_await AppendHeld(aAttempt, *held, body, read);
    if (ec || !appended || aAttempt.mAborted ||
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
  AppendHeader(response, "Content-Length", std::to_string(body.size()));
  if (!SayKeepAlive()) {
    AppendHeader(response, "Connection", "close");
  }
  response.append("\r\n");
  if (IsServerError(status)) {
    mFailureHead = std::move(response);
    mFailureBody = std::move(body);
    mFailureBytes = std::move(held);
    mFailureStatus = status;
    co_return Result::Failed;
  }
  DropStandby();
  mStatus = status;
  const bool delivered = co_await WriteToCaller(std::move(response), std::move(body));
  co_return delivered ? Result::Delivered : Result::Ended;
}

asio::awaitable<bool> Forwarder::AppendHeld(AttemptState& aAttempt,
                                            limits::ByteBudget::Share& aHeld,
                                            std::string& aBody,
                                            std::string_view aRead)
{
  const std::size_t size = aBody.size() + aRead.size();
  if (size > aHeld.Size()) {
    const std::size_t wanted = std::max<std::size_t>(
      { size,
        2 * aHeld.Size(),
        static_cast<std::size_t>(aAttempt.mParser->content_length().value_or(0)) });
    if (!co_await AwaitMemory(aAttempt, aHeld, wanted)) {
      co_return false;
    }
    aBody.reserve(wanted);
  }
  aBody.append(aRead);
  co_return true;
}

asio::awaitable<bool> Forwarder::AwaitMemory(AttemptState& aAttempt,
                                             limits::ByteBudget::Share& aHeld,
                                             std::size_t aSize)
{
  using Outcome = limits::ByteBudget::Outcome;
  Outcome outcome = aHeld.Grow(aSize - aHeld.Size());
  if (outcome == Outcome::Wait) {
    // The endpoint is not silent: its bytes are left unread until there is room for them.
    const timing::Instant deadline = aAttempt.mDeadline;
    const timing::Instant start = mContext.mClock.Now();
    aAttempt.mDeadline = timing::Instant::max();
    while (outcome == Outcome::Wait && !aAttempt.mAborted) {
      co_await mContext.mPlacementChanged.Wait();
      outcome = aHeld.Grow(aSize - aHeld.Size());
    }
    if (deadline != timing::Instant::max()) {
      aAttempt.mDeadline = deadline + (mContext.mClock.Now() - start);
    }
  }
  if (outcome != Outcome::Denied) {
    co_return outcome == Outcome::Granted;
  }
  aAttempt.mWithoutMemory = true;
  mContext.mMetrics.mResponsesWithoutMemory.Increment();
  mContext.mLogger.Warn("no memory to hold a response",
                        { { "request", mExchange.mAdmission.mMetadata.mId.Str() },
                          { "endpoint", aAttempt.mAttempt.mEndpoint.Str() },
                          { "bytes", aHeld.Size() },
                          { "bytes_of_all", mContext.mResponseBytes.Used() } });
  co_return false;
}

asio::awaitable<Forwarder::Result> Forwarder::ForwardEventStream(AttemptState& aAttempt)
{
  ResponseParser& parser = *aAttempt.mParser;
  const std::string head = ResponseHead(parser.get().base());
  const bool resumable = !IsIrreversible();
  bool firstEvent = true;
  timing::Instant firstEventAt{};
  mExchange.mEvents.Restart();
  limits::ByteBudget::Share held(mContext.mResponseBytes);
  while (!parser.is_done()) {
    std::string_view read;
    const ErrorCode ec = co_await ReadSome(aAttempt, read);
    if (aAttempt.mAborted) {
      co_return Result::Failed;
    }
    const std::string_view events = mExchange.mEvents.Feed(read);
    const std::size_t buffered = mExchange.mEvents.Size();
    if (buffered > held.Size() && !co_await AwaitMemory(aAttempt, held, buffered)) {
      co_return Result::Failed;
    }
    if (!events.empty()) {
      DropStandby();
      aAttempt.mDeadline = timing::Instant::max();
      ++aAttempt.mEvents;
      const timing::Instant readAt = mContext.mClock.Now();
      mExchange.mPauses.OnEvents(readAt, firstEvent, mContext.mLag.Lag(readAt));
      std::string out;
      if (!mExchange.mResponseHeadSent) {
        out = head;
        AppendHeader(out, "Transfer-Encoding", "chunked");
        if (!SayKeepAlive()) {
          AppendHeader(out, "Connection", "close");
        }
        out.append("\r\n");
        mStatus = parser.get().result_int();
        mExchange.mResponseHeadSent = true;
        mExchange.mAdmission.mBegun = true;
        mExchange.mTimeToFirstEvent =
          mContext.mClock.Now() - mExchange.mAdmission.mArrived;
        mContext.mMetrics.mFirstEvent.Observe(*mExchange.mTimeToFirstEvent);
      }
      if (firstEvent) {
        firstEventAt = mContext.mClock.Now();
        RecordFirstEvent(aAttempt);
        firstEvent = false;
      } else {
        mContext.mControl.OnProgress(
          aAttempt.mAttempt, mExchange.mAdmission, mContext.mClock.Now());
        if (!mExchange.mAnswered) {
          RecordAnswered();
        }
      }
      out.append(EncodeChunk(events));
      const bool whole = !ec && parser.is_done() && !mExchange.mEvents.Partial();
      if (whole) {
        out.append(kLastChunk);
      }
      if (!co_await WriteToCaller(std::move(out))) {
        co_return Result::Ended;
      }
      mExchange.mPauses.OnWritten(mContext.mClock.Now());
      if (resumable) {
        aAttempt.mDeadline = mContext.mClock.Now() + kStreamIdleTimeout;
      }
      if (whole) {
        mContext.mControl.OnStreamComplete(
          aAttempt.mAttempt, mExchange.mAdmission, firstEventAt, mContext.mClock.Now());
        RecordOutput(firstEventAt);
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
    RecordOutput(firstEventAt);
  }
  std::string out;
  if (!mExchange.mResponseHeadSent) {
    out = head;
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
  mExchange.RecordRan(now);
  mContext.mControl.OnFirstEvent(aAttempt.mAttempt, mExchange.mAdmission, now);
}

void Forwarder::RecordOutput(timing::Instant aFirstEvent)
{
  // A resumed stream brings only a part of its events from the last endpoint.
  if (mExchange.mAttemptsSent == 1) {
    mContext.mControl.OnOutput(mExchange.mAdmission,
                               mExchange.mEvents.Count(),
                               mContext.mClock.Now() - aFirstEvent);
  }
}

asio::awaitable<bool> Forwarder::WriteToCaller(std::string aHead, std::string aBody)
{
  ErrorCode ec;
  mResponseSent = true;
  const std::array<asio::const_buffer, 2> bytes{ asio::buffer(aHead),
                                                 asio::buffer(aBody) };
  co_await asio::async_write(mCaller, bytes, RedirectError(ec));
  if (ec) {
    mExchange.mCallerDisconnected = true;
  }
  co_return !ec;
}

}
