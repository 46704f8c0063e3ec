#include "components/settings/socketaddress.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace samphiresail::settings {

namespace {

bool IsIpAddress(const std::string& aHost, int aFamily)
{
  std::array<unsigned char, sizeof(in6_addr)> buf{};
  return inet_pton(aFamily, aHost.c_str(), buf.data()) == 1;
}

}

std::optional<SocketAddress> ParseSocketAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  SocketAddress address{ .mHost = aText.substr(0, colon) };
  const bool bracketed = address.mHost.front() == '[' && address.mHost.back() == ']';
  if (bracketed) {
    address.mHost = address.mHost.substr(1, address.mHost.size() - 2);
  }
  if (!IsIpAddress(address.mHost, bracketed ? AF_INET6 : AF_INET)) {
    return std::nullopt;
  }
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data() + colon + 1, end, address.mPort);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return address;
}

}
