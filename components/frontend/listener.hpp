#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_LISTENER_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_LISTENER_HPP

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "components/frontend/callersession.hpp"

namespace samphiresail::frontend {

/// Accepts connections of callers and tracks their sessions.
class CallerListener
{
public:
  CallerListener(FrontendContext& aContext,
                 const settings::SocketAddress& aAddress,
                 std::size_t aMaxSessions);

  /// Opens the port and accepts connections; throws boost::system::system_error if the
  /// address is in use.
  void Start();
  bool IsOpen() const { return mAcceptor.is_open(); }
  void Tick(timing::Instant aNow);
  /// Closes each connection after its next response, and idle ones at aIdleDeadline.
  void Drain(timing::Instant aIdleDeadline);
  std::size_t Sessions() const { return mSessions.size(); }
  /// True while any session has a request, see CallerSession::IsBusy.
  bool IsBusy(timing::Instant aNow) const;

private:
  asio::awaitable<void> Accept();
  /// Closes the connection that has been idle longest. Returns false if none is idle.
  bool CloseLongestIdle();

  FrontendContext& mContext;
  settings::SocketAddress mAddress;
  tcp::acceptor mAcceptor;
  std::size_t mMaxSessions;
  std::vector<std::weak_ptr<CallerSession>> mSessions;
  bool mDraining{ false };
  timing::Instant mIdleDeadline{ timing::Instant::max() };
};

/// Serves short texts over HTTP: readiness and metrics. Neither bytes without end nor
/// connections that are never used take more than a fixed amount of memory, descriptors
/// and time.
class StatusListener
{
public:
  /// Most connections at a time. For one more, the one that has waited longest for its
  /// request is closed.
  static constexpr std::size_t kMaxConnections = 64;
  /// Time for a whole request, from the connection's begin or the response before it.
  static constexpr timing::Duration kRequestTime = std::chrono::seconds(10);
  /// Time in which the caller must have read a response.
  static constexpr timing::Duration kResponseTime = std::chrono::seconds(5);

  struct Response
  {
    unsigned mStatus{ 200 };
    std::string mBody;
  };
  using Handler = std::function<Response(std::string_view aPath)>;

  StatusListener(asio::io_context& aIo,
                 const timing::Clock& aClock,
                 logging::Logger& aLogger,
                 const settings::SocketAddress& aAddress,
                 Handler aHandler);
  /// Opens the port and accepts connections; throws boost::system::system_error if the
  /// address is in use.
  void Start();
  /// Closes the connections whose time is over.
  void Tick(timing::Instant aNow);
  std::size_t Connections() const { return mConnections.size(); }

private:
  struct Connection
  {
    tcp::socket mSocket;
    timing::Instant mDeadline;
  };
  /// In the order in which their last waits began.
  using ConnectionList = std::list<Connection>;

  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(ConnectionList::iterator aConnection);
  /// Reads requests and responds until the connection ends.
  asio::awaitable<void> Converse(ConnectionList::iterator aConnection);

  asio::io_context& mIo;
  const timing::Clock& mClock;
  logging::Logger& mLogger;
  settings::SocketAddress mAddress;
  tcp::acceptor mAcceptor;
  Handler mHandler;
  ConnectionList mConnections;
};

}

#endif
