#include "components/frontend/callersession.hpp"

#include <algorithm>
#include <array>
#include <exception>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "components/frontend/connectionstate.hpp"
#include "components/frontend/quarantinelog.hpp"
#include "components/frontend/requestlog.hpp"
#include "components/gateway/requestidentity.hpp"

namespace samphiresail::frontend {

namespace {

const gateway::CallerLimits kLimitsBeforeConfiguration;

/// Time for which a new or idle connection waits for a request in a planned stop, also
/// after the others were closed.
constexpr std::chrono::milliseconds kMinStopIdleTime{ 400 };

/// Least room for bytes that were read but not yet parsed. Beside the head, the parser
/// keeps the line with the size of a chunk and the trailer after the last chunk until
/// they are complete.
constexpr std::size_t kMinUnparsedBytes = 64U << 10U;
/// Room for such bytes beyond the largest head.
constexpr std::size_t kUnparsedBytesBeyondHead = 4U << 10U;

/// Time for the body of a request whose caller states no timeout.
constexpr std::chrono::milliseconds kDefaultBodyTime{ 10000 };
/// Longest wait for memory for a body, which is not read meanwhile. A caller that waits
/// for its request to be read gives up after a second.
constexpr std::chrono::milliseconds kMaxMemoryWait{ 500 };
/// When a caller may come back for whose body there is no memory.
constexpr std::chrono::milliseconds kMemoryRetryAfter{ 1000 };
/// Longest time, and least bound on the bytes, for which the rest of a refused request is
/// discarded. The bound is the largest body, if that is larger.
constexpr std::chrono::milliseconds kMaxDiscardTime{ 1000 };
constexpr std::uint64_t kMinDiscardLimit = 1U << 20U;

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
  if (aEc == http::error::buffer_overflow) {
    return LocalResponse(431, "the framing of the body is too large");
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
  , mBuffer(limits::BudgetAllocator<char>(aContext.mConnectionBytes))
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
  try {
    while (co_await ServeOne()) {
    }
  } catch (const std::exception& error) {
    LogException(error);
  }
  mSocket.shutdown(tcp::socket::shutdown_send, ec);
  if (!ec && (mHasUnreadRest || HasUnreadBytes())) {
    co_await DiscardRest();
  }
  CloseSocket(mSocket);
}

void CallerSession::Enter(State aState)
{
  mState = aState;
  mStateSince = mContext.mClock.Now();
  mLimitsSince = Limits();
}

bool CallerSession::IsOverdue(timing::Instant aNow) const
{
  const timing::Duration since = aNow - mStateSince;
  const auto headerTimeout =
    std::max(mLimitsSince.mHeaderTimeout, Limits().mHeaderTimeout);
  switch (mState) {
    case State::Idle:
      return !HasUnreadBytes() &&
             (since >= std::max(mLimitsSince.mIdleTimeout, Limits().mIdleTimeout) ||
              aNow >= std::max(mIdleDeadline, mStateSince + kMinStopIdleTime));
    case State::ReadingHead:
      return since >= headerTimeout;
    case State::ReadingBody:
      return since >= headerTimeout || aNow >= mBodyDeadline;
    case State::Serving:
      return false;
    case State::Closing:
      return since >= kMaxDiscardTime;
  }
  return false;
}

void CallerSession::Tick(timing::Instant aNow)
{
  if (!IsOverdue(aNow)) {
    return;
  }
  if (mState == State::ReadingHead || mState == State::ReadingBody) {
    // Repeated by each tick: a read that has just completed is not cancelled.
    mTooSlow = true;
    ErrorCode ec;
    mSocket.cancel(ec);
    return;
  }
  if (mState == State::Idle) {
    LogClosed("idle", aNow);
  }
  CloseSocket(mSocket);
}

bool CallerSession::IsBusy(timing::Instant aNow) const
{
  const bool awaitsNext = mKeptInStop && aNow < mStateSince + kMinStopIdleTime;
  return mState != State::Idle || awaitsNext || HasUnreadBytes();
}

std::optional<timing::Instant> CallerSession::IdleSince() const
{
  const bool idle = mState == State::Idle && mSocket.is_open();
  return idle ? std::optional(mStateSince) : std::nullopt;
}

bool CallerSession::CloseIdle()
{
  if (mBuffer.size() > 0 || HasUnreadBytes()) {
    return false;
  }
  LogClosed("its place is needed", mContext.mClock.Now());
  CloseSocket(mSocket);
  return true;
}

bool CallerSession::HasUnreadBytes() const
{
  ErrorCode ec;
  return mSocket.is_open() && mSocket.available(ec) > 0;
}

void CallerSession::Drain(timing::Instant aIdleDeadline)
{
  mDraining = true;
  mIdleDeadline = aIdleDeadline;
  // The head of a stream that has begun says otherwise: its caller may have sent one
  // more request already.
  if (mExchange == nullptr || !mExchange->mResponseHeadSent) {
    mKeepAlive = false;
  }
}

asio::awaitable<ErrorCode> CallerSession::ReadRequest(
  RequestParser& aParser,
  std::optional<gateway::RequestMetadata>& aFacts,
  limits::ByteBudget::Share& aBytes)
{
  ErrorCode ec;
  Enter(State::ReadingHead);
  mBuffer.max_size(std::max({ kMinUnparsedBytes,
                              mLimitsSince.mMaxHeaderBytes + kUnparsedBytesBeyondHead,
                              mBuffer.size() }));
  aParser.header_limit(mLimitsSince.mMaxHeaderBytes);
  aParser.body_limit(mLimitsSince.mMaxBodyBytes);
  co_await http::async_read_header(mSocket, mBuffer, aParser, RedirectError(ec));
  if (ec) {
    co_return ec;
  }
  aFacts = mContext.mDialect.ReadRequest(aParser.get().base());
  if (ExpectsContinue(aParser.get())) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(
      mSocket, asio::buffer(kContinue.data(), kContinue.size()), RedirectError(ec));
  }
  mBodyDeadline =
    mContext.mClock.Now() - UnreadTime() +
    (aFacts && aFacts->mCallerTimeout ? *aFacts->mCallerTimeout : kDefaultBodyTime);
  if (!ec) {
    ec = co_await ReadBody(aParser, aBytes);
  }
  if (!ec) {
    mTooSlow = false;
    mUnread = UnreadTime();
    if (aFacts && aFacts->mCallerTimeout) {
      // The caller waits since it has sent the head.
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        mBodyDeadline - (mContext.mClock.Now() - mUnread));
      aFacts->mCallerTimeout = std::max(left, std::chrono::milliseconds(1));
    }
  }
  co_return ec;
}

timing::Duration CallerSession::UnreadTime()
{
  const timing::Instant now = mContext.mClock.Now();
  return mContext.mLag.IsBehind(now)
           ? mContext.mLag.UnreadTime(TimeSinceLastBytes(mSocket), now)
           : timing::Duration(0);
}

asio::awaitable<ErrorCode> CallerSession::ReadBody(RequestParser& aParser,
                                                   limits::ByteBudget::Share& aBytes)
{
  ErrorCode ec;
  const std::uint64_t length = std::min<std::uint64_t>(
    aParser.content_length().value_or(0), mLimitsSince.mMaxBodyBytes);
  while (!ec && !aParser.is_done()) {
    mState = State::ReadingBody;
    mStateSince = mContext.mClock.Now();
    const std::size_t size = std::max<std::size_t>(static_cast<std::size_t>(length),
                                                   aParser.get().body().capacity());
    if (size > aBytes.Size() && !co_await AwaitMemory(aBytes, size)) {
      co_return asio::error::no_memory;
    }
    if (mTooSlow) {
      co_return asio::error::operation_aborted;
    }
    co_await http::async_read_some(mSocket, mBuffer, aParser, RedirectError(ec));
  }
  co_return ec;
}

asio::awaitable<bool> CallerSession::AwaitMemory(limits::ByteBudget::Share& aBytes,
                                                 std::size_t aSize)
{
  using Outcome = limits::ByteBudget::Outcome;
  const timing::Instant until =
    std::min(mContext.mClock.Now() + kMaxMemoryWait, mBodyDeadline);
  Outcome outcome = aBytes.Grow(aSize - aBytes.Size());
  while (outcome == Outcome::Wait && mContext.mClock.Now() < until) {
    co_await mContext.mPlacementChanged.Wait();
    outcome = aBytes.Grow(aSize - aBytes.Size());
  }
  co_return outcome == Outcome::Granted;
}

asio::awaitable<void> CallerSession::RefuseUnreadable(
  ErrorCode aEc,
  const std::optional<gateway::RequestMetadata>& aFacts)
{
  std::optional<gateway::Refusal> refusal = ResponseToUnreadable(aEc);
  const gateway::RequestMetadata facts = aFacts.value_or(gateway::RequestMetadata());
  const bool noMemoryForBuffer = IsWithoutMemory(aEc, mBuffer);
  if (aEc == asio::error::no_memory || noMemoryForBuffer) {
    refusal = LocalResponse(
      503, noMemoryForBuffer ? "no memory for the head" : "no memory for the body");
    refusal->mRetryAfter = kMemoryRetryAfter;
    mContext.mMetrics.mRequestsWithoutMemory.Increment();
    LogRefusal(mContext, facts, *refusal);
  } else if (mTooSlow) {
    refusal = LocalResponse(408, "the request did not arrive in time");
    LogRefusal(mContext, facts, *refusal);
  } else if (aEc == http::error::header_limit || aEc == http::error::body_limit ||
             aEc == http::error::buffer_overflow) {
    refusal = mContext.mControl.RefuseTooLarge(*refusal, mContext.mClock.Now());
  }
  if (refusal) {
    mHasUnreadRest = true;
    co_await Refuse(facts, *refusal, false);
  }
}

asio::awaitable<void> CallerSession::DiscardRest()
{
  Enter(State::Closing);
  std::array<char, 4096> bytes{};
  const std::uint64_t most = std::max(kMinDiscardLimit, mLimitsSince.mMaxBodyBytes);
  std::uint64_t discarded = 0;
  ErrorCode ec;
  while (!ec && discarded < most) {
    discarded += co_await mSocket.async_read_some(asio::buffer(bytes), RedirectError(ec));
  }
}

asio::awaitable<bool> CallerSession::ServeOne()
{
  ErrorCode ec;
  Enter(State::Idle);
  ShrinkIfEmpty(mBuffer);
  if (mBuffer.size() == 0) {
    co_await mSocket.async_wait(tcp::socket::wait_read, RedirectError(ec));
    if (ec) {
      co_return false;
    }
  }
  RequestParser parser;
  std::optional<gateway::RequestMetadata> facts;
  limits::ByteBudget::Share bytes(mContext.mRequestBytes);
  ec = co_await ReadRequest(parser, facts, bytes);
  Enter(State::Serving);
  if (ec) {
    co_await RefuseUnreadable(ec, facts);
    co_return false;
  }
  mContext.mMetrics.mRequests.Increment();
  mContext.mMetrics.mUnread.Observe(mUnread);
  const timing::Instant now = mContext.mClock.Now();
  const timing::Instant arrived = now - mUnread;
  const CallerRequest request = parser.release();
  mKeepAlive = request.keep_alive() && !mDraining;
  if (!facts) {
    const gateway::Refusal refusal =
      LocalResponse(400, "the request lacks its identifier");
    const bool keep = co_await Refuse(gateway::RequestMetadata(), refusal, false);
    co_return keep;
  }
  if (HasPeerClosed(mSocket)) {
    mContext.mMetrics.mCallersLeft.Increment();
    LogCallerLeft(mContext, *facts);
    co_return false;
  }
  facts->mIdentity = gateway::RequestIdentity(
    { { request.method_string().data(), request.method_string().size() },
      { request.target().data(), request.target().size() },
      request.body() },
    *facts);
  auto admitted = mContext.mControl.Admit(*facts, now, mUnread);
  if (const auto* refusal = std::get_if<gateway::Refusal>(&admitted)) {
    LogRefusal(mContext, *facts, *refusal);
    const bool keep = co_await Refuse(*facts, *refusal, mKeepAlive);
    co_return keep;
  }
  Exchange exchange(std::move(std::get<gateway::Admission>(admitted)));
  exchange.mCaller = &mSocket;
  exchange.mOnRan = mContext.mOnRan;
  mExchange = &exchange;
  mContext.mExchanges.Add(&exchange);
  asio::co_spawn(
    mContext.mIo,
    [self = shared_from_this(), &exchange, served = mRequestsServed] {
      return self->WatchForDisconnect(exchange, served);
    },
    asio::detached);
  Forwarder forwarder(mContext, mSocket, request, exchange, mKeepAlive);
  bool keep = false;
  bool failed = false;
  try {
    keep = co_await forwarder.Run();
  } catch (const std::exception& error) {
    failed = true;
    mKeepAlive = false;
    LogException(error);
  }
  if (failed) {
    co_await forwarder.FailAfterException();
  }
  ++mRequestsServed;
  mExchange = nullptr;
  mContext.mExchanges.Remove(&exchange);
  mContext.mMetrics.mLatency.Observe(mContext.mClock.Now() - arrived);
  mContext.mMetrics.mQueued.Observe(exchange.mQueued);
  const timing::Duration aim = exchange.mAdmission.mRoute->mGapAim;
  if (aim > timing::Duration(0) && exchange.mPauses.Longest() > aim) {
    mContext.mMetrics.LateStreams(exchange.mPauses.Cause()).Increment();
  }
  LogRequest(mContext, exchange, forwarder);
  RecordTest(mContext.mLogger, mContext.mMetrics, exchange);
  // Ends WatchForDisconnect() for this request.
  mSocket.cancel(ec);
  // The head of a stream that was sent before a planned stop says that the connection is
  // kept, so its caller sends the next request on it.
  mKeptInStop = keep && mDraining;
  co_return (keep && mSocket.is_open());
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
    aExchange.AbortAttempts();
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

void CallerSession::LogClosed(std::string_view aReason, timing::Instant aNow)
{
  ErrorCode ec;
  mContext.mLogger.Info("caller's connection closed",
                        { { "reason", aReason },
                          { "requests_served", mRequestsServed },
                          { "since_ms", Millis(aNow - mStateSince) },
                          { "bytes_buffered", mBuffer.size() },
                          { "bytes_unread", mSocket.available(ec) },
                          { "draining", mDraining } });
}

void CallerSession::LogException(const std::exception& aError)
{
  mContext.mLogger.Error(
    "request ended by an exception",
    { { "error", std::string(aError.what()) }, { "requests_served", mRequestsServed } });
}

}
