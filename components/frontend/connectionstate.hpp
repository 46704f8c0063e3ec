#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_CONNECTIONSTATE_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_CONNECTIONSTATE_HPP

#include <optional>

#include "components/frontend/http.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::frontend {

/// True if the peer has closed the connection or its sending side, or the connection has
/// failed. Bytes that arrived before and are still unread do not hide it.
bool HasPeerClosed(tcp::socket& aSocket);

/// Returns how long ago the last bytes arrived, whether they were read or not; none if
/// the operating system does not say.
std::optional<timing::Duration> TimeSinceLastBytes(tcp::socket& aSocket);

}

#endif
