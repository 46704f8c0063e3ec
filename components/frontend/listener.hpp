#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_LISTENER_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_LISTENER_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "components/frontend/callersession.hpp"

namespace samphiresail::frontend {

/// Accepts connections of callers and tracks their sessions.
class CallerListener
{
public:
  /// Binds the address; throws boost::system::system_error if it is in use.
  CallerListener(FrontendContext& aContext,
                 const settings::SocketAddress& aAddress,
                 std::size_t aMaxSessions);

  void Start();
  void Tick(timing::Instant aNow);
  /// Closes each connection after its next response, and idle ones at aIdleDeadline.
  void Drain(timing::Instant aIdleDeadline);
  std::size_t Sessions() const { return mSessions.size(); }
  /// True while any session has a request, see CallerSession::IsBusy.
  bool IsBusy() const;

private:
  asio::awaitable<void> Accept();

  FrontendContext& mContext;
  tcp::acceptor mAcceptor;
  std::size_t mMaxSessions;
  std::vector<std::weak_ptr<CallerSession>> mSessions;
  bool mDraining{ false };
  timing::Instant mIdleDeadline{ timing::Instant::max() };
};

/// Serves short texts over HTTP: readiness and metrics.
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
