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

/// Connection to an endpoint, with the bytes that were read but not yet parsed.
struct BackendConnection
{
  /// Largest number of such bytes. The parser keeps the head of a response, the line with
  /// the size of a chunk and the trailer after the last chunk until they are complete.
  static constexpr std::size_t kMaxUnparsedBytes = 64U << 10U;

  BackendConnection(asio::io_context& aContext, limits::ByteBudget& aBytes)
    : mSocket(aContext)
    , mBuffer(kMaxUnparsedBytes, limits::BudgetAllocator<char>(aBytes))
  {
  }

  tcp::socket mSocket;
  ConnectionBuffer mBuffer;
  /// Time after which the endpoint closes the connection if it is idle.
  timing::Duration mKeepAlive{ std::chrono::seconds(4) };
  timing::Instant mIdleSince{};
  bool mUsedBefore{ false };
};

/// Idle connections by endpoint. A connection that received bytes or was closed by the
/// endpoint while it was idle is not reused: such bytes belong to no request.
class BackendPool
{
public:
  /// Maximum number of idle connections kept for each endpoint.
  static constexpr std::size_t kMaxIdlePerEndpoint = 8;
  /// A connection is closed this long before the endpoint's keep-alive timeout.
  static constexpr timing::Duration kKeepAliveMargin = std::chrono::milliseconds(700);
  /// An irreversible request is not sent on a connection that was idle for longer than
  /// this: the endpoint may be closing it, and then it would be unknown whether the
  /// request ran.
  static constexpr timing::Duration kMaxIdleTimeForIrreversible =
    std::chrono::milliseconds(1000);

  /// aBytes is the memory for the buffers of connections.
  BackendPool(asio::io_context& aContext, limits::ByteBudget& aBytes)
    : mContext(aContext)
    , mBytes(aBytes)
  {
  }

  /// Returns an idle connection that appears to be usable, or null if there is none.
  std::unique_ptr<BackendConnection> AcquireIdle(const ids::EndpointId& aEndpoint,
                                                 bool aIrreversible,
                                                 timing::Instant aNow);
  std::unique_ptr<BackendConnection> CreateConnection();
  void Release(const ids::EndpointId& aEndpoint,
               std::unique_ptr<BackendConnection> aConnection,
               timing::Instant aNow);
  /// Closes idle connections that the endpoints have closed or are about to close.
  void Tick(timing::Instant aNow);

private:
  static bool IsReusable(BackendConnection& aConnection, timing::Instant aNow);

  asio::io_context& mContext;
  limits::ByteBudget& mBytes;
  std::map<ids::EndpointId, std::vector<std::unique_ptr<BackendConnection>>> mIdle;
};

/// Sets the options of a connection: no delay, and timeouts that end it if sent data
/// stays unacknowledged or the peer stops responding.
void SetConnectionOptions(tcp::socket& aSocket);

}

#endif
