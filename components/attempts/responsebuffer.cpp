#include "components/attempts/responsebuffer.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace samphiresail::attempts {

std::uint64_t ResponseBuffer::Append(std::string aData)
{
  mChunks.push_back(std::move(aData));
  return Count() - 1;
}

void ResponseBuffer::Confirm(std::uint64_t aChunksHeld)
{
  const std::uint64_t held = std::clamp(aChunksHeld, mFirst, Count());
  mChunks.erase(mChunks.begin(),
                mChunks.begin() + static_cast<std::ptrdiff_t>(held - mFirst));
  mFirst = held;
}

const std::string& ResponseBuffer::At(std::uint64_t aSequence) const
{
  return mChunks.at(aSequence - mFirst);
}

std::string ResponseBuffer::Joined() const
{
  return std::accumulate(mChunks.begin(), mChunks.end(), std::string());
}

}
