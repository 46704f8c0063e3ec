#include "components/attempts/answerbuffer.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace samphiresail::attempts {

std::uint64_t AnswerBuffer::Append(std::string aData)
{
  mChunks.push_back(std::move(aData));
  return Count() - 1;
}

void AnswerBuffer::Confirm(std::uint64_t aChunksHeld)
{
  const std::uint64_t held = std::clamp(aChunksHeld, mFirst, Count());
  mChunks.erase(mChunks.begin(),
                mChunks.begin() + static_cast<std::ptrdiff_t>(held - mFirst));
  mFirst = held;
}

const std::string& AnswerBuffer::At(std::uint64_t aSequence) const
{
  return mChunks.at(aSequence - mFirst);
}

std::string AnswerBuffer::Joined() const
{
  return std::accumulate(mChunks.begin(), mChunks.end(), std::string());
}

}
