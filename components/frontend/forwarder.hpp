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

/// What all requests of a process share.
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
  /// Comes with each tick and when an endpoint holds something new.
  Signal& mPlacementChanged;
  /// Tells the leader that a request waits for an adapter.
  std::function<void()> mOnWaitingForAdapter;
};

/// Carries one admitted request: chooses an endpoint, sends the request, hands the answer
/// to the caller, and repeats or resumes it elsewhere where that is allowed.
class Forwarder
{
public:
  Forwarder(FrontendContext& aContext,
            tcp::socket& aCaller,
            const CallerRequest& aRequest,
            Exchange& aExchange,
            bool aKeepAlive);

  /// Runs to the final answer. Returns false if the caller's connection must be closed.
  asio::awaitable<bool> Run();

  const std::string& Outcome() const { return mOutcome; }
  unsigned Status() const { return mStatus; }

private:
  enum class Result
  {
    /// The caller has its whole answer.
    Delivered,
    /// Nothing ran; another endpoint may.
    NotRun,
    /// Nothing was sent.
    Unreachable,
    /// It may have run and gave no answer to hand on.
    Failed,
    /// The caller or its connection is gone, or the answer broke off for good.
    Ended,
  };

  /// Returns how long a request waits for an endpoint that is missing for that reason.
  timing::Duration WaitFor(gateway::NoEndpoint aReason) const;
  /// Begins an attempt; waits a little if only an adapter or a place is missing.
  asio::awaitable<gateway::Choice> Choose();
  asio::awaitable<Result> Attempt(const gateway::Endpoint& aEndpoint);
  asio::awaitable<std::unique_ptr<BackendConnection>> Connect(
    const ids::EndpointId& aEndpoint,
    const settings::SocketAddress& aAddress);
  asio::awaitable<Result> Converse(BackendConnection& aBackend,
                                   const ids::EndpointId& aEndpoint,
                                   bool& aReusable);
  using AnswerParser = http::response_parser<http::buffer_body>;
  asio::awaitable<bool> ReadHead(BackendConnection& aBackend,
                                 std::optional<AnswerParser>& aParser,
                                 gateway::ResponseMetadata& aFacts);
  /// Reads what has arrived of a body; the view is valid until the next read.
  asio::awaitable<ErrorCode> ReadSome(BackendConnection& aBackend,
                                      AnswerParser& aParser,
                                      std::string_view& aRead);
  asio::awaitable<bool> SkipBody(BackendConnection& aBackend, AnswerParser& aParser);
  asio::awaitable<Result> DeliverWhole(BackendConnection& aBackend,
                                       AnswerParser& aParser);
  asio::awaitable<Result> DeliverStream(BackendConnection& aBackend,
                                        AnswerParser& aParser);
  asio::awaitable<bool> SendLocalResponse(const gateway::Refusal& aRefusal);
  asio::awaitable<bool> Finish(Result aResult, gateway::NoEndpoint aReason);
  asio::awaitable<bool> WriteCaller(std::string aBytes);

  /// Logs that an endpoint did not run the request, with what was known of its load.
  void ReportNotRun(const ids::EndpointId& aEndpoint,
                    unsigned aStatus,
                    const gateway::ResponseMetadata& aFacts);
  bool Irreversible() const { return !mExchange.mAdmission.mRoute->IsRetryable(); }
  void SetAttemptDeadline(timing::Duration aLimit);
  void Note(std::string aOutcome) { mOutcome = std::move(aOutcome); }

  FrontendContext& mContext;
  tcp::socket& mCaller;
  const CallerRequest& mRequest;
  Exchange& mExchange;
  bool mKeepAlive;
  std::string mOutcome;
  unsigned mStatus{ 0 };
  /// Whole answer with a failure of an endpoint, for the caller if nothing better comes.
  std::string mFailureAnswer;
  unsigned mFailureStatus{ 0 };
  /// Bytes read from an endpoint at a time.
  std::array<char, 8192> mBytes{};
};

}

#endif
