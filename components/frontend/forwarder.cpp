#include "components/frontend/forwarder.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "components/frontend/endpointprobe.hpp"

namespace samphiresail::frontend {

namespace {

using std::chrono::milliseconds;

/// Longest wait for an adapter that the leader loads on demand. It covers a peer report,
/// an order to evict another adapter, an order to load, and some milliseconds of loading.
constexpr milliseconds kMaxAdapterWait{ 600 };
/// Timeout for opening a connection to an endpoint; leaves time for two lost packets.
constexpr milliseconds kConnectTimeout{ 450 };
/// Timeout for the head of a response, after which a request that may be retried is sent
/// to another endpoint.
constexpr milliseconds kResponseHeadTimeout{ 900 };
/// Timeout for the first event of a resumable stream, as a multiple of the route's target
/// latency.
constexpr int kFirstEventTimeoutTargets = 8;
constexpr milliseconds kMinFirstEventTimeout{ 2200 };
/// Maximum number of late responses to earlier requests that are discarded on one
/// connection.
constexpr int kMaxStaleResponses = 3;
/// A request fails once no connection could be opened to this many endpoints.
constexpr std::size_t kMaxUnreachableEndpoints = 4;
/// Longest list of prompt parts in a log line, in characters.
constexpr std::size_t kMaxLoggedPartNames = 400;

bool IsSuccess(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
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
    const gateway::Choice choice = co_await Choose();
    if (choice.mEndpoint == nullptr) {
      co_return co_await Finish(mExchange.mMayHaveRun ? Result::Failed : Result::NotRun,
                                choice);
    }
    const settings::SocketAddress address = choice.mEndpoint->mReport.mAddress;
    mExchange.mAttempt = choice.mAttempt;
    mExchange.mTried.push_back(choice.mAttempt.mEndpoint);
    mExchange.mRetryGranted = false;
    const Result result = co_await RunAttempt(address);
    mExchange.mAttemptDeadline = timing::Instant::max();
    const bool aborted = mExchange.mCallerDisconnected || mExchange.mDeadlineExceeded;
    if (result == Result::Delivered || result == Result::Ended || aborted) {
      co_return co_await Finish(result, full);
    }
    if (result == Result::Unreachable) {
      if (++unreachable >= kMaxUnreachableEndpoints) {
        co_return co_await Finish(mExchange.mMayHaveRun ? Result::Failed : Result::NotRun,
                                  noneUsable);
      }
      continue;
    }
    if (result == Result::Failed) {
      mExchange.mMayHaveRun = true;
    }
    const bool repeatable = result == Result::NotRun || !IsIrreversible();
    if (!mExchange.mRetryGranted &&
        (!repeatable || !control.TrySpendRetry(
                          admission, mExchange.mAttemptsSent, mContext.mClock.Now()))) {
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
    case gateway::NoEndpoint::ModelAbsent:
    case gateway::NoEndpoint::NoneUsable:
    case gateway::NoEndpoint::Paused:
    case gateway::NoEndpoint::Quarantined:
    case gateway::NoEndpoint::Stopping:
      return aNow;
  }
  return aNow;
}

asio::awaitable<gateway::Choice> Forwarder::Choose()
{
  const gateway::Admission& admission = mExchange.mAdmission;
  const timing::Instant start = mContext.mClock.Now();
  for (;;) {
    const timing::Instant now = mContext.mClock.Now();
    gateway::Choice choice = mContext.mControl.Begin(admission, mExchange.mTried, now);
    if (choice.mEndpoint != nullptr || mExchange.mCallerDisconnected ||
        now >= WaitDeadline(choice, start, now)) {
      mExchange.mQueued += now - start;
      co_return choice;
    }
    if (choice.mReason == gateway::NoEndpoint::AdapterAbsent) {
      mContext.mOnWaitingForAdapter(admission.mMetadata);
    }
    co_await mContext.mPlacementChanged.Wait();
  }
}

asio::awaitable<Forwarder::Result> Forwarder::RunAttempt(
  const settings::SocketAddress& aAddress)
{
  const ids::EndpointId id = mExchange.mAttempt.mEndpoint;
  mExchange.mResponseBegan = false;
  mExchange.mResponseHasNoLength = false;
  mExchange.mAttemptEvents = 0;
  mExchange.mAttemptError = {};
  const auto end = [&](gateway::AttemptEnd aEnd) {
    mContext.mControl.End(mExchange.mAttempt, aEnd, mContext.mClock.Now());
  };
  std::unique_ptr<BackendConnection> connection = co_await Connect(id, aAddress);
  if (connection == nullptr) {
    end(mExchange.mCallerDisconnected ? gateway::AttemptEnd::Abandoned
                                      : gateway::AttemptEnd::Unreachable);
    co_return Result::Unreachable;
  }
  if (!mContext.mControl.mDirectory.TakesRequests(id, mContext.mClock.Now())) {
    // The endpoint was withdrawn while the connection was opened.
    end(gateway::AttemptEnd::Refused);
    mContext.mBackends.Release(id, std::move(connection), mContext.mClock.Now());
    co_return Result::Unreachable;
  }
  bool reusable = false;
  mExchange.mBackend = connection.get();
  const Result result = co_await SendAndReceive(*connection, reusable);
  mExchange.mBackend = nullptr;
  if (reusable) {
    mContext.mBackends.Release(id, std::move(connection), mContext.mClock.Now());
  }
  const bool aborted = mExchange.mCallerDisconnected || mExchange.mDeadlineExceeded;
  if (result == Result::Failed &&
      (mExchange.mAttemptError || mExchange.mEvents.Partial())) {
    LogBrokenAttempt();
    RecordBrokenAttempt(aAddress);
  }
  if (result == Result::Delivered && mFailureResponse.empty()) {
    // The end of the endpoint looks like the end of a response without a length.
    if (mExchange.mResponseHasNoLength && !mExchange.mAnswered) {
      RecordBrokenAttempt(aAddress);
    } else {
      RecordAnswered();
    }
  }
  if (result == Result::NotRun) {
    end(gateway::AttemptEnd::Refused);
  } else if (result == Result::Delivered) {
    end(mFailureResponse.empty() ? gateway::AttemptEnd::Answered
                                 : gateway::AttemptEnd::Failed);
  } else {
    end(aborted ? gateway::AttemptEnd::Abandoned : gateway::AttemptEnd::Failed);
  }
  co_return result;
}

void Forwarder::SetAttemptDeadline(timing::Duration aTimeout)
{
  mExchange.mAttemptDeadline = mContext.mClock.Now() + aTimeout;
}

asio::awaitable<std::unique_ptr<BackendConnection>> Forwarder::Connect(
  const ids::EndpointId& aEndpoint,
  const settings::SocketAddress& aAddress)
{
  auto connection =
    mContext.mBackends.AcquireIdle(aEndpoint, IsIrreversible(), mContext.mClock.Now());
  if (connection != nullptr) {
    co_return connection;
  }
  connection = mContext.mBackends.CreateConnection();
  ErrorCode ec;
  const auto host = asio::ip::make_address_v4(aAddress.mHost, ec);
  if (ec) {
    co_return nullptr;
  }
  mExchange.mBackend = connection.get();
  mExchange.mConnecting = true;
  SetAttemptDeadline(kConnectTimeout);
  const tcp::endpoint endpoint(host, aAddress.mPort);
  co_await connection->mSocket.async_connect(endpoint, RedirectError(ec));
  mExchange.mBackend = nullptr;
  mExchange.mConnecting = false;
  mExchange.mAttemptDeadline = timing::Instant::max();
  if (ec || mExchange.mCallerDisconnected || mExchange.mDeadlineExceeded) {
    co_return nullptr;
  }
  connection->mSocket.non_blocking(true, ec);
  SetConnectionOptions(connection->mSocket);
  co_return connection;
}

asio::awaitable<Forwarder::Result> Forwarder::SendAndReceive(BackendConnection& aBackend,
                                                             bool& aReusable)
{
  ErrorCode written;
  const std::string request = BuildAttemptRequest(mContext.mDialect,
                                                  mRequest,
                                                  mExchange,
                                                  mExchange.mAttempt.mEndpoint,
                                                  mContext.mClock.Now());
  ++mExchange.mAttemptsSent;
  co_await asio::async_write(
    aBackend.mSocket, asio::buffer(request), RedirectError(written));
  const gateway::Route& route = *mExchange.mAdmission.mRoute;
  const bool stream = route.mKind == gateway::RequestKind::Stream;
  if (!IsIrreversible()) {
    SetAttemptDeadline(stream ? std::max<timing::Duration>(route.mTargetLatency *
                                                             kFirstEventTimeoutTargets,
                                                           kMinFirstEventTimeout)
                              : timing::Duration(kResponseHeadTimeout));
  }
  std::optional<ResponseParser> parser;
  gateway::ResponseMetadata facts;
  for (int stale = 0;; ++stale) {
    if (stale > kMaxStaleResponses ||
        !co_await ReadResponseHead(aBackend, parser, facts)) {
      co_return Result::Failed;
    }
    if (facts.mId == mExchange.mAdmission.mMetadata.mId) {
      break;
    }
    if (facts.mId.Empty() && (facts.mNotRun || facts.mWrongEndpoint)) {
      // Without an identifier, only the first response of a connection is certainly the
      // one to this request.
      if (aBackend.mUsedBefore || stale > 0) {
        co_return Result::Failed;
      }
      break;
    }
    // A late response to an earlier request on this connection: its body is discarded.
    if (!co_await DiscardBody(aBackend, *parser)) {
      co_return Result::Failed;
    }
  }
  if (facts.mPause) {
    mContext.mControl.mDirectory.Pause(mExchange.mAttempt.mEndpoint,
                                       mExchange.mAttempt.mIncarnation,
                                       mContext.mClock.Now() + *facts.mPause);
  }
  const unsigned status = parser->get().result_int();
  const bool notRun = facts.mNotRun || facts.mWrongEndpoint;
  if (notRun) {
    LogNotRun(status, facts);
    mContext.mControl.ObserveRefusal(
      mExchange.mAttempt.mEndpoint, mExchange.mAdmission, facts, mContext.mClock.Now());
  }
  mContext.mControl.OnResponse(mExchange.mAttempt, facts, mContext.mClock.Now());
  Result result = Result::Failed;
  if (!notRun && IsSuccess(status) && !facts.mHasResponseDigest) {
    co_return Result::Failed;
  }
  if (stream && IsSuccess(status) && !notRun) {
    result = co_await ForwardEventStream(aBackend, *parser);
  } else if (notRun) {
    co_await DiscardBody(aBackend, *parser);
    result = Result::NotRun;
  } else if (mExchange.mResponseHeadSent) {
    // An error response cannot be forwarded inside a stream that has begun.
    co_await DiscardBody(aBackend, *parser);
  } else {
    result = co_await ForwardBufferedResponse(aBackend, *parser);
  }
  aReusable = !written && parser->is_done() && !parser->need_eof() &&
              parser->get().keep_alive() && aBackend.mBuffer.size() == 0 &&
              aBackend.mSocket.is_open();
  if (facts.mKeepAlive) {
    aBackend.mKeepAlive = *facts.mKeepAlive;
  }
  co_return result;
}

void Forwarder::LogNotRun(unsigned aStatus, const gateway::ResponseMetadata& aFacts)
{
  const gateway::EngineLoad& load = mExchange.mAttempt.mLoadWhenChosen;
  mContext.mLogger.Info(
    "attempt refused by the endpoint",
    { { "request", mExchange.mAdmission.mMetadata.mId.Str() },
      { "endpoint", mExchange.mAttempt.mEndpoint.Str() },
      { "status", aStatus },
      { "wrong_endpoint", aFacts.mWrongEndpoint },
      { "running", aFacts.mRunning ? static_cast<int>(*aFacts.mRunning) : -1 },
      { "waiting", aFacts.mWaiting ? static_cast<int>(*aFacts.mWaiting) : -1 },
      { "load_when_chosen", load.mRequests },
      { "unread_ms", load.mUnread.count() } });
}

void Forwarder::LogBrokenAttempt()
{
  const timing::Duration since = mContext.mClock.Now() - mExchange.mAttempt.mSentAt;
  const gateway::Endpoint* endpoint =
    mContext.mControl.mDirectory.Find(mExchange.mAttempt.mEndpoint);
  mContext.mLogger.Info(
    "attempt broke off",
    { { "request", mExchange.mAdmission.mMetadata.mId.Str() },
      { "endpoint", mExchange.mAttempt.mEndpoint.Str() },
      { "attempt", mExchange.mAttemptsSent },
      { "response_began", mExchange.mResponseBegan },
      { "events", mExchange.mAttemptEvents },
      { "aborted", mExchange.mRetryGranted || mExchange.mDeadlineExceeded },
      { "error", mExchange.mAttemptError.message() },
      { "own_requests_there", endpoint != nullptr ? endpoint->mOwnLoad.mRequests : 0 },
      { "prompt_parts", PromptPartNames(mExchange.mAdmission.mMetadata.mPromptParts) },
      { "took_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count() } });
}

void Forwarder::RecordBrokenAttempt(const settings::SocketAddress& aAddress)
{
  const bool aborted = mExchange.mRetryGranted || mExchange.mDeadlineExceeded ||
                       mExchange.mCallerDisconnected;
  if (aborted || mExchange.mAnswered) {
    return;
  }
  if (mContext.mControl.OnUnansweredBreak(
        mExchange.mAttempt, mExchange.mAdmission, mContext.mClock.Now())) {
    asio::co_spawn(mContext.mIo,
                   ProbeEndpoint(mContext, mExchange.mAttempt.mEndpoint, aAddress),
                   asio::detached);
  }
}

void Forwarder::RecordAnswered()
{
  mExchange.mAnswered = true;
  mContext.mControl.OnAnswered(mExchange.mAdmission, mContext.mClock.Now());
}

asio::awaitable<bool> Forwarder::SendLocalResponse(const gateway::Refusal& aRefusal)
{
  mStatus = aRefusal.mStatus;
  mContext.mMetrics.mRefusals.Increment();
  std::string response = BuildLocalResponse(
    mContext.mDialect, mExchange.mAdmission.mMetadata, aRefusal, mKeepAlive);
  const bool written = co_await WriteToCaller(std::move(response));
  co_return written&& mKeepAlive;
}

asio::awaitable<bool> Forwarder::Finish(Result aResult, const gateway::Choice& aChoice)
{
  if (aResult == Result::Delivered) {
    SetOutcome("answered");
    co_return mKeepAlive;
  }
  if (mExchange.mCallerDisconnected) {
    SetOutcome("caller left");
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
  if (!mFailureResponse.empty()) {
    SetOutcome("endpoint failed");
    mStatus = mFailureStatus;
    const bool written = co_await WriteToCaller(std::move(mFailureResponse));
    co_return written&& mKeepAlive;
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
      : LocalResponse(502, "the endpoint gave no whole answer");
  SetOutcome(failure.mReason);
  const bool keep = co_await SendLocalResponse(failure);
  co_return keep;
}

}
