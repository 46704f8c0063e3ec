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

asio::awaitable<ProbeOutcome> ProbeEndpoint(FrontendContext& aContext,
                                            ids::EndpointId aEndpoint,
                                            settings::SocketAddress aAddress)
{
  ErrorCode ec;
  const auto host = asio::ip::make_address_v4(aAddress.mHost, ec);
  if (ec) {
    co_return ProbeOutcome::Unknown;
  }
  const std::shared_ptr<BackendConnection> connection =
    aContext.mBackends.CreateConnection();
  asio::steady_timer timeout(aContext.mIo, kProbeTimeout);
  timeout.async_wait([connection](const ErrorCode& aEc) {
    if (!aEc) {
      CloseSocket(connection->mSocket);
    }
  });
  const tcp::endpoint endpoint(host, aAddress.mPort);
  tcp::socket& socket = connection->mSocket;
  co_await socket.async_connect(endpoint, RedirectError(ec));
  timeout.cancel();
  const timing::Instant now = aContext.mClock.Now();
  if (ec == asio::error::connection_refused) {
    aContext.mControl.OnProbe(aEndpoint, true, now);
    aContext.mLogger.Info("endpoint has ended", { { "endpoint", aEndpoint.Str() } });
    co_return ProbeOutcome::Ended;
  }
  if (ec || !socket.is_open()) {
    co_return ProbeOutcome::Unknown;
  }
  aContext.mControl.OnProbe(aEndpoint, false, now);
  co_return ProbeOutcome::Running;
}

}
