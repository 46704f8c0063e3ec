#include "apps/standins/common/rawanswers.hpp"

#include <utility>

namespace samphiresail::standins {

void RawAnswers::Set(std::string aPath, std::string aBytes, int aCount, Moment aMoment)
{
  const std::lock_guard lock(mMutex);
  mPath = std::move(aPath);
  mBytes = std::move(aBytes);
  mCount = aCount;
  mMoment = aMoment;
}

std::optional<std::string> RawAnswers::Take(const std::string& aPath, Moment aMoment)
{
  const std::lock_guard lock(mMutex);
  if (mCount <= 0 || mMoment != aMoment || aPath.find(mPath) == std::string::npos) {
    return std::nullopt;
  }
  --mCount;
  return mBytes;
}

}
