#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_CALLERSESSION_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_CALLERSESSION_HPP

#include <memory>

#include "components/frontend/forwarder.hpp"

namespace samphiresail::frontend {

/// Connection of a caller: reads requests one after the other and answers each.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  CallerSession(FrontendContext& aContext, tcp::socket aSocket);

  /// Runs until the connection ends.
  asio::awaitable<void> Run();

  /// Closes the connection if it is idle or sends its request too slowly.
  void Tick(timing::Instant aNow);
  /// From now on each answer ends the connection; an idle one is closed at aIdleEnd.
  void Drain(timing::Instant aIdleEnd);

private:
  enum class State
  {
    Idle,
    Reading,
    Serving,
  };

  asio::awaitable<bool> ServeOne();
  asio::awaitable<bool> Refuse(const gateway::RequestMetadata& aFacts,
                               const gateway::Refusal& aRefusal,
                               bool aKeepAlive);
  asio::awaitable<void> WatchCaller(Exchange& aExchange, std::uint64_t aServed);
  const gateway::CallerLimits& Limits() const;
  void ReportRefusal(const gateway::RequestMetadata& aFacts,
                     const gateway::Refusal& aRefusal);
  void Report(const Exchange& aExchange, const Forwarder& aForwarder);

  FrontendContext& mContext;
  tcp::socket mSocket;
  beast::flat_buffer mBuffer;
  State mState{ State::Idle };
  timing::Instant mSince;
  bool mDraining{ false };
  timing::Instant mIdleEnd{ timing::Instant::max() };
  /// Requests served; tells a watch that its request is over.
  std::uint64_t mServed{ 0 };
};

}

#endif
