#include "components/frontend/peerclose.hpp"

#include <poll.h>

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

}
