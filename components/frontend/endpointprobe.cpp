#include "components/frontend/endpointprobe.hpp"

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace samphiresail::frontend {

namespace {

/// Timeout of the connection; a refusal takes one round trip.
constexpr std::chrono::milliseconds kProbeTimeout{ 450 };

}

asio::awaitable<void> ProbeEndpoint(FrontendContext& aContext,
                                    ids::EndpointId aEndpoint,
                                    settings::SocketAddress aAddress)
{
  ErrorCode ec;
  const auto host = asio::ip::make_address_v4(aAddress.mHost, ec);
  if (ec) {
    co_return;
  }
  std::shared_ptr<BackendConnection> connection = aContext.mBackends.CreateConnection();
  asio::steady_timer timeout(aContext.mIo, kProbeTimeout);
  timeout.async_wait([connection](const ErrorCode& aEc) {
    if (!aEc) {
      CloseSocket(connection->mSocket);
    }
  });
  const tcp::endpoint endpoint(host, aAddress.mPort);
  co_await connection->mSocket.async_connect(endpoint, RedirectError(ec));
  timeout.cancel();
  const bool refused = ec == asio::error::connection_refused;
  if (!ec || refused) {
    aContext.mControl.OnProbe(aEndpoint, refused, aContext.mClock.Now());
  }
  if (refused) {
    aContext.mLogger.Info("endpoint has ended", { { "endpoint", aEndpoint.Str() } });
  }
}

}
