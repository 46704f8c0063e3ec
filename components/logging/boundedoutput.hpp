#ifndef SAMPHIRESAIL_COMPONENTS_LOGGING_BOUNDEDOUTPUT_HPP
#define SAMPHIRESAIL_COMPONENTS_LOGGING_BOUNDEDOUTPUT_HPP

#include <cstddef>
#include <streambuf>
#include <string>

namespace samphiresail::logging {

/// Buffer between a log stream and a file descriptor that may block. Lines that do not
/// fit into the buffer are dropped and counted; Flush writes as much as the descriptor
/// accepts without blocking.
class BoundedOutput final : public std::streambuf
{
public:
  /// Size limit of the buffer in bytes.
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{ 256 } * 1024;

  explicit BoundedOutput(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  /// Writes buffered lines without blocking; what the descriptor does not accept stays
  /// buffered.
  void Flush();

  /// Returns the number of lines dropped since the last call and resets it.
  std::size_t ResetDroppedLines();

protected:
  std::streamsize xsputn(const char* aBytes, std::streamsize aCount) override;
  int_type overflow(int_type aByte) override;

private:
  int mDescriptor;
  std::string mBuffer;
  std::size_t mDroppedLines{ 0 };
};

}

#endif
