#include "components/frontend/connectionstate.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace samphiresail::frontend {

bool HasPeerClosed(tcp::socket& aSocket)
{
  if (!aSocket.is_open()) {
    return true;
  }
  // A peek would show only the bytes before the end of the stream.
  pollfd state{ aSocket.native_handle(), POLLRDHUP, 0 };
  return poll(&state, 1, 0) == 1 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::optional<timing::Duration> TimeSinceLastBytes(tcp::socket& aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}
