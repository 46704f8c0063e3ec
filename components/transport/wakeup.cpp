#include "components/transport/wakeup.hpp"

#include <cerrno>
#include <system_error>

#include <sys/eventfd.h>
#include <unistd.h>

namespace samphiresail::transport {

Wakeup::Wakeup()
  : mDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
  if (mDescriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
}

Wakeup::~Wakeup()
{
  close(mDescriptor);
}

void Wakeup::Signal() const
{
  eventfd_write(mDescriptor, 1);
}

void Wakeup::Clear() const
{
  eventfd_t count = 0;
  eventfd_read(mDescriptor, &count);
}

}
