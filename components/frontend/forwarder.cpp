#include "components/frontend/forwarder.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace samphiresail::frontend {

namespace {

using std::chrono::milliseconds;

/// Wait for an adapter that the leader loads on demand: a digest, an order to make way,
/// an order to load, and some milliseconds of loading.
constexpr milliseconds kAdapterWait{ 600 };
/// Part of its target latency for which a request waits for a place at an endpoint: after
/// that its answer would mostly come late.
constexpr int kFullWaitDivisor = 2;
/// Time to open a connection to an endpoint; two lost packets fit in.
constexpr milliseconds kConnectLimit{ 450 };
/// Wait for the head of an answer before a request that may be repeated goes elsewhere.
constexpr milliseconds kHeadLimit{ 900 };
/// Wait for the first event of a stream that may be resumed, as a multiple of its target.
constexpr int kFirstEventTargets = 8;
constexpr milliseconds kFirstEventLeast{ 2200 };
/// Pause in a stream after which it is resumed elsewhere; callers leave after two
/// seconds.
constexpr milliseconds kGapLimit{ 1300 };
/// Answers that are kept whole before they are handed on, in bytes.
constexpr std::size_t kWholeAnswerMost = 8U << 20U;
/// Late answers to other requests that are skipped on one connection.
constexpr int kForeignAnswersMost = 3;
/// Endpoints to which a connection is tried for one request.
constexpr std::size_t kUnreachableMost = 4;
/// Head and buffer of an endpoint's answer, in bytes.
constexpr std::uint32_t kAnswerHeadMost = 16384;

bool Success(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

bool ServerFailure(unsigned aStatus)
{
  return aStatus >= 500;
}

}

Forwarder::Forwarder(FrontendContext& aContext,
                     tcp::socket& aCaller,
                     const CallerRequest& aRequest,
                     Exchange& aExchange,
                     bool aKeepAlive)
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
  std::size_t unreachable = 0;
  for (;;) {
    const gateway::Choice choice = co_await Choose();
    if (choice.mEndpoint == nullptr) {
      co_return co_await Finish(mExchange.mMayHaveRun ? Result::Failed : Result::NotRun,
                                choice.mReason);
    }
    const ids::EndpointId endpoint = choice.mEndpoint->mReport.mId;
    mExchange.mTried.push_back(endpoint);
    mExchange.mEndpointLoadWhenChosen =
      choice.mEndpoint->mInFlight + choice.mEndpoint->mPeersInFlight;
    mExchange.mRetryGranted = false;
    const Result result = co_await Attempt(*choice.mEndpoint);
    mExchange.mAttemptDeadline = timing::Instant::max();
    const bool over = mExchange.mCallerDisconnected || mExchange.mDeadlineExceeded;
    if (result == Result::Delivered || result == Result::Ended || over) {
      co_return co_await Finish(result, gateway::NoEndpoint::Full);
    }
    if (result == Result::Unreachable) {
      if (++unreachable >= kUnreachableMost) {
        co_return co_await Finish(mExchange.mMayHaveRun ? Result::Failed : Result::NotRun,
                                  gateway::NoEndpoint::NoneUsable);
      }
      continue;
    }
    if (result == Result::Failed) {
      mExchange.mMayHaveRun = true;
    }
    const bool repeatable = result == Result::NotRun || !Irreversible();
    if (!mExchange.mRetryGranted &&
        (!repeatable || !control.TrySpendRetry(
                          admission, mExchange.mAttemptsSent, mContext.mClock.Now()))) {
      co_return co_await Finish(mExchange.mMayHaveRun ? Result::Failed : Result::NotRun,
                                gateway::NoEndpoint::Full);
    }
    mContext.mMetrics.mRetries.Increment();
  }
}

timing::Duration Forwarder::WaitFor(gateway::NoEndpoint aReason) const
{
  switch (aReason) {
    case gateway::NoEndpoint::AdapterAbsent:
      return kAdapterWait;
    case gateway::NoEndpoint::Full:
      return mExchange.mAdmission.mRoute->mTargetLatency / kFullWaitDivisor;
    case gateway::NoEndpoint::ModelAbsent:
    case gateway::NoEndpoint::NoneUsable:
      return timing::Duration::zero();
  }
  return timing::Duration::zero();
}

asio::awaitable<gateway::Choice> Forwarder::Choose()
{
  const gateway::Admission& admission = mExchange.mAdmission;
  const timing::Instant begun = mContext.mClock.Now();
  bool wanted = false;
  for (;;) {
    const timing::Instant now = mContext.mClock.Now();
    gateway::Choice choice = mContext.mControl.Begin(admission, mExchange.mTried, now);
    const timing::Instant until =
      std::min(admission.mDeadline, begun + WaitFor(choice.mReason));
    if (choice.mEndpoint != nullptr || now >= until || mExchange.mCallerDisconnected) {
      co_return choice;
    }
    if (!wanted && choice.mReason == gateway::NoEndpoint::AdapterAbsent) {
      wanted = true;
      mContext.mOnWaitingForAdapter();
    }
    co_await mContext.mPlacementChanged.Wait();
  }
}

asio::awaitable<Forwarder::Result> Forwarder::Attempt(const gateway::Endpoint& aEndpoint)
{
  const ids::EndpointId id = aEndpoint.mReport.mId;
  const settings::SocketAddress address = aEndpoint.mReport.mAddress;
  const auto end = [&](gateway::AttemptEnd aEnd) {
    mContext.mControl.End(id, aEnd, mContext.mClock.Now());
  };
  std::unique_ptr<BackendConnection> made = co_await Connect(id, address);
  if (made == nullptr) {
    end(mExchange.mCallerDisconnected ? gateway::AttemptEnd::Abandoned
                                      : gateway::AttemptEnd::Unreachable);
    co_return Result::Unreachable;
  }
  bool reusable = false;
  mExchange.mBackend = made.get();
  const Result result = co_await Converse(*made, id, reusable);
  mExchange.mBackend = nullptr;
  if (reusable) {
    mContext.mBackends.Release(id, std::move(made), mContext.mClock.Now());
  }
  const bool over = mExchange.mCallerDisconnected || mExchange.mDeadlineExceeded;
  if (result == Result::NotRun) {
    end(gateway::AttemptEnd::Refused);
  } else if (result == Result::Delivered) {
    end(mFailureAnswer.empty() ? gateway::AttemptEnd::Answered
                               : gateway::AttemptEnd::Failed);
  } else {
    end(over ? gateway::AttemptEnd::Abandoned : gateway::AttemptEnd::Failed);
  }
  co_return result;
}

void Forwarder::SetAttemptDeadline(timing::Duration aLimit)
{
  mExchange.mAttemptDeadline = mContext.mClock.Now() + aLimit;
}

asio::awaitable<std::unique_ptr<BackendConnection>> Forwarder::Connect(
  const ids::EndpointId& aEndpoint,
  const settings::SocketAddress& aAddress)
{
  auto connection =
    mContext.mBackends.AcquireIdle(aEndpoint, Irreversible(), mContext.mClock.Now());
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
  SetAttemptDeadline(kConnectLimit);
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

asio::awaitable<Forwarder::Result> Forwarder::Converse(BackendConnection& aBackend,
                                                       const ids::EndpointId& aEndpoint,
                                                       bool& aReusable)
{
  ErrorCode written;
  const std::string request = BuildAttemptRequest(
    mContext.mDialect, mRequest, mExchange, aEndpoint, mContext.mClock.Now());
  ++mExchange.mAttemptsSent;
  co_await asio::async_write(
    aBackend.mSocket, asio::buffer(request), RedirectError(written));
  const gateway::Route& route = *mExchange.mAdmission.mRoute;
  const bool stream = route.mKind == gateway::RequestKind::Stream;
  if (!Irreversible()) {
    SetAttemptDeadline(stream
                         ? std::max<timing::Duration>(
                             route.mTargetLatency * kFirstEventTargets, kFirstEventLeast)
                         : timing::Duration(kHeadLimit));
  }
  std::optional<AnswerParser> parser;
  gateway::ResponseMetadata facts;
  for (int foreign = 0;; ++foreign) {
    if (foreign > kForeignAnswersMost || !co_await ReadHead(aBackend, parser, facts)) {
      co_return Result::Failed;
    }
    if (facts.mNotRun || facts.mWrongEndpoint ||
        facts.mId == mExchange.mAdmission.mMetadata.mId) {
      break;
    }
    // An answer to an earlier request that came late: its body is skipped.
    if (!co_await SkipBody(aBackend, *parser)) {
      co_return Result::Failed;
    }
  }
  const unsigned status = parser->get().result_int();
  const bool notRun = facts.mNotRun || facts.mWrongEndpoint;
  if (notRun) {
    ReportNotRun(aEndpoint, status, facts);
    mContext.mControl.ObserveRefusal(
      aEndpoint, mExchange.mAdmission, facts, mContext.mClock.Now());
  }
  mContext.mControl.ObserveLoad(aEndpoint, facts, mContext.mClock.Now());
  Result result = Result::Failed;
  if (!notRun && Success(status) && !facts.mHasResponseDigest) {
    co_return Result::Failed;
  }
  if (stream && Success(status) && !notRun) {
    result = co_await DeliverStream(aBackend, *parser);
  } else if (notRun) {
    co_await SkipBody(aBackend, *parser);
    result = Result::NotRun;
  } else {
    result = co_await DeliverWhole(aBackend, *parser);
  }
  aReusable = !written && parser->is_done() && !parser->need_eof() &&
              parser->get().keep_alive() && aBackend.mBuffer.size() == 0 &&
              aBackend.mSocket.is_open();
  if (facts.mKeepAlive) {
    aBackend.mKeepAlive = *facts.mKeepAlive;
  }
  co_return result;
}

void Forwarder::ReportNotRun(const ids::EndpointId& aEndpoint,
                             unsigned aStatus,
                             const gateway::ResponseMetadata& aFacts)
{
  const gateway::Endpoint* endpoint = mContext.mControl.mDirectory.Find(aEndpoint);
  mContext.mLogger.Info(
    "attempt refused by the endpoint",
    { { "request", mExchange.mAdmission.mMetadata.mId.Str() },
      { "endpoint", aEndpoint.Str() },
      { "status", aStatus },
      { "wrong_endpoint", aFacts.mWrongEndpoint },
      { "running", aFacts.mRunning ? static_cast<int>(*aFacts.mRunning) : -1 },
      { "waiting", aFacts.mWaiting ? static_cast<int>(*aFacts.mWaiting) : -1 },
      { "in_flight", endpoint != nullptr ? endpoint->mInFlight : 0 },
      { "peers_in_flight", endpoint != nullptr ? endpoint->mPeersInFlight : 0 } });
}

asio::awaitable<bool> Forwarder::ReadHead(BackendConnection& aBackend,
                                          std::optional<AnswerParser>& aParser,
                                          gateway::ResponseMetadata& aFacts)
{
  ErrorCode ec;
  aParser.emplace();
  aParser->header_limit(kAnswerHeadMost);
  aParser->body_limit(std::numeric_limits<std::uint64_t>::max());
  co_await http::async_read_header(
    aBackend.mSocket, aBackend.mBuffer, *aParser, RedirectError(ec));
  if (ec) {
    co_return false;
  }
  aFacts = mContext.mDialect.ReadResponse(aParser->get().base());
  co_return true;
}

asio::awaitable<ErrorCode> Forwarder::ReadSome(BackendConnection& aBackend,
                                               AnswerParser& aParser,
                                               std::string_view& aRead)
{
  ErrorCode ec;
  aParser.get().body().data = mBytes.data();
  aParser.get().body().size = mBytes.size();
  aParser.get().body().more = true;
  co_await http::async_read_some(
    aBackend.mSocket, aBackend.mBuffer, aParser, RedirectError(ec));
  aRead = { mBytes.data(), mBytes.size() - aParser.get().body().size };
  co_return ec == http::error::need_buffer ? ErrorCode{} : ec;
}

asio::awaitable<bool> Forwarder::SkipBody(BackendConnection& aBackend,
                                          AnswerParser& aParser)
{
  ErrorCode ec;
  std::string_view skipped;
  while (!ec && !aParser.is_done()) {
    ec = co_await ReadSome(aBackend, aParser, skipped);
  }
  co_return !ec;
}

asio::awaitable<Forwarder::Result> Forwarder::DeliverWhole(BackendConnection& aBackend,
                                                           AnswerParser& aParser)
{
  std::string body;
  while (!aParser.is_done()) {
    std::string_view read;
    const ErrorCode ec = co_await ReadSome(aBackend, aParser, read);
    body.append(read);
    if (ec || body.size() > kWholeAnswerMost) {
      co_return Result::Failed;
    }
  }
  const unsigned status = aParser.get().result_int();
  std::string answer = ResponseHead(aParser.get().base());
  AppendHeader(answer, "Content-Length", std::to_string(body.size()));
  if (!mKeepAlive) {
    AppendHeader(answer, "Connection", "close");
  }
  answer.append("\r\n").append(body);
  if (ServerFailure(status)) {
    mFailureAnswer = std::move(answer);
    mFailureStatus = status;
    co_return Result::Failed;
  }
  mStatus = status;
  const bool delivered = co_await WriteCaller(std::move(answer));
  co_return delivered ? Result::Delivered : Result::Ended;
}

asio::awaitable<Forwarder::Result> Forwarder::DeliverStream(BackendConnection& aBackend,
                                                            AnswerParser& aParser)
{
  const bool resumable = !Irreversible();
  mExchange.mEvents.Restart();
  while (!aParser.is_done()) {
    std::string_view read;
    const ErrorCode ec = co_await ReadSome(aBackend, aParser, read);
    const std::string_view events = mExchange.mEvents.Feed(read);
    if (!events.empty()) {
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
      out.append(EncodeChunk(events));
      if (aParser.is_done() && !mExchange.mEvents.Partial()) {
        out.append(kLastChunk);
      }
      if (!co_await WriteCaller(std::move(out))) {
        co_return Result::Ended;
      }
      if (resumable) {
        SetAttemptDeadline(kGapLimit);
      }
      if (aParser.is_done() && !mExchange.mEvents.Partial()) {
        co_return Result::Delivered;
      }
    }
    if (ec) {
      co_return Result::Failed;
    }
  }
  if (mExchange.mEvents.Partial()) {
    co_return Result::Failed;
  }
  // The stream ended without a further event, or had none at all.
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
  const bool delivered = co_await WriteCaller(std::move(out));
  co_return delivered ? Result::Delivered : Result::Ended;
}

asio::awaitable<bool> Forwarder::WriteCaller(std::string aBytes)
{
  ErrorCode ec;
  co_await asio::async_write(mCaller, asio::buffer(aBytes), RedirectError(ec));
  if (ec) {
    mExchange.mCallerDisconnected = true;
  }
  co_return !ec;
}

asio::awaitable<bool> Forwarder::SendLocalResponse(const gateway::Refusal& aRefusal)
{
  mStatus = aRefusal.mStatus;
  mContext.mMetrics.mRefusals.Increment();
  std::string answer = BuildLocalResponse(
    mContext.mDialect, mExchange.mAdmission.mMetadata, aRefusal, mKeepAlive);
  const bool written = co_await WriteCaller(std::move(answer));
  co_return written&& mKeepAlive;
}

asio::awaitable<bool> Forwarder::Finish(Result aResult, gateway::NoEndpoint aReason)
{
  if (aResult == Result::Delivered) {
    Note("answered");
    co_return mKeepAlive;
  }
  if (mExchange.mCallerDisconnected) {
    Note("caller left");
    co_return false;
  }
  if (mExchange.mResponseHeadSent) {
    // Part of the answer is out; only a closed connection tells that it is not whole.
    Note(mExchange.mDeadlineExceeded ? "stream cut at the deadline" : "stream broke off");
    mContext.mMetrics.mBroken.Increment();
    co_return false;
  }
  if (!mFailureAnswer.empty()) {
    Note("endpoint failed");
    mStatus = mFailureStatus;
    const bool written = co_await WriteCaller(std::move(mFailureAnswer));
    co_return written&& mKeepAlive;
  }
  const bool sent = mExchange.mAttemptsSent > 0;
  if (aResult == Result::NotRun || (!sent && !mExchange.mMayHaveRun)) {
    gateway::Refusal refusal =
      mContext.mControl.RefuseNotRun(mExchange.mAdmission, aReason);
    Note(refusal.mReason);
    const bool keep = co_await SendLocalResponse(refusal);
    co_return keep;
  }
  const gateway::Refusal failure =
    mExchange.mDeadlineExceeded
      ? LocalResponse(504, "the endpoint did not answer in time")
      : LocalResponse(502, "the endpoint gave no whole answer");
  Note(failure.mReason);
  const bool keep = co_await SendLocalResponse(failure);
  co_return keep;
}

}
