#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_FORWARDER_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_FORWARDER_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "components/frontend/attemptrequest.hpp"
#include "components/frontend/backendpool.hpp"
#include "components/frontend/dialect.hpp"
#include "components/frontend/exchange.hpp"
#include "components/frontend/gatewaymetrics.hpp"
#include "components/frontend/httpmessage.hpp"
#include "components/frontend/signal.hpp"
#include "components/gateway/trafficcontrol.hpp"
#include "components/limits/bytebudget.hpp"
#include "components/logging/linelimiter.hpp"
#include "components/logging/logger.hpp"
#include "components/timing/eventlooplag.hpp"

namespace samphiresail::frontend {

/// Objects shared by all requests of a process.
struct FrontendContext
{
  asio::io_context& mIo;
  const timing::Clock& mClock;
  const Dialect& mDialect;
  gateway::TrafficControl& mControl;
  BackendPool& mBackends;
  ExchangeTable& mExchanges;
  logging::Logger& mLogger;
  GatewayMetrics& mMetrics;
  const timing::EventLoopLag& mLag;
  /// Bounds the log lines of requests that were not sent.
  logging::LineLimiter& mUnsentLines;
  /// Memory for the buffers of connections.
  limits::ByteBudget& mConnectionBytes;
  /// Memory for the bodies of the callers' requests.
  limits::ByteBudget& mRequestBytes;
  /// Memory for responses that are held until they are complete.
  limits::ByteBudget& mResponseBytes;
  /// Notified on each tick and when an endpoint has loaded an adapter.
  Signal& mPlacementChanged;
  /// Called repeatedly while a request waits for an adapter, so that the leader learns of
  /// it.
  std::function<void(const gateway::RequestMetadata&)> mOnWaitingForAdapter;
  /// Empty unless usage is reported.
  Exchange::RanHandler mOnRan{};
};

/// Forwards one admitted request: chooses an endpoint, sends the request, forwards the
/// response to the caller, and retries or resumes it at another endpoint where that is
/// allowed.
class Forwarder
{
public:
  /// aKeepAlive says whether the caller's connection is kept; it is read whenever a head
  /// is built, as a planned stop may begin meanwhile.
  Forwarder(FrontendContext& aContext,
            tcp::socket& aCaller,
            const CallerRequest& aRequest,
            Exchange& aExchange,
            const bool& aKeepAlive);

  /// Runs until the final response is sent. Returns false if the caller's connection must
  /// be closed.
  asio::awaitable<bool> Run();

  /// Ends a request that an exception has interrupted: the caller gets a failure, unless
  /// a response has begun. Its connection must be closed.
  asio::awaitable<void> FailAfterException();

  const std::string& Outcome() const { return mOutcome; }
  unsigned Status() const { return mStatus; }

private:
  enum class Result
  {
    /// The whole response was sent to the caller.
    Delivered,
    /// The endpoint did not run the request; another endpoint may.
    NotRun,
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The request may have run, but no response could be forwarded.
    Failed,
    /// The response could not be written to the caller, which has disconnected.
    Ended,
  };

  /// Returns until when the request may wait for an endpoint after a choice without one;
  /// aNow if it is not to wait. aStart is when it began to wait.
  timing::Instant WaitDeadline(const gateway::Choice& aChoice,
                               timing::Instant aStart,
                               timing::Instant aNow) const;
  /// Begins an attempt; waits until WaitDeadline() if only an adapter or a free engine is
  /// missing.
  asio::awaitable<gateway::Choice> Choose();
  /// Returns the endpoints that were tried, without those that may be asked again because
  /// only their connections broke.
  std::vector<ids::EndpointId> TriedOtherThanBroken() const;
  /// Runs the current attempt to its end. aTakesOver: it was the standby until now, and
  /// SeekStandby() reads the head of its response.
  asio::awaitable<Result> RunAttempt(bool aTakesOver);
  std::shared_ptr<AttemptState> MakeAttempt(const gateway::Choice& aChoice);
  /// Connects to the attempt's endpoint, sends the request and reads the head of the
  /// response; mHead of the attempt holds the outcome.
  asio::awaitable<void> RequestHead(AttemptState& aAttempt);
  /// Returns true if the current attempt, whose connection takes long to open, is to be
  /// ended: the request can still be refused, or another endpoint has been found for it.
  bool MayGiveUpConnection();
  /// Opens a connection or takes an idle one. Returns false if there is none, or if the
  /// request must not be sent any more.
  asio::awaitable<bool> Connect(AttemptState& aAttempt);
  /// Called before each send of the request. Returns false if its caller has left or its
  /// deadline has passed, and then ends the other attempt.
  bool MaySend(const AttemptState& aAttempt);
  /// Reads heads until the one that belongs to the request.
  asio::awaitable<AttemptState::Head> ReadOwnHead(AttemptState& aAttempt);
  asio::awaitable<bool> ReadResponseHead(AttemptState& aAttempt);
  /// Records what the head of the response says of the endpoint.
  void ObserveHead(AttemptState& aAttempt, bool aNotRun);
  /// Forwards the response to the current attempt, whose head has been read.
  asio::awaitable<Result> ForwardResponse(AttemptState& aAttempt);
  /// Reads the part of a body that has arrived; the view is valid until the next read.
  static asio::awaitable<ErrorCode> ReadSome(AttemptState& aAttempt,
                                             std::string_view& aRead);
  static asio::awaitable<bool> DiscardBody(AttemptState& aAttempt);
  /// Learns whether a response without a length, which ended with its connection, ended
  /// with its endpoint as well and so may be a part of the response. Returns true if it
  /// did; an endpoint that leaves ends after its last response.
  asio::awaitable<bool> EndedWithEndpoint(AttemptState& aAttempt);
  asio::awaitable<Result> ForwardBufferedResponse(AttemptState& aAttempt);
  /// Appends to a body that is held, once there is memory for it. Returns false if there
  /// is none or the attempt was ended.
  asio::awaitable<bool> AppendHeld(AttemptState& aAttempt,
                                   limits::ByteBudget::Share& aHeld,
                                   std::string& aBody,
                                   std::string_view aRead);
  /// Waits until there is memory for a response that is held and then has the size.
  /// Returns false if there is none or the attempt was ended.
  asio::awaitable<bool> AwaitMemory(AttemptState& aAttempt,
                                    limits::ByteBudget::Share& aHeld,
                                    std::size_t aSize);
  asio::awaitable<Result> ForwardEventStream(AttemptState& aAttempt);
  /// Records how an attempt ended and keeps its connection if it can be used again.
  void EndAttempt(AttemptState& aAttempt, Result aResult);

  /// Starts SeekStandby().
  void StartStandby();
  /// Runs SeekStandby() and says when it has ended, also by an exception.
  asio::awaitable<void> RunStandbySearch();
  /// Sends the request to another endpoint while the current one is silent, and ends the
  /// current attempt once that endpoint has begun a response.
  asio::awaitable<void> SeekStandby();
  /// Ends the standby, since the current attempt goes on.
  void DropStandby();

  asio::awaitable<bool> SendLocalResponse(const gateway::Refusal& aRefusal);
  /// Sends the final response. aChoice is the last choice of an endpoint, for the reason
  /// and the retry time of a refusal.
  asio::awaitable<bool> Finish(Result aResult, const gateway::Choice& aChoice);
  asio::awaitable<bool> WriteToCaller(std::string aHead, std::string aBody = {});

  /// Gives up the attempt that was to be the next one.
  void ReleaseNextAttempt();
  /// Ends the standby and waits until nothing refers to this object any more.
  asio::awaitable<void> EndStandby();
  /// Records how a standby that did not take over ended.
  void EndStandbyAttempt(AttemptState& aStandby);
  /// Logs a step of a standby beside the current attempt.
  void LogStandby(std::string_view aMessage, const AttemptState& aStandby);
  /// Logs that an endpoint did not run the request, with the load reported for it.
  void LogNotRun(const AttemptState& aAttempt);
  /// Logs that the endpoint's response to an attempt broke off or never came.
  void LogBrokenAttempt(const AttemptState& aAttempt);
  /// Learns from a response that broke off whether its endpoint has ended.
  void RecordBrokenAttempt(const AttemptState& aAttempt);
  /// Records that the request was answered beyond its first event.
  void RecordAnswered();
  /// Records the first event of a stream, for the caller and for the forecasts.
  void RecordFirstEvent(AttemptState& aAttempt);
  /// Records how many events a complete stream had and how long it took after the first.
  void RecordOutput(timing::Instant aFirstEvent);
  bool IsIrreversible() const { return !mExchange.mAdmission.mRoute->IsRetryable(); }
  /// Returns whether the caller's connection is kept, for a head that is being built.
  bool SayKeepAlive();
  bool IsAborted() const
  {
    return mExchange.mCallerDisconnected || mExchange.mDeadlineExceeded;
  }
  /// How long an endpoint may take to begin its response before another one is tried.
  timing::Duration ResponseTimeout() const;
  void SetOutcome(std::string aOutcome) { mOutcome = std::move(aOutcome); }

  FrontendContext& mContext;
  tcp::socket& mCaller;
  const CallerRequest& mRequest;
  Exchange& mExchange;
  const bool& mKeepAlive;
  /// What the head of the response to the caller said.
  bool mSaidKeepAlive{ true };
  std::string mOutcome;
  unsigned mStatus{ 0 };
  /// Complete 5xx response of an endpoint, sent to the caller if no later attempt
  /// succeeds.
  std::string mFailureHead;
  std::string mFailureBody;
  std::unique_ptr<limits::ByteBudget::Share> mFailureBytes;
  unsigned mFailureStatus{ 0 };
  /// Bytes of a response were sent to the caller.
  bool mResponseSent{ false };
  /// Endpoints whose connections ended with an error and that have not been asked again.
  /// They may still run, and are asked again if no other endpoint is found.
  std::vector<ids::EndpointId> mBrokenConnections;
  /// The next attempt, if its endpoint was found before the current one ended.
  std::shared_ptr<AttemptState> mNextAttempt;
  /// Number of SeekStandby() that run. One runs on while a standby that has taken over
  /// awaits the head of its response.
  unsigned mStandbySearches{ 0 };
  /// Notified when SeekStandby() has a result or ends.
  std::optional<Signal> mStandbyChanged;
};

}

#endif
