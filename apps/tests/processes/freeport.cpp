#include "apps/tests/processes/freeport.hpp"

#include <stdexcept>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace samphiresail::tests {

namespace {

/// Below the ports that the system gives to outgoing connections.
constexpr std::uint16_t kFirstPort = 12000;
constexpr std::uint16_t kPorts = 20000;

bool IsFree(std::uint16_t aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  const bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return free;
}

}

std::uint16_t FindFreePort()
{
  constexpr int kStride = 97;
  static std::uint16_t offset = static_cast<std::uint16_t>(getpid() * kStride % kPorts);
  for (int it = 0; it < kPorts; ++it) {
    offset = static_cast<std::uint16_t>((offset + 1) % kPorts);
    if (IsFree(kFirstPort + offset)) {
      return kFirstPort + offset;
    }
  }
  throw std::runtime_error("no free port");
}

}
