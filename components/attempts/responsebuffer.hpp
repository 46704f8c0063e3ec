#ifndef SAMPHIRESAIL_COMPONENTS_ATTEMPTS_RESPONSEBUFFER_HPP
#define SAMPHIRESAIL_COMPONENTS_ATTEMPTS_RESPONSEBUFFER_HPP

#include <cstdint>
#include <deque>
#include <string>

namespace samphiresail::attempts {

/// Numbered chunks of one response that the receiver has not confirmed yet.
class ResponseBuffer
{
public:
  /// Appends a chunk and returns its sequence number.
  std::uint64_t Append(std::string aData);

  /// Drops the chunks that the receiver has; aChunksHeld is their number.
  void Confirm(std::uint64_t aChunksHeld);

  /// Drops all chunks; Count() does not change.
  void Clear() { Confirm(Count()); }

  /// Number of chunks appended so far, dropped ones included.
  std::uint64_t Count() const { return mFirst + mChunks.size(); }

  /// Sequence number of the first chunk that is still in the buffer.
  std::uint64_t First() const { return mFirst; }

  const std::string& At(std::uint64_t aSequence) const;

  /// Returns the buffered chunks joined; this is the complete response only if First() is
  /// 0.
  std::string Joined() const;

private:
  std::uint64_t mFirst{ 0 };
  std::deque<std::string> mChunks;
};

}

#endif
