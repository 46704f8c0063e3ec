#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_BACKENDPOOL_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_BACKENDPOOL_HPP

#include <map>
#include <memory>
#include <vector>

#include "components/frontend/http.hpp"
#include "components/ids/ids.hpp"
#include "components/settings/socketaddress.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::frontend {

/// Connection to an endpoint with the bytes that were read and not yet used.
struct BackendConnection
{
  explicit BackendConnection(asio::io_context& aContext)
    : mSocket(aContext)
  {
  }

  tcp::socket mSocket;
  beast::flat_buffer mBuffer;
  /// How long the endpoint keeps the connection while it is idle.
  timing::Duration mKeepAlive{ std::chrono::seconds(4) };
  timing::Instant mIdleSince{};
  bool mUsedBefore{ false };
};

/// Idle connections by endpoint. A connection on which bytes or its end arrived while it
/// was idle is not used again: the bytes belong to no request.
class BackendPool
{
public:
  /// Idle connections kept for each endpoint.
  static constexpr std::size_t kMaxIdlePerEndpoint = 8;
  /// Time before the endpoint's own limit at which a connection is given up.
  static constexpr timing::Duration kKeepAliveMargin = std::chrono::milliseconds(700);
  /// Idle time after which a connection does not carry what may run only once.
  static constexpr timing::Duration kMaxIdleTimeForIrreversible =
    std::chrono::milliseconds(1000);

  explicit BackendPool(asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  /// Returns an idle connection that is sound as far as can be seen, or null.
  std::unique_ptr<BackendConnection> AcquireIdle(const ids::EndpointId& aEndpoint,
                                                 bool aIrreversible,
                                                 timing::Instant aNow);
  std::unique_ptr<BackendConnection> CreateConnection();
  void Release(const ids::EndpointId& aEndpoint,
               std::unique_ptr<BackendConnection> aConnection,
               timing::Instant aNow);
  /// Closes connections that the endpoints are about to close.
  void Tick(timing::Instant aNow);

private:
  static bool IsReusable(BackendConnection& aConnection, timing::Instant aNow);

  asio::io_context& mContext;
  std::map<ids::EndpointId, std::vector<std::unique_ptr<BackendConnection>>> mIdle;
};

/// Sets the options of every connection that this system opens: no delay, and an end
/// after data stays unacknowledged or the peer falls silent.
void SetConnectionOptions(tcp::socket& aSocket);

}

#endif
