#ifndef SAMPHIRESAIL_COMPONENTS_ATTEMPTS_RESPONSEBUFFER_HPP
#define SAMPHIRESAIL_COMPONENTS_ATTEMPTS_RESPONSEBUFFER_HPP

#include <cstdint>
#include <deque>
#include <string>

namespace samphiresail::attempts {

/// Numbered chunks of one answer that its receiver has not confirmed yet.
class ResponseBuffer
{
public:
  /// Appends a chunk and returns its sequence number.
  std::uint64_t Append(std::string aData);

  /// Drops all chunks below the number that the receiver holds.
  void Confirm(std::uint64_t aChunksHeld);

  /// Drops everything; the count stays.
  void Clear() { Confirm(Count()); }

  /// Number of chunks of the answer so far, dropped ones included.
  std::uint64_t Count() const { return mFirst + mChunks.size(); }

  /// Sequence number of the first chunk that is still held.
  std::uint64_t First() const { return mFirst; }

  const std::string& At(std::uint64_t aSequence) const;

  /// Returns all held chunks in one piece; whole only if First() is 0.
  std::string Joined() const;

private:
  std::uint64_t mFirst{ 0 };
  std::deque<std::string> mChunks;
};

}

#endif
