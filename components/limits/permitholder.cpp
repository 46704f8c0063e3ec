#include "components/limits/permitholder.hpp"

#include <algorithm>
#include <utility>

namespace samphiresail::limits {

namespace {

constexpr double kMillion = 1e6;
constexpr std::chrono::milliseconds kRetryDelayWithoutSlot{ 1000 };

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
    // Other versions mean that this entry missed a record and that another holder may
    // have had the share in between: start from zero.
    const bool kept = mHeldSince == it->mSince || mHeldSince == it->mKeptSince;
    mMillionths = kept ? mMillionths : 0;
    mHeldSince = it->mSince;
  }
  if (share <= mMillionths) {
    mMillionths = share;
    mHasPendingIncrease = false;
  } else {
    if (!mHasPendingIncrease || mSince != it->mSince) {
      mUsableAt.reset();
    }
    mHasPendingIncrease = true;
    mSince = it->mSince;
    mReclaimed = !it->mStartsFull;
    mPendingMillionths = share;
  }
  Tick(aAccepted, aNow);
}

void PermitHolder::Tick(units::Version aAccepted, timing::Instant aNow)
{
  std::erase_if(mInUse, [&](const auto& aItem) { return aItem.second <= aNow; });
  if (!mHasPendingIncrease) {
    return;
  }
  if (!mUsableAt && (!mReclaimed || mSince <= aAccepted)) {
    mUsableAt = mReclaimed ? aNow + mInTouch + mPermitLife : aNow;
  }
  if (mUsableAt && *mUsableAt <= aNow) {
    mMillionths = mPendingMillionths;
    mHasPendingIncrease = false;
    ScheduleNextStart(aNow);
  }
}

void PermitHolder::Stop()
{
  mStopped = true;
}

void PermitHolder::ScheduleNextStart(timing::Instant aNow)
{
  const double perSecond = mLimits.mLoadsPerSecond * mMillionths / kMillion;
  mNextStart = aNow + std::chrono::duration_cast<timing::Duration>(
                        std::chrono::duration<double>(1.0 / std::max(perSecond, 1e-6)));
}

PermitReply PermitHolder::Request(timing::Instant aNow)
{
  std::erase_if(mInUse, [&](const auto& aItem) { return aItem.second <= aNow; });
  // Covers the rounding of the share to millionths.
  constexpr double kRoundingMargin = 0.001;
  const auto slots = static_cast<std::size_t>(
    mMillionths / kMillion * mLimits.mLoadsAtOnce + kRoundingMargin);
  if (mStopped || slots == 0 || mInUse.size() >= slots) {
    return { {}, kRetryDelayWithoutSlot };
  }
  if (mNextStart && aNow < *mNextStart) {
    return { {}, *mNextStart - aNow };
  }
  ScheduleNextStart(aNow);
  const std::string permit = mSelf.Str() + "/" + std::to_string(mIncarnation.Count()) +
                             "/" + std::to_string(++mIssuedCount);
  mInUse[permit] = aNow + mPermitLife;
  return { permit, {} };
}

void PermitHolder::Release(const std::string& aPermit)
{
  mInUse.erase(aPermit);
}

}
