#include "components/frontend/backendpool.hpp"

#include <algorithm>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace samphiresail::frontend {

namespace {

/// Longest time in milliseconds for which sent data may stay unacknowledged or a peer may
/// read nothing. A sound peer can be silent for a second or two.
constexpr int kTcpUserTimeoutMs = 5000;
/// Seconds of silence before the first keep-alive probe and between probes, and the
/// number of unanswered probes that end the connection.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kMaxKeepAliveProbes = 2;

}

void SetConnectionOptions(tcp::socket& aSocket)
{
  ErrorCode ec;
  aSocket.set_option(tcp::no_delay(true), ec);
  aSocket.set_option(asio::socket_base::keep_alive(true), ec);
  const int handle = aSocket.native_handle();
  // Errors are ignored: without one of these options a silent peer is only detected
  // later.
  setsockopt(
    handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
  setsockopt(handle,
             IPPROTO_TCP,
             TCP_KEEPIDLE,
             &kKeepAliveIdleSeconds,
             sizeof(kKeepAliveIdleSeconds));
  setsockopt(handle,
             IPPROTO_TCP,
             TCP_KEEPINTVL,
             &kKeepAliveIntervalSeconds,
             sizeof(kKeepAliveIntervalSeconds));
  setsockopt(
    handle, IPPROTO_TCP, TCP_KEEPCNT, &kMaxKeepAliveProbes, sizeof(kMaxKeepAliveProbes));
}

bool BackendPool::IsReusable(BackendConnection& aConnection, timing::Instant aNow)
{
  if (aNow - aConnection.mIdleSince + kKeepAliveMargin >= aConnection.mKeepAlive) {
    return false;
  }
  char byte = 0;
  ErrorCode ec;
  aConnection.mSocket.receive(
    asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec == asio::error::would_block;
}

std::unique_ptr<BackendConnection> BackendPool::AcquireIdle(
  const ids::EndpointId& aEndpoint,
  bool aIrreversible,
  timing::Instant aNow)
{
  const auto it = mIdle.find(aEndpoint);
  while (it != mIdle.end() && !it->second.empty()) {
    std::unique_ptr<BackendConnection> connection = std::move(it->second.back());
    it->second.pop_back();
    if (IsReusable(*connection, aNow) &&
        !(aIrreversible && aNow - connection->mIdleSince > kMaxIdleTimeForIrreversible)) {
      return connection;
    }
  }
  return nullptr;
}

std::unique_ptr<BackendConnection> BackendPool::CreateConnection()
{
  return std::make_unique<BackendConnection>(mContext, mBytes);
}

void BackendPool::Release(const ids::EndpointId& aEndpoint,
                          std::unique_ptr<BackendConnection> aConnection,
                          timing::Instant aNow)
{
  auto& idle = mIdle[aEndpoint];
  if (idle.size() >= kMaxIdlePerEndpoint || aConnection->mBuffer.size() > 0) {
    return;
  }
  ShrinkIfEmpty(aConnection->mBuffer);
  aConnection->mIdleSince = aNow;
  aConnection->mUsedBefore = true;
  idle.push_back(std::move(aConnection));
}

void BackendPool::Tick(timing::Instant aNow)
{
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    std::erase_if(it->second, [aNow](const auto& aConnection) {
      return !IsReusable(*aConnection, aNow);
    });
    it = it->second.empty() ? mIdle.erase(it) : std::next(it);
  }
}

}
