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

/// One request of a caller on its way, as the tick sees it.
struct Exchange
{
  explicit Exchange(gateway::Admission aAdmission)
    : mAdmission(std::move(aAdmission))
  {
  }

  gateway::Admission mAdmission;
  std::vector<ids::EndpointId> mTried;
  /// Requests at the endpoint of the current attempt when it was chosen.
  unsigned mEndpointLoadWhenChosen{ 0 };
  /// From arrival to the first event of a stream.
  std::optional<timing::Duration> mTimeToFirstEvent;
  /// Attempts whose request was sent.
  std::size_t mAttemptsSent{ 0 };
  /// Some attempt may have run.
  bool mMayHaveRun{ false };
  bool mCallerDisconnected{ false };
  bool mDeadlineExceeded{ false };
  /// The current attempt ran into mAttemptDeadline, and another one may follow.
  bool mRetryGranted{ false };
  timing::Instant mAttemptDeadline{ timing::Instant::max() };
  /// Nothing was sent yet in the current attempt.
  bool mConnecting{ false };
  /// Connection of the current attempt, so that it can be closed from outside.
  BackendConnection* mBackend{ nullptr };
  tcp::socket* mCaller{ nullptr };
  /// The head of a streamed answer went to the caller.
  bool mResponseHeadSent{ false };
  gateway::EventSplitter mEvents;

  /// Ends the current attempt; its coroutine sees an error.
  void AbortAttempt()
  {
    if (mBackend != nullptr) {
      CloseSocket(mBackend->mSocket);
    }
  }
};

/// Table of the exchanges under way. The tick ends those whose time is over, in place of
/// a timer for each.
class ExchangeTable
{
public:
  /// How long past its deadline a caller that takes no bytes is kept.
  static constexpr timing::Duration kWriteGrace = std::chrono::milliseconds(200);

  void Add(Exchange* aExchange) { mExchanges.insert(aExchange); }
  void Remove(Exchange* aExchange) { mExchanges.erase(aExchange); }
  std::size_t Size() const { return mExchanges.size(); }
  /// Ends what is over. An attempt that takes too long is broken off only if
  /// aTrySpendRetry grants another one: an endpoint's silence alone is no reason to end
  /// an answer.
  void Tick(timing::Instant aNow,
            const std::function<bool(const Exchange&)>& aTrySpendRetry);

private:
  std::set<Exchange*> mExchanges;
};

}

#endif
