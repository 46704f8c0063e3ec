#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_LISTENER_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_LISTENER_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "components/frontend/callersession.hpp"

namespace samphiresail::frontend {

/// Accepts callers and keeps the table of their sessions.
class CallerListener
{
public:
  /// Binds the address; throws boost::system::system_error if it is taken.
  CallerListener(FrontendContext& aContext,
                 const settings::SocketAddress& aAddress,
                 std::size_t aMostSessions);

  void Start();
  void Tick(timing::Instant aNow);
  /// Lets connections end with their next answer, and idle ones at aIdleEnd.
  void Drain(timing::Instant aIdleEnd);
  std::size_t Sessions() const { return mSessions.size(); }

private:
  asio::awaitable<void> Accept();

  FrontendContext& mContext;
  tcp::acceptor mAcceptor;
  std::size_t mMostSessions;
  std::vector<std::weak_ptr<CallerSession>> mSessions;
  bool mDraining{ false };
  timing::Instant mIdleEnd{ timing::Instant::max() };
};

/// Answers GET requests for short texts: readiness, metrics.
class StatusListener
{
public:
  struct Response
  {
    unsigned mStatus{ 200 };
    std::string mBody;
  };
  using Handler = std::function<Response(std::string_view aPath)>;

  StatusListener(asio::io_context& aIo,
                 const settings::SocketAddress& aAddress,
                 Handler aHandler);
  void Start();

private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(tcp::socket aSocket);

  asio::io_context& mIo;
  tcp::acceptor mAcceptor;
  Handler mHandler;
};

}

#endif
