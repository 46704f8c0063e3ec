#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_FORWARDER_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_FORWARDER_HPP

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "components/frontend/attemptrequest.hpp"
#include "components/frontend/backendpool.hpp"
#include "components/frontend/dialect.hpp"
#include "components/frontend/exchange.hpp"
#include "components/frontend/gatewaymetrics.hpp"
#include "components/frontend/httpmessage.hpp"
#include "components/frontend/signal.hpp"
#include "components/gateway/trafficcontrol.hpp"
#include "components/logging/logger.hpp"

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
  /// Notified on each tick and when an endpoint has loaded an adapter.
  Signal& mPlacementChanged;
  /// Called repeatedly while a request waits for an adapter, so that the leader learns of
  /// it.
  std::function<void(const gateway::RequestMetadata&)> mOnWaitingForAdapter;
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
  asio::awaitable<Result> RunAttempt(const settings::SocketAddress& aAddress);
  asio::awaitable<std::unique_ptr<BackendConnection>> Connect(
    const ids::EndpointId& aEndpoint,
    const settings::SocketAddress& aAddress);
  asio::awaitable<Result> SendAndReceive(BackendConnection& aBackend, bool& aReusable);
  using ResponseParser = http::response_parser<http::buffer_body>;
  asio::awaitable<bool> ReadResponseHead(BackendConnection& aBackend,
                                         std::optional<ResponseParser>& aParser,
                                         gateway::ResponseMetadata& aFacts);
  /// Reads the part of a body that has arrived; the view is valid until the next read.
  asio::awaitable<ErrorCode> ReadSome(BackendConnection& aBackend,
                                      ResponseParser& aParser,
                                      std::string_view& aRead);
  asio::awaitable<bool> DiscardBody(BackendConnection& aBackend, ResponseParser& aParser);
  asio::awaitable<Result> ForwardBufferedResponse(BackendConnection& aBackend,
                                                  ResponseParser& aParser);
  asio::awaitable<Result> ForwardEventStream(BackendConnection& aBackend,
                                             ResponseParser& aParser);
  asio::awaitable<bool> SendLocalResponse(const gateway::Refusal& aRefusal);
  /// Sends the final response. aChoice is the last choice of an endpoint, for the reason
  /// and the retry time of a refusal.
  asio::awaitable<bool> Finish(Result aResult, const gateway::Choice& aChoice);
  asio::awaitable<bool> WriteToCaller(std::string aBytes);

  /// Logs that an endpoint did not run the request, with the load reported for it.
  void LogNotRun(unsigned aStatus, const gateway::ResponseMetadata& aFacts);
  /// Logs that the endpoint's response to an attempt broke off or never came.
  void LogBrokenAttempt();
  /// Learns from a response that broke off whether its endpoint has ended.
  void RecordBrokenAttempt(const settings::SocketAddress& aAddress);
  /// Records that the request was answered beyond its first event.
  void RecordAnswered();
  /// Records the first event of a stream, for the caller and for the forecasts.
  void RecordFirstEvent();
  bool IsIrreversible() const { return !mExchange.mAdmission.mRoute->IsRetryable(); }
  void SetAttemptDeadline(timing::Duration aTimeout);
  void SetOutcome(std::string aOutcome) { mOutcome = std::move(aOutcome); }

  FrontendContext& mContext;
  tcp::socket& mCaller;
  const CallerRequest& mRequest;
  Exchange& mExchange;
  const bool& mKeepAlive;
  std::string mOutcome;
  unsigned mStatus{ 0 };
  /// Complete 5xx response of an endpoint, sent to the caller if no later attempt
  /// succeeds.
  std::string mFailureResponse;
  unsigned mFailureStatus{ 0 };
  /// Buffer for bytes read from an endpoint.
  std::array<char, 8192> mBytes{};
};

}

#endif
