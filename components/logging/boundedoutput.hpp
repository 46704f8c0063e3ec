#ifndef SAMPHIRESAIL_COMPONENTS_LOGGING_BOUNDEDOUTPUT_HPP
#define SAMPHIRESAIL_COMPONENTS_LOGGING_BOUNDEDOUTPUT_HPP

#include <cstddef>
#include <streambuf>
#include <string>

namespace samphiresail::logging {

/// Buffer of a log stream in front of a file descriptor that may block. Lines that do not
/// fit are dropped and counted; Flush writes as much as the descriptor takes at once.
class BoundedOutput final : public std::streambuf
{
public:
  /// Bytes that wait at most.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{ 256 } * 1024;

  explicit BoundedOutput(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  /// Writes without blocking what was logged since the last call.
  void Flush();

  /// Lines dropped since the last call.
  std::size_t ResetDroppedLines();

protected:
  std::streamsize xsputn(const char* aBytes, std::streamsize aCount) override;
  int_type overflow(int_type aByte) override;

private:
  int mDescriptor;
  std::string mBytes;
  std::size_t mDropped{ 0 };
};

}

#endif
