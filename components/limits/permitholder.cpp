#include "components/limits/permitholder.hpp"

#include <algorithm>
#include <utility>

namespace samphiresail::limits {

namespace {

constexpr double kMillion = 1e6;
constexpr std::chrono::milliseconds kRetryWithoutShare{ 1000 };

}

PermitHolder::PermitHolder(ids::ProcessId aSelf,
                           units::Incarnation aIncarnation,
                           timing::Duration aInTouch,
                           timing::Duration aPermitLife)
  : mSelf(std::move(aSelf))
  , mIncarnation(aIncarnation)
  , mInTouch(aInTouch)
  , mPermitLife(aPermitLife)
{
}

void PermitHolder::Adopt(const ShareRecord& aRecord,
                         units::Version aAccepted,
                         const catalogue::WeightStore& aLimits,
                         timing::Instant aNow)
{
  mLimits = aLimits;
  const auto it = std::ranges::find_if(aRecord.mShares, [&](const LimitShare& aShare) {
    return aShare.mAccount.Empty() && aShare.mHolder == mSelf &&
           aShare.mIncarnation == mIncarnation;
  });
  const std::uint32_t share = it == aRecord.mShares.end() ? 0 : it->mMillionths;
  if (share > 0) {
    // A holder that missed a record may have lost the share in it: it starts anew.
    const bool kept = mHeldSince == it->mSince || mHeldSince == it->mKeptSince;
    mMillionths = kept ? mMillionths : 0;
    mHeldSince = it->mSince;
  }
  if (share <= mMillionths) {
    mMillionths = share;
    mWaiting = false;
  } else {
    if (!mWaiting || mSince != it->mSince) {
      mUsableAt.reset();
    }
    mWaiting = true;
    mSince = it->mSince;
    mReclaimed = !it->mStartsFull;
    mWaitingMillionths = share;
  }
  Tick(aAccepted, aNow);
}

void PermitHolder::Tick(units::Version aAccepted, timing::Instant aNow)
{
  std::erase_if(mInUse, [&](const auto& aItem) { return aItem.second <= aNow; });
  if (!mWaiting) {
    return;
  }
  if (!mUsableAt && (!mReclaimed || mSince <= aAccepted)) {
    mUsableAt = mReclaimed ? aNow + mInTouch + mPermitLife : aNow;
  }
  if (mUsableAt && *mUsableAt <= aNow) {
    mMillionths = mWaitingMillionths;
    mWaiting = false;
    Pace(aNow);
  }
}

void PermitHolder::Stop()
{
  mStopped = true;
}

void PermitHolder::Pace(timing::Instant aNow)
{
  const double perSecond = mLimits.mLoadsPerSecond * mMillionths / kMillion;
  mNextStart = aNow + std::chrono::duration_cast<timing::Duration>(
                        std::chrono::duration<double>(1.0 / std::max(perSecond, 1e-6)));
}

PermitReply PermitHolder::Request(timing::Instant aNow)
{
  std::erase_if(mInUse, [&](const auto& aItem) { return aItem.second <= aNow; });
  // The margin covers the rounding of the share to millionths.
  constexpr double kRounding = 0.001;
  const auto slots =
    static_cast<std::size_t>(mMillionths / kMillion * mLimits.mLoadsAtOnce + kRounding);
  if (mStopped || slots == 0 || mInUse.size() >= slots) {
    return { {}, kRetryWithoutShare };
  }
  if (mNextStart && aNow < *mNextStart) {
    return { {}, *mNextStart - aNow };
  }
  Pace(aNow);
  const std::string permit = mSelf.Str() + "/" + std::to_string(mIncarnation.Count()) +
                             "/" + std::to_string(++mCount);
  mInUse[permit] = aNow + mPermitLife;
  return { permit, {} };
}

void PermitHolder::Release(const std::string& aPermit)
{
  mInUse.erase(aPermit);
}

}
