#include "components/frontend/forwarder.hpp"

#include <array>
#include <limits>
#include <utility>

namespace samphiresail::frontend {

namespace {

using std::chrono::milliseconds;

/// Longest pause in a stream before it is resumed at another endpoint; callers disconnect
/// after a pause of two seconds.
constexpr milliseconds kStreamIdleTimeout{ 1300 };
/// Largest body of a response that is buffered before it is forwarded, in bytes.
constexpr std::size_t kMaxBufferedResponseBytes = 8U << 20U;
/// Largest body that is read only to reuse its connection, in bytes; the outcome of the
/// request does not wait for a longer one.
constexpr std::size_t kMaxDiscardedBytes = 64U << 10U;
/// Largest head of an endpoint's response, in bytes.
constexpr std::uint32_t kMaxResponseHeadBytes = 16384;

bool IsServerError(unsigned aStatus)
{
  return aStatus >= 500;
}

}

asio::awaitable<bool> Forwarder::ReadResponseHead(BackendConnection& aBackend,
                                                  std::optional<ResponseParser>& aParser,
                                                  gateway::ResponseMetadata& aFacts)
{
  ErrorCode ec;
  aParser.emplace();
  aParser->header_limit(kMaxResponseHeadBytes);
  aParser->body_limit(std::numeric_limits<std::uint64_t>::max());
  co_await http::async_read_header(
    aBackend.mSocket, aBackend.mBuffer, *aParser, RedirectError(ec));
  if (ec) {
    mExchange.mAttemptError = ec;
    co_return false;
  }
  mExchange.mResponseBegan = true;
  mExchange.mResponseHasNoLength = aParser->need_eof();
  aFacts = mContext.mDialect.ReadResponse(aParser->get().base());
  const gateway::Attempt& attempt = mExchange.mAttempt;
  if (aFacts.mLeaving &&
      mContext.mControl.mDirectory.MarkLeaving(
        attempt.mEndpoint, attempt.mIncarnation, mContext.mClock.Now())) {
    mContext.mLogger.Info("endpoint is leaving",
                          { { "endpoint", attempt.mEndpoint.Str() } });
  }
  co_return true;
}

asio::awaitable<ErrorCode> Forwarder::ReadSome(BackendConnection& aBackend,
                                               ResponseParser& aParser,
                                               std::string_view& aRead)
{
  ErrorCode ec;
  aParser.get().body().data = mBytes.data();
  aParser.get().body().size = mBytes.size();
  aParser.get().body().more = true;
  co_await http::async_read_some(
    aBackend.mSocket, aBackend.mBuffer, aParser, RedirectError(ec));
  aRead = { mBytes.data(), mBytes.size() - aParser.get().body().size };
  if (ec == http::error::need_buffer) {
    ec = {};
  }
  mExchange.mAttemptError = ec;
  co_return ec;
}

asio::awaitable<bool> Forwarder::DiscardBody(BackendConnection& aBackend,
                                             ResponseParser& aParser)
{
  ErrorCode ec;
  std::string_view skipped;
  std::size_t discarded = 0;
  while (!ec && !aParser.is_done() && discarded <= kMaxDiscardedBytes) {
    ec = co_await ReadSome(aBackend, aParser, skipped);
    discarded += skipped.size();
  }
  co_return !ec && aParser.is_done();
}

asio::awaitable<Forwarder::Result> Forwarder::ForwardBufferedResponse(
  BackendConnection& aBackend,
  ResponseParser& aParser)
{
  std::string body;
  while (!aParser.is_done()) {
    std::string_view read;
    const ErrorCode ec = co_await ReadSome(aBackend, aParser, read);
    body.append(read);
    if (ec || body.size() > kMaxBufferedResponseBytes) {
      co_return Result::Failed;
    }
  }
  const unsigned status = aParser.get().result_int();
  const bool success = http::to_status_class(status) == http::status_class::successful;
  if (body.empty() && success && mExchange.mResponseHasNoLength) {
    mExchange.mAttemptError = http::error::end_of_stream;
    co_return Result::Failed;
  }
  std::string response = ResponseHead(aParser.get().base());
  AppendHeader(response, "Content-Length", std::to_string(body.size()));
  if (!mKeepAlive) {
    AppendHeader(response, "Connection", "close");
  }
  response.append("\r\n").append(body);
  if (IsServerError(status)) {
    mFailureResponse = std::move(response);
    mFailureStatus = status;
    co_return Result::Failed;
  }
  mStatus = status;
  const bool delivered = co_await WriteToCaller(std::move(response));
  co_return delivered ? Result::Delivered : Result::Ended;
}

asio::awaitable<Forwarder::Result> Forwarder::ForwardEventStream(
  BackendConnection& aBackend,
  ResponseParser& aParser)
{
  const bool resumable = !IsIrreversible();
  bool firstEvent = true;
  timing::Instant firstEventAt{};
  mExchange.mEvents.Restart();
  while (!aParser.is_done()) {
    std::string_view read;
    const ErrorCode ec = co_await ReadSome(aBackend, aParser, read);
    const std::string_view events = mExchange.mEvents.Feed(read);
    if (!events.empty()) {
      ++mExchange.mAttemptEvents;
      std::string out;
      if (!mExchange.mResponseHeadSent) {
        out = ResponseHead(aParser.get().base());
        AppendHeader(out, "Transfer-Encoding", "chunked");
        if (!mKeepAlive) {
          AppendHeader(out, "Connection", "close");
        }
        out.append("\r\n");
        mStatus = aParser.get().result_int();
        mExchange.mResponseHeadSent = true;
        mExchange.mTimeToFirstEvent =
          mContext.mClock.Now() - mExchange.mAdmission.mArrived;
        mContext.mMetrics.mFirstEvent.Observe(*mExchange.mTimeToFirstEvent);
      }
      if (firstEvent) {
        firstEventAt = mContext.mClock.Now();
        RecordFirstEvent();
        firstEvent = false;
      } else {
        mContext.mControl.OnProgress(mExchange.mAttempt, mContext.mClock.Now());
        if (!mExchange.mAnswered) {
          RecordAnswered();
        }
      }
      out.append(EncodeChunk(events));
      if (aParser.is_done() && !mExchange.mEvents.Partial()) {
        out.append(kLastChunk);
      }
      if (!co_await WriteToCaller(std::move(out))) {
        co_return Result::Ended;
      }
      if (resumable) {
        SetAttemptDeadline(kStreamIdleTimeout);
      }
      if (aParser.is_done() && !mExchange.mEvents.Partial()) {
        mContext.mControl.OnStreamComplete(
          mExchange.mAttempt, mExchange.mAdmission, firstEventAt, mContext.mClock.Now());
        co_return Result::Delivered;
      }
    }
    if (ec || mExchange.mEvents.IsOverlong()) {
      co_return Result::Failed;
    }
  }
  if (firstEvent && mExchange.mResponseHasNoLength) {
    mExchange.mAttemptError = http::error::end_of_stream;
  }
  if (mExchange.mEvents.Partial() || mExchange.mAttemptError) {
    co_return Result::Failed;
  }
  // The stream ended after its last event was forwarded, or had no event.
  std::string out;
  if (!mExchange.mResponseHeadSent) {
    out = ResponseHead(aParser.get().base());
    AppendHeader(out, "Content-Length", "0");
    if (!mKeepAlive) {
      AppendHeader(out, "Connection", "close");
    }
    out.append("\r\n");
    mStatus = aParser.get().result_int();
  } else {
    out = kLastChunk;
  }
  const bool delivered = co_await WriteToCaller(std::move(out));
  co_return delivered ? Result::Delivered : Result::Ended;
}

void Forwarder::RecordFirstEvent()
{
  const timing::Instant now = mContext.mClock.Now();
  const gateway::Attempt& attempt = mExchange.mAttempt;
  if (mExchange.mAdmission.mService->mEngine) {
    const gateway::Milliseconds error =
      (now - attempt.mSentAt) - attempt.mForecast.mFirstEvent;
    mContext.mMetrics.mForecastError.Observe(
      std::chrono::duration_cast<timing::Duration>(std::chrono::abs(error)));
  }
  mContext.mControl.OnFirstEvent(mExchange.mAttempt, mExchange.mAdmission, now);
}

asio::awaitable<bool> Forwarder::WriteToCaller(std::string aBytes)
{
  ErrorCode ec;
  co_await asio::async_write(mCaller, asio::buffer(aBytes), RedirectError(ec));
  if (ec) {
    mExchange.mCallerDisconnected = true;
  }
  co_return !ec;
}

}
