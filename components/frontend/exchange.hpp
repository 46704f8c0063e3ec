#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_EXCHANGE_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_EXCHANGE_HPP

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "components/frontend/backendpool.hpp"
#include "components/gateway/eventsplitter.hpp"
#include "components/gateway/trafficcontrol.hpp"

namespace samphiresail::frontend {

/// State of one request of a caller while it is forwarded, including the deadlines and
/// connections with which ExchangeTable::Tick() ends it.
struct Exchange
{
  explicit Exchange(gateway::Admission aAdmission)
    : mAdmission(std::move(aAdmission))
  {
  }

  gateway::Admission mAdmission;
  std::vector<ids::EndpointId> mTried;
  /// The current attempt, or the last one.
  gateway::Attempt mAttempt;
  /// Time that the request waited at this entry for an endpoint.
  timing::Duration mQueued{ 0 };
  /// Time from the arrival of the request to the first event of its stream.
  std::optional<timing::Duration> mTimeToFirstEvent;
  /// Number of attempts whose request was sent.
  std::size_t mAttemptsSent{ 0 };
  /// An earlier attempt may have run.
  bool mMayHaveRun{ false };
  bool mCallerDisconnected{ false };
  bool mDeadlineExceeded{ false };
  /// The current attempt exceeded mAttemptDeadline, and another one may follow.
  bool mRetryGranted{ false };
  timing::Instant mAttemptDeadline{ timing::Instant::max() };
  /// The current attempt is still connecting; nothing was sent.
  bool mConnecting{ false };
  /// The head of a response to the current attempt has arrived.
  bool mResponseBegan{ false };
  /// The response to the current attempt has neither a length nor chunks, so that it ends
  /// with its connection.
  bool mResponseHasNoLength{ false };
  /// Blocks of events that the current attempt has brought.
  std::size_t mAttemptEvents{ 0 };
  /// An attempt was answered beyond its first event.
  bool mAnswered{ false };
  /// Error that ended the connection of the current attempt, if any.
  ErrorCode mAttemptError;
  /// Connection of the current attempt, so that AbortAttempt() can close it.
  BackendConnection* mBackend{ nullptr };
  tcp::socket* mCaller{ nullptr };
  /// The head of a streamed response was sent to the caller.
  bool mResponseHeadSent{ false };
  gateway::EventSplitter mEvents;

  /// Closes the connection of the current attempt; its coroutine receives an error.
  void AbortAttempt()
  {
    if (mBackend != nullptr) {
      CloseSocket(mBackend->mSocket);
    }
  }
};

/// Exchanges in progress. One periodic tick enforces all deadlines, so that no exchange
/// needs a timer.
class ExchangeTable
{
public:
  /// Time after the deadline at which the connection of a caller that reads no bytes is
  /// closed.
  static constexpr timing::Duration kWriteGrace = std::chrono::milliseconds(200);

  void Add(Exchange* aExchange) { mExchanges.insert(aExchange); }
  void Remove(Exchange* aExchange) { mExchanges.erase(aExchange); }
  std::size_t Size() const { return mExchanges.size(); }
  /// Decisions on exchanges in progress.
  struct Decisions
  {
    /// Returns true if the endpoint of the current attempt has been silent for so long
    /// that another one should be tried.
    std::function<bool(const Exchange&)> mIsSilent;
    /// Returns true if the request may be sent to another endpoint, and spends one retry.
    std::function<bool(const Exchange&)> mTrySpendRetry;
  };

  /// Lets no request in progress last longer than until the given instant.
  void LimitDeadlines(timing::Instant aInstant);

  /// Ends requests past their deadline. An attempt past its own deadline, or at a silent
  /// endpoint, is aborted only if it is still connecting or another attempt is granted;
  /// otherwise it continues, since a silent endpoint may still respond.
  void Tick(timing::Instant aNow, const Decisions& aDecisions);

private:
  std::set<Exchange*> mExchanges;
};

}

#endif
