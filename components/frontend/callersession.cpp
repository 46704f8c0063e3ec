#include "components/frontend/callersession.hpp"

#include <algorithm>
#include <cmath>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "components/gateway/requestidentity.hpp"

namespace samphiresail::frontend {

namespace {

const gateway::CallerLimits kLimitsBeforeConfiguration;

std::int64_t Millis(timing::Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

/// Returns the response to a request that cannot be parsed, or none if its connection
/// ended.
std::optional<gateway::Refusal> ResponseToUnreadable(const ErrorCode& aEc)
{
  if (aEc == http::error::header_limit) {
    return LocalResponse(431, "the head is too large");
  }
  if (aEc == http::error::body_limit) {
    return LocalResponse(413, "the body is too large");
  }
  const auto& category = http::make_error_code(http::error::bad_field).category();
  if (aEc.category() != category || aEc == http::error::end_of_stream ||
      aEc == http::error::partial_message) {
    return std::nullopt;
  }
  return LocalResponse(400, "the request is malformed");
}

/// True if the caller waits for an interim response (100 Continue) before it sends the
/// body.
bool ExpectsContinue(const http::request_header<>& aHeader)
{
  return beast::iequals(aHeader[http::field::expect], "100-continue");
}

}

CallerSession::CallerSession(FrontendContext& aContext, tcp::socket aSocket)
  : mContext(aContext)
  , mSocket(std::move(aSocket))
  , mStateSince(aContext.mClock.Now())
{
}

const gateway::CallerLimits& CallerSession::Limits() const
{
  const auto& configuration = mContext.mControl.Configuration();
  return configuration ? configuration->mLimits : kLimitsBeforeConfiguration;
}

asio::awaitable<void> CallerSession::Run()
{
  ErrorCode ec;
  mSocket.non_blocking(true, ec);
  SetConnectionOptions(mSocket);
  while (co_await ServeOne()) {
  }
  mSocket.shutdown(tcp::socket::shutdown_send, ec);
  CloseSocket(mSocket);
}

void CallerSession::Tick(timing::Instant aNow)
{
  const bool idleOver =
    mState == State::Idle &&
    (aNow - mStateSince >= Limits().mIdleTimeout || aNow >= mIdleDeadline);
  const bool slow =
    mState == State::Reading && aNow - mStateSince >= Limits().mHeaderTimeout;
  if (idleOver || slow) {
    CloseSocket(mSocket);
  }
}

void CallerSession::Drain(timing::Instant aIdleDeadline)
{
  mDraining = true;
  mIdleDeadline = aIdleDeadline;
}

asio::awaitable<bool> CallerSession::ServeOne()
{
  ErrorCode ec;
  mState = State::Idle;
  mStateSince = mContext.mClock.Now();
  if (mBuffer.size() == 0) {
    co_await mSocket.async_wait(tcp::socket::wait_read, RedirectError(ec));
    if (ec) {
      co_return false;
    }
  }
  mState = State::Reading;
  mStateSince = mContext.mClock.Now();
  http::request_parser<http::string_body> parser;
  parser.header_limit(Limits().mMaxHeaderBytes);
  parser.body_limit(Limits().mMaxBodyBytes);
  co_await http::async_read_header(mSocket, mBuffer, parser, RedirectError(ec));
  if (!ec && ExpectsContinue(parser.get())) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(
      mSocket, asio::buffer(kContinue.data(), kContinue.size()), RedirectError(ec));
  }
  if (!ec) {
    co_await http::async_read(mSocket, mBuffer, parser, RedirectError(ec));
  }
  mState = State::Serving;
  if (ec) {
    std::optional<gateway::Refusal> refusal = ResponseToUnreadable(ec);
    if (ec == http::error::header_limit || ec == http::error::body_limit) {
      refusal = mContext.mControl.RefuseTooLarge(*refusal, mContext.mClock.Now());
    }
    if (refusal) {
      co_await Refuse(gateway::RequestMetadata(), *refusal, false);
    }
    co_return false;
  }
  mContext.mMetrics.mRequests.Increment();
  const timing::Instant arrived = mContext.mClock.Now();
  const CallerRequest request = parser.release();
  const bool keepAlive = request.keep_alive() && !mDraining;
  std::optional<gateway::RequestMetadata> facts =
    mContext.mDialect.ReadRequest(request.base());
  if (!facts) {
    const gateway::Refusal refusal =
      LocalResponse(400, "the request lacks its identifier");
    const bool keep = co_await Refuse(gateway::RequestMetadata(), refusal, false);
    co_return keep;
  }
  facts->mIdentity = gateway::RequestIdentity(
    { { request.method_string().data(), request.method_string().size() },
      { request.target().data(), request.target().size() },
      request.body() },
    *facts);
  auto admitted = mContext.mControl.Admit(*facts, arrived);
  if (const auto* refusal = std::get_if<gateway::Refusal>(&admitted)) {
    LogRefusal(*facts, *refusal);
    const bool keep = co_await Refuse(*facts, *refusal, keepAlive);
    co_return keep;
  }
  Exchange exchange(std::move(std::get<gateway::Admission>(admitted)));
  exchange.mCaller = &mSocket;
  mContext.mExchanges.Add(&exchange);
  asio::co_spawn(
    mContext.mIo,
    [self = shared_from_this(), &exchange, served = mRequestsServed] {
      return self->WatchForDisconnect(exchange, served);
    },
    asio::detached);
  Forwarder forwarder(mContext, mSocket, request, exchange, keepAlive);
  const bool keep = co_await forwarder.Run();
  ++mRequestsServed;
  mContext.mExchanges.Remove(&exchange);
  mContext.mMetrics.mLatency.Observe(mContext.mClock.Now() - arrived);
  mContext.mMetrics.mQueued.Observe(exchange.mQueued);
  LogRequest(exchange, forwarder);
  // Ends WatchForDisconnect() for this request.
  mSocket.cancel(ec);
  // Draining may have begun after the response headers were built without `Connection:
  // close`.
  co_return keep && !mDraining && mSocket.is_open();
}

asio::awaitable<void> CallerSession::WatchForDisconnect(Exchange& aExchange,
                                                        std::uint64_t aRequestsServed)
{
  for (;;) {
    ErrorCode ec;
    co_await mSocket.async_wait(tcp::socket::wait_read, RedirectError(ec));
    if (mRequestsServed != aRequestsServed || ec) {
      co_return;
    }
    char byte = 0;
    const std::size_t n =
      mSocket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    if (ec == asio::error::would_block) {
      continue;
    }
    if (!ec && n > 0) {
      // The caller's next request has already arrived.
      co_return;
    }
    aExchange.mCallerDisconnected = true;
    aExchange.AbortAttempt();
    co_return;
  }
}

asio::awaitable<bool> CallerSession::Refuse(const gateway::RequestMetadata& aFacts,
                                            const gateway::Refusal& aRefusal,
                                            bool aKeepAlive)
{
  mContext.mMetrics.mRefusals.Increment();
  ErrorCode ec;
  const std::string response =
    BuildLocalResponse(mContext.mDialect, aFacts, aRefusal, aKeepAlive);
  co_await asio::async_write(mSocket, asio::buffer(response), RedirectError(ec));
  co_return !ec && aKeepAlive;
}

void CallerSession::LogRefusal(const gateway::RequestMetadata& aFacts,
                               const gateway::Refusal& aRefusal)
{
  const auto& configuration = mContext.mControl.Configuration();
  const timing::Duration age =
    mContext.mControl.mStoreFreshness.Staleness(mContext.mClock.Now());
  mContext.mLogger.Info(
    "request refused",
    { { "request", aFacts.mId.Str() },
      { "status", aRefusal.mStatus },
      { "reason", aRefusal.mReason },
      { "retry_after_ms",
        aRefusal.mRetryAfter.value_or(std::chrono::milliseconds(-1)).count() },
      { "route", aRefusal.mRoute },
      { "account", aRefusal.mAccount.Str() },
      { "tokens", aRefusal.mTokens },
      { "configuration", configuration ? configuration->mVersion : 0 },
      { "configuration_age_ms", configuration ? Millis(age) : -1 } });
}

void CallerSession::LogRequest(const Exchange& aExchange, const Forwarder& aForwarder)
{
  const gateway::Admission& admission = aExchange.mAdmission;
  const auto& tried = aExchange.mTried;
  const gateway::Attempt& attempt = aExchange.mAttempt;
  mContext.mLogger.Info(
    "request",
    { { "request", admission.mMetadata.mId.Str() },
      { "status", aForwarder.Status() },
      { "outcome", aForwarder.Outcome() },
      { "route", admission.mRoute->mName },
      { "account", admission.mAccount != nullptr ? admission.mAccount->mName.Str() : "" },
      { "tokens", admission.mTokens },
      { "model", admission.mMetadata.mModel.Str() },
      { "adapter", admission.mMetadata.mAdapter },
      { "endpoint", tried.empty() ? "" : tried.back().Str() },
      { "queued_ms", Millis(aExchange.mQueued) },
      { "earlier_attempts_ms", Millis(admission.mEarlierAttempts) },
      { "endpoint_load", attempt.mLoadWhenChosen.mRequests },
      { "unread_ms", std::lround(attempt.mLoadWhenChosen.mUnread.count()) },
      { "forecast_ms", std::lround(attempt.mForecast.mFirstEvent.count()) },
      { "kept_tokens", std::lround(attempt.mKeptTokens) },
      { "first_event_ms",
        aExchange.mTimeToFirstEvent ? Millis(*aExchange.mTimeToFirstEvent) : -1 },
      { "tried", tried.size() },
      { "sent", aExchange.mAttemptsSent },
      { "configuration", admission.mConfiguration->mVersion },
      { "configuration_age_ms", Millis(admission.mConfigurationAge) },
      { "took_ms", Millis(mContext.mClock.Now() - admission.mArrived) } });
}

}
