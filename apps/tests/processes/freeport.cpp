#include "apps/tests/processes/freeport.hpp"

#include <cerrno>
#include <system_error>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace samphiresail::tests {

std::uint16_t FindFreePort()
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const bool found = bind(fd, generic, size) == 0 && getsockname(fd, generic, &size) == 0;
  close(fd);
  if (!found) {
    throw std::system_error(errno, std::generic_category(), "no free port");
  }
  return ntohs(address.sin_port);
}

}
