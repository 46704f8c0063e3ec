#include "components/logging/boundedoutput.hpp"

#include <algorithm>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace samphiresail::logging {

namespace {

/// A pipe that is ready for writing accepts this many bytes without blocking.
constexpr std::size_t kMaxWriteBytes = 4096;

}

void BoundedOutput::Flush()
{
  std::size_t written = 0;
  while (written < mBuffer.size()) {
    pollfd ready{ mDescriptor, POLLOUT, 0 };
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const std::size_t size = std::min(kMaxWriteBytes, mBuffer.size() - written);
    const ssize_t n = write(mDescriptor, mBuffer.data() + written, size);
    if (n <= 0) {
      break;
    }
    written += static_cast<std::size_t>(n);
  }
  mBuffer.erase(0, written);
}

std::size_t BoundedOutput::ResetDroppedLines()
{
  return std::exchange(mDroppedLines, 0);
}

std::streamsize BoundedOutput::xsputn(const char* aBytes, std::streamsize aCount)
{
  const auto count = static_cast<std::size_t>(aCount);
  if (mBuffer.size() + count > kMaxBufferedBytes) {
    ++mDroppedLines;
  } else {
    mBuffer.append(aBytes, count);
  }
  return aCount;
}

BoundedOutput::int_type BoundedOutput::overflow(int_type aByte)
{
  if (!traits_type::eq_int_type(aByte, traits_type::eof())) {
    const char byte = traits_type::to_char_type(aByte);
    xsputn(&byte, 1);
  }
  return traits_type::not_eof(aByte);
}

}
