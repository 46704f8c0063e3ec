#ifndef SAMPHIRESAIL_COMPONENTS_SETTINGS_SOCKETADDRESS_HPP
#define SAMPHIRESAIL_COMPONENTS_SETTINGS_SOCKETADDRESS_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace samphiresail::settings {

/// IP address and port; port 0 lets the system choose.
struct SocketAddress
{
  std::string mHost{ "127.0.0.1" };
  std::uint16_t mPort{ 0 };
};

/// Reads `address:port` with an IPv4 address or an IPv6 address in brackets. Returns
/// nothing for other text; host names are not resolved.
std::optional<SocketAddress> ParseSocketAddress(const std::string& aText);

}

#endif
