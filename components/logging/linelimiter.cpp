#include "components/logging/linelimiter.hpp"

#include <utility>

namespace samphiresail::logging {

bool LineLimiter::Allow(std::string_view aReason, std::size_t aMax, timing::Instant aNow)
{
  while (!mWritten.empty() && mWritten.front() + kWindow <= aNow) {
    mWritten.pop_front();
  }
  if (mWritten.size() < aMax) {
    mWritten.push_back(aNow);
    return true;
  }
  if (mLeftOut.empty()) {
    mFirstLeftOut = aNow;
  }
  const auto it = mLeftOut.find(aReason);
  if (it != mLeftOut.end()) {
    ++it->second;
  } else {
    mLeftOut.emplace(aReason, 1);
  }
  return false;
}

LineLimiter::Counts LineLimiter::TakeLeftOut(timing::Instant aNow)
{
  return mLeftOut.empty() || aNow < mFirstLeftOut + kWindow ? Counts()
                                                            : std::exchange(mLeftOut, {});
}

}
