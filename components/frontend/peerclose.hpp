#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_PEERCLOSE_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_PEERCLOSE_HPP

#include "components/frontend/http.hpp"

namespace samphiresail::frontend {

/// True if the peer has closed the connection or its sending side, or the connection has
/// failed. Bytes that arrived before and are still unread do not hide it.
bool HasPeerClosed(tcp::socket& aSocket);

}

#endif
