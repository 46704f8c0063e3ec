#include "components/frontend/forwarder.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "components/frontend/connectionstate.hpp"
#include "components/frontend/endpointprobe.hpp"
#include "components/httpclient/responsebody.hpp"
#include "components/httpclient/responsehead.hpp"

namespace samphiresail::frontend {

namespace {

using std::chrono::milliseconds;

/// Timeout for opening a connection to an endpoint; leaves time for two lost packets.
constexpr milliseconds kConnectTimeout{ 450 };
/// Time without the head of a response after which a request that may be retried is also
/// sent to another endpoint.
constexpr milliseconds kResponseHeadTimeout{ 900 };
/// The same for the first event of a resumable stream, as a multiple of the route's
/// target latency.
constexpr int kFirstEventTimeoutTargets = 8;
constexpr milliseconds kMinFirstEventTimeout{ 2200 };
/// Maximum number of late responses to earlier requests that are discarded on one
/// connection.
constexpr int kMaxStaleResponses = 3;
/// Largest head of an endpoint's response, in bytes.
constexpr std::uint32_t kMaxResponseHeadBytes = 16384;
/// Most bytes of a body, with the framing of its chunks, that are read only to reuse the
/// connection; the outcome of the request does not wait for more.
constexpr std::size_t kMaxDiscardedBytes = 64U << 10U;
/// Longest list of prompt parts in a log line, in characters.
constexpr std::size_t kMaxLoggedPartNames = 400;

/// True if the connection can carry another request.
bool IsReusable(const AttemptState& aAttempt)
{
  const BackendConnection& connection = *aAttempt.mConnection;
  const bool ownResponse = aAttempt.mHead == AttemptState::Head::Arrived ||
                           aAttempt.mHead == AttemptState::Head::Refused;
  return ownResponse && !aAttempt.mSendFailed && aAttempt.mParser &&
         httpclient::IsConnectionReusable(*aAttempt.mParser) &&
         connection.mBuffer.size() == 0 && connection.mSocket.is_open();
}

/// Returns the identifiers of the parts in hexadecimal, separated by spaces.
std::string PromptPartNames(const std::vector<gateway::PromptPart>& aParts)
{
  std::string names;
  for (const gateway::PromptPart& part : aParts) {
    if (names.size() > kMaxLoggedPartNames) {
      return names + " ...";
    }
    names.append(names.empty() ? "" : " ").append(gateway::PartName(part.mId));
  }
  return names;
}

}

std::shared_ptr<AttemptState> Forwarder::MakeAttempt(const gateway::Choice& aChoice)
{
  auto attempt = std::make_shared<AttemptState>();
  attempt->mAttempt = aChoice.mAttempt;
  attempt->mAddress = aChoice.mEndpoint->mReport.mAddress;
  mExchange.mTried.push_back(aChoice.mAttempt.mEndpoint);
  return attempt;
}

timing::Duration Forwarder::ResponseTimeout() const
{
  const gateway::Route& route = *mExchange.mAdmission.mRoute;
  return route.mKind == gateway::RequestKind::Stream
           ? std::max<timing::Duration>(route.mTargetLatency * kFirstEventTimeoutTargets,
                                        kMinFirstEventTimeout)
           : timing::Duration(kResponseHeadTimeout);
}

asio::awaitable<void> Forwarder::RequestHead(AttemptState& aAttempt)
{
  const bool connected = co_await Connect(aAttempt);
  if (!connected || !MaySend(aAttempt)) {
    aAttempt.mHead = AttemptState::Head::Unreachable;
    co_return;
  }
  const std::string head = BuildAttemptHead(mContext.mDialect,
                                            mRequest,
                                            mExchange,
                                            aAttempt.mAttempt.mEndpoint,
                                            mContext.mClock.Now());
  const std::array<asio::const_buffer, 2> request{ asio::buffer(head),
                                                   asio::buffer(mRequest.body()) };
  ++mExchange.mAttemptsSent;
  aAttempt.mInFlight = true;
  aAttempt.mAttempt.mRequestSent = true;
  aAttempt.mSentAt = mContext.mClock.Now();
  aAttempt.mDeadline = mContext.mClock.Now() + ResponseTimeout();
  ErrorCode ec;
  co_await asio::async_write(aAttempt.mConnection->mSocket, request, RedirectError(ec));
  aAttempt.mSendFailed = static_cast<bool>(ec);
  AttemptState::Head outcome = co_await ReadOwnHead(aAttempt);
  if (outcome == AttemptState::Head::Refused) {
    co_await DiscardBody(aAttempt);
  } else if (outcome == AttemptState::Head::Arrived && aAttempt.mSendFailed &&
             aAttempt.mHasNoLength) {
    // The end of such a response would not show that it is whole.
    aAttempt.mError = httpclient::TruncatedError();
    outcome = AttemptState::Head::Failed;
  }
  aAttempt.mHead = outcome;
}

bool Forwarder::MaySend(const AttemptState& aAttempt)
{
  if (IsAborted()) {
    return false;
  }
  const timing::Instant now = mContext.mClock.Now();
  if (HasPeerClosed(mCaller)) {
    mContext.mMetrics.mCallersLeft.Increment();
    mExchange.mCallerDisconnected = true;
  } else if (now >= mExchange.mAdmission.mDeadline) {
    // The tick, which ends requests at their deadline, may be late.
    mExchange.mDeadlineExceeded = true;
    mExchange.mEndedAt = now;
  }
  if (IsAborted() && mExchange.mCurrent.get() != &aAttempt) {
    mExchange.mCurrent->Abort();
  }
  return !IsAborted();
}

asio::awaitable<bool> Forwarder::Connect(AttemptState& aAttempt)
{
  const ids::EndpointId& endpoint = aAttempt.mAttempt.mEndpoint;
  aAttempt.mConnection =
    mContext.mBackends.AcquireIdle(endpoint, IsIrreversible(), mContext.mClock.Now());
  if (aAttempt.mConnection != nullptr) {
    co_return true;
  }
  ErrorCode ec;
  const auto host = asio::ip::make_address_v4(aAttempt.mAddress.mHost, ec);
  if (ec) {
    co_return false;
  }
  aAttempt.mConnection = mContext.mBackends.CreateConnection();
  aAttempt.mConnecting = true;
  aAttempt.mDeadline = mContext.mClock.Now() + kConnectTimeout;
  const tcp::endpoint address(host, aAttempt.mAddress.mPort);
  co_await aAttempt.mConnection->mSocket.async_connect(address, RedirectError(ec));
  aAttempt.mConnecting = false;
  aAttempt.mDeadline = timing::Instant::max();
  // The tick may have closed it after it was opened.
  if (ec || aAttempt.mAborted || !aAttempt.mConnection->mSocket.is_open()) {
    aAttempt.mConnection = nullptr;
    co_return false;
  }
  aAttempt.mConnection->mSocket.non_blocking(true, ec);
  SetConnectionOptions(aAttempt.mConnection->mSocket);
  co_return mContext.mControl.MayStillSend(
    mExchange.mAdmission, aAttempt.mAttempt, mContext.mClock.Now());
}

asio::awaitable<bool> Forwarder::ReadResponseHead(AttemptState& aAttempt)
{
  ResponseParser& parser = aAttempt.mParser.emplace();
  aAttempt.mBytesAfterHead = 0;
  parser.header_limit(kMaxResponseHeadBytes);
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  const ErrorCode ec = co_await httpclient::ReadResponseHead(
    aAttempt.mConnection->mSocket, aAttempt.mConnection->mBuffer, parser);
  if (ec) {
    aAttempt.mError = ec;
    aAttempt.mWithoutMemory = IsWithoutMemory(ec, aAttempt.mConnection->mBuffer);
    co_return false;
  }
  aAttempt.mResponseBegan = true;
  aAttempt.mHasNoLength = parser.need_eof();
  aAttempt.mFacts = mContext.mDialect.ReadResponse(parser.get().base());
  const gateway::Attempt& attempt = aAttempt.mAttempt;
  if (aAttempt.mFacts.mLeaving &&
      mContext.mControl.mDirectory.MarkLeaving(
        attempt.mEndpoint, attempt.mIncarnation, mContext.mClock.Now())) {
    mContext.mLogger.Info("endpoint is leaving",
                          { { "endpoint", attempt.mEndpoint.Str() } });
  }
  co_return true;
}

asio::awaitable<AttemptState::Head> Forwarder::ReadOwnHead(AttemptState& aAttempt)
{
  const gateway::ResponseMetadata& facts = aAttempt.mFacts;
  for (int stale = 0; stale <= kMaxStaleResponses; ++stale) {
    const bool arrived = co_await ReadResponseHead(aAttempt);
    if (!arrived) {
      co_return AttemptState::Head::Failed;
    }
    const bool notRun = facts.mNotRun || facts.mWrongEndpoint;
    // Without an identifier, only the first response of a connection is certainly the one
    // to this request.
    const bool first = !aAttempt.mConnection->mUsedBefore && stale == 0;
    if (facts.mId.Empty() && notRun && !first) {
      co_return AttemptState::Head::Failed;
    }
    if (facts.mId == mExchange.mAdmission.mMetadata.mId ||
        (facts.mId.Empty() && notRun)) {
      ObserveHead(aAttempt, notRun);
      co_return notRun ? AttemptState::Head::Refused : AttemptState::Head::Arrived;
    }
    // A late response to an earlier request on this connection: its body is discarded.
    const bool discarded = co_await DiscardBody(aAttempt);
    if (!discarded) {
      break;
    }
  }
  co_return AttemptState::Head::Failed;
}

void Forwarder::ObserveHead(AttemptState& aAttempt, bool aNotRun)
{
  const timing::Instant now = mContext.mClock.Now();
  const gateway::ResponseMetadata& facts = aAttempt.mFacts;
  gateway::TrafficControl& control = mContext.mControl;
  if (facts.mPause) {
    control.mDirectory.Pause(
      aAttempt.mAttempt.mEndpoint, aAttempt.mAttempt.mIncarnation, now + *facts.mPause);
  }
  if (aNotRun) {
    LogNotRun(aAttempt);
    control.ObserveRefusal(aAttempt.mAttempt.mEndpoint, mExchange.mAdmission, facts, now);
  }
  if (!aNotRun && !mExchange.IsStream()) {
    mExchange.RecordRan(aAttempt.mSentAt);
  } else if (!aNotRun && aAttempt.IsFailure()) {
    // No event follows, so the failure itself shows that the endpoint ran the request.
    mExchange.RecordRan(now);
  }
  control.OnResponse(aAttempt.mAttempt, facts, now);
  if (facts.mKeepAlive) {
    aAttempt.mConnection->mKeepAlive = *facts.mKeepAlive;
  }
}

asio::awaitable<ErrorCode> Forwarder::ReadSome(AttemptState& aAttempt,
                                               std::string_view& aRead)
{
  ErrorCode ec;
  auto& body = aAttempt.mParser->get().body();
  body.data = aAttempt.mBytes.data();
  body.size = aAttempt.mBytes.size();
  body.more = true;
  aAttempt.mBytesAfterHead += co_await httpclient::ReadResponseBody(
    aAttempt.mConnection->mSocket, aAttempt.mConnection->mBuffer, *aAttempt.mParser, ec);
  aRead = { aAttempt.mBytes.data(), aAttempt.mBytes.size() - body.size };
  if (ec == http::error::need_buffer) {
    ec = {};
  }
  aAttempt.mError = ec;
  aAttempt.mWithoutMemory = IsWithoutMemory(ec, aAttempt.mConnection->mBuffer);
  co_return ec;
}

asio::awaitable<bool> Forwarder::DiscardBody(AttemptState& aAttempt)
{
  if (aAttempt.mHasNoLength) {
    // It ends with its connection, which cannot be used again.
    co_return false;
  }
  ErrorCode ec;
  std::string_view skipped;
  while (!ec && !aAttempt.mParser->is_done() &&
         aAttempt.mBytesAfterHead <= kMaxDiscardedBytes) {
    ec = co_await ReadSome(aAttempt, skipped);
  }
  co_return !ec && aAttempt.mParser->is_done();
}

void Forwarder::EndAttempt(AttemptState& aAttempt, Result aResult)
{
  const timing::Instant now = mContext.mClock.Now();
  const bool withdrawn =
    aResult == Result::Unreachable && aAttempt.mConnection != nullptr;
  // A dropped standby says nothing of its endpoint; a silent attempt that was handed over
  // does.
  const bool wasDropped = aAttempt.mAborted && mExchange.mCurrent.get() != &aAttempt;
  if (aAttempt.mIsStandby && aAttempt.mHead == AttemptState::Head::Refused) {
    // It ran nowhere, so the request may be sent to one more endpoint.
    --mExchange.mAttemptsSent;
  }
  if (aAttempt.mInFlight && aAttempt.mHead != AttemptState::Head::Refused &&
      !mExchange.IsStream()) {
    // No response says that it was not run.
    mExchange.RecordRan(aAttempt.mSentAt);
  }
  aAttempt.mInFlight = false;
  aAttempt.mDeadline = timing::Instant::max();
  if (aAttempt.mConnection != nullptr && (withdrawn || IsReusable(aAttempt))) {
    mContext.mBackends.Release(
      aAttempt.mAttempt.mEndpoint, std::move(aAttempt.mConnection), now);
  }
  aAttempt.mConnection = nullptr;
  if (aResult == Result::Failed && !aAttempt.mWithoutMemory &&
      (aAttempt.mError || mExchange.mEvents.Partial())) {
    LogBrokenAttempt(aAttempt);
    RecordBrokenAttempt(aAttempt);
  }
  if (aResult == Result::Delivered) {
    // The end of the endpoint looks like the end of a response without a length.
    if (aAttempt.mHasNoLength && !aAttempt.mEndpointRuns && !mExchange.mAnswered) {
      RecordBrokenAttempt(aAttempt);
    } else {
      RecordAnswered();
    }
  }
  gateway::AttemptEnd end = gateway::AttemptEnd::Failed;
  if (aResult == Result::NotRun || withdrawn) {
    end = gateway::AttemptEnd::Refused;
  } else if (aResult == Result::Delivered) {
    end = gateway::AttemptEnd::Answered;
  } else if (IsAborted() || wasDropped || aAttempt.mWithoutMemory) {
    end = gateway::AttemptEnd::Abandoned;
  } else if (aResult == Result::Unreachable) {
    end = gateway::AttemptEnd::Unreachable;
  }
  mContext.mControl.End(aAttempt.mAttempt, end, now);
}

void Forwarder::LogNotRun(const AttemptState& aAttempt)
{
  const gateway::EngineLoad& load = aAttempt.mAttempt.mLoadWhenChosen;
  const gateway::ResponseMetadata& facts = aAttempt.mFacts;
  mContext.mLogger.Info(
    "attempt refused by the endpoint",
    { { "request", mExchange.mAdmission.mMetadata.mId.Str() },
      { "endpoint", aAttempt.mAttempt.mEndpoint.Str() },
      { "status", aAttempt.mParser->get().result_int() },
      { "wrong_endpoint", facts.mWrongEndpoint },
      { "running", facts.mRunning ? static_cast<int>(*facts.mRunning) : -1 },
      { "waiting", facts.mWaiting ? static_cast<int>(*facts.mWaiting) : -1 },
      { "load_when_chosen", load.mRequests },
      { "unread_ms", load.mUnread.count() } });
}

void Forwarder::LogBrokenAttempt(const AttemptState& aAttempt)
{
  const bool malformed = httpclient::IsMalformed(aAttempt.mError);
  if (malformed) {
    mContext.mMetrics.mMalformedAnswers.Increment();
  }
  const bool truncated = httpclient::IsTruncated(aAttempt.mError);
  if (truncated) {
    mContext.mMetrics.mTruncatedAnswers.Increment();
  }
  const timing::Duration since = mContext.mClock.Now() - aAttempt.mAttempt.mSentAt;
  const gateway::Endpoint* endpoint =
    mContext.mControl.mDirectory.Find(aAttempt.mAttempt.mEndpoint);
  mContext.mLogger.Info(
    "attempt broke off",
    { { "request", mExchange.mAdmission.mMetadata.mId.Str() },
      { "endpoint", aAttempt.mAttempt.mEndpoint.Str() },
      { "attempt", mExchange.mAttemptsSent },
      { "response_began", aAttempt.mResponseBegan },
      { "events", aAttempt.mEvents },
      { "aborted", aAttempt.mAborted },
      { "error", aAttempt.mError.message() },
      { "malformed", malformed },
      { "truncated", truncated },
      { "own_requests_there", endpoint != nullptr ? endpoint->mOwnLoad.mRequests : 0 },
      { "prompt_parts", PromptPartNames(mExchange.mAdmission.mMetadata.mPromptParts) },
      { "took_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count() } });
}

void Forwarder::RecordBrokenAttempt(const AttemptState& aAttempt)
{
  if (aAttempt.mAborted || IsAborted() || mExchange.mAnswered) {
    return;
  }
  mExchange.mBrokeOff = true;
  if (mContext.mControl.OnUnansweredBreak(
        aAttempt.mAttempt, mExchange.mAdmission, mContext.mClock.Now())) {
    asio::co_spawn(
      mContext.mIo,
      ProbeEndpoint(mContext, aAttempt.mAttempt.mEndpoint, aAttempt.mAddress),
      asio::detached);
  }
}

void Forwarder::RecordAnswered()
{
  mExchange.mAnswered = true;
  mContext.mControl.OnAnswered(mExchange.mAdmission, mContext.mClock.Now());
}

}
