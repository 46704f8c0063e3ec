#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_EXCHANGE_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_EXCHANGE_HPP

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "components/frontend/attemptstate.hpp"
#include "components/gateway/eventsplitter.hpp"
#include "components/gateway/streampauses.hpp"
#include "components/gateway/trafficcontrol.hpp"

namespace samphiresail::frontend {

/// State of one request of a caller while it is forwarded, including the deadlines and
/// connections with which ExchangeTable::Tick() ends it.
struct Exchange
{
  /// Called once for each request of a client account that an endpoint began to run, with
  /// the instant at which it began.
  using RanHandler = std::function<void(const ids::ClientAccountId&, timing::Instant)>;

  explicit Exchange(gateway::Admission aAdmission)
    : mAdmission(std::move(aAdmission))
  {
  }

  gateway::Admission mAdmission;
  std::vector<ids::EndpointId> mTried;
  /// The attempt whose response the caller receives, or the last one.
  std::shared_ptr<AttemptState> mCurrent{ std::make_shared<AttemptState>() };
  /// Attempt at another endpoint while the current one is silent. It becomes the current
  /// one once its endpoint has begun a response, and not before.
  std::shared_ptr<AttemptState> mStandby;
  /// No standby is looked for before this instant.
  timing::Instant mNextStandbyAt{};
  /// Looks for a standby; empty while the request may not be sent to another endpoint.
  std::function<void()> mStartStandby;
  /// Returns true if a connection that takes too long to open may be given up. Empty if
  /// it always may.
  std::function<bool()> mMayGiveUpConnection;
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
  /// When the tick ended the request, which is later than its deadline if the process was
  /// stopped meanwhile.
  timing::Instant mEndedAt{};
  /// The caller's connection was closed, since it had not read its response in time.
  bool mCallerCutOff{ false };
  /// An attempt was answered beyond its first event.
  bool mAnswered{ false };
  /// The response to an attempt broke off before its second event.
  bool mBrokeOff{ false };
  tcp::socket* mCaller{ nullptr };
  /// The head of a streamed response was sent to the caller.
  bool mResponseHeadSent{ false };
  gateway::EventSplitter mEvents;
  /// Empty if requests that run are not counted, or once this one was.
  RanHandler mOnRan;
  gateway::StreamPauses mPauses;

  bool IsStream() const
  {
    return mAdmission.mRoute->mKind == gateway::RequestKind::Stream;
  }
  /// Counts the request as run, unless it was counted before. No account is charged for
  /// requests of open routes.
  void RecordRan(timing::Instant aBegan)
  {
    if (const RanHandler onRan = std::exchange(mOnRan, nullptr);
        onRan && mAdmission.mAccount != nullptr) {
      onRan(mAdmission.mAccount->mName, aBegan);
    }
  }
  /// Ends the current attempt in favour of the standby, whose response has begun.
  void HandOver() { mCurrent->Abort(); }
  /// True if the current attempt was ended in favour of the standby.
  bool IsHandedOver() const { return mStandby != nullptr && mCurrent->mAborted; }
  void AbortAttempts()
  {
    mCurrent->Abort();
    if (mStandby != nullptr) {
      mStandby->Abort();
    }
  }
};

/// Exchanges in progress. One periodic tick enforces all deadlines, so that no exchange
/// needs a timer.
class ExchangeTable
{
public:
  /// Time after the end of a request at which the connection of a caller that reads no
  /// bytes is closed.
  static constexpr timing::Duration kWriteGrace = std::chrono::milliseconds(200);
  /// Pause between two searches for another endpoint of one request.
  static constexpr timing::Duration kStandbyInterval = std::chrono::milliseconds(200);

  void Add(Exchange* aExchange) { mExchanges.insert(aExchange); }
  void Remove(Exchange* aExchange) { mExchanges.erase(aExchange); }
  std::size_t Size() const { return mExchanges.size(); }

  /// Returns true if the endpoint of the current attempt has been silent for so long that
  /// another one should be tried.
  using IsSilent = std::function<bool(const Exchange&)>;

  /// Counts the requests as run that are no streams and were sent that long ago without
  /// a response: an endpoint that does not run a request says so at once.
  void RecordLongRuns(timing::Instant aNow, timing::Duration aAge);

  /// Lets no request in progress last longer than until the given instant.
  void LimitDeadlines(timing::Instant aInstant);

  /// Ends requests past their deadline. An attempt past its own deadline is ended only
  /// while it connects, and only if the request has another way on. One that waits for a
  /// response goes on, since a silent endpoint may still respond, and a standby is looked
  /// for.
  void Tick(timing::Instant aNow, const IsSilent& aIsSilent);

private:
  static void EndAtDeadline(Exchange& aExchange, timing::Instant aNow);
  /// Closes the connection that the current attempt opens, unless it must be awaited.
  static void GiveUpConnection(Exchange& aExchange, timing::Instant aNow);

  std::set<Exchange*> mExchanges;
};

}

#endif
