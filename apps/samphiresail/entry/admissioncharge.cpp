#include "apps/samphiresail/entry/admissioncharge.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>

#include "apps/samphiresail/entry/apierror.hpp"

namespace samphiresail::entry {

namespace {

/// Time in which the account's rate refills the cost.
std::chrono::milliseconds RefillTime(units::Tokens aCost, units::TokensPerSecond aRate)
{
  constexpr double kMillisecondsPerSecond = 1000.0;
  const double rate = std::max(aRate.Count(), 1.0);
  const double wait = static_cast<double>(aCost.Count()) / rate * kMillisecondsPerSecond;
  return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(wait)));
}

}

AdmissionCharge::AdmissionCharge(EntryContext& aContext,
                                 const CallerRequest& aRequest,
                                 const RoutingSnapshot& aSnapshot)
  : mContext(aContext)
{
  if (aRequest.mOpen) {
    return;
  }
  const catalogue::ClientAccount& account = *aSnapshot.FindAccount(aRequest.mAccount);
  const units::Tokens cost = aRequest.Cost();
  if (cost > account.mBurst) {
    throw ApiError(ApiErrorType::ExceedsBurst,
                   "the request may use " + std::to_string(cost.Count()) +
                     " tokens, more than the account's burst of " +
                     std::to_string(account.mBurst.Count()) +
                     "; ask for fewer output tokens");
  }
  mCharge = mContext.mCredit.TryCharge(aRequest.mAccount, cost, mContext.mClock.Now());
  if (!mCharge) {
    mCharge = mContext.mCredit.WaitForCredit(
      aRequest.mAccount, cost, mContext.mClock, mContext.mSettings.mCreditWait);
  }
  if (!mCharge) {
    throw ApiError(ApiErrorType::RateLimited,
                   "the account's rate of " +
                     std::to_string(std::llround(account.mRate.Count())) +
                     " tokens per second is used up")
      .WithRateLimit({ .mLimit = account.mBurst,
                       .mRemaining = units::Tokens(0),
                       .mReset = RefillTime(cost, account.mRate) });
  }
}

void AdmissionCharge::SettleUnused()
{
  SettleUsed(units::Tokens(0));
}

void AdmissionCharge::SettleUsed(units::Tokens aUsed)
{
  if (!mCharge) {
    return;
  }
  if (aUsed < mCharge->mTokens) {
    mContext.mCredit.RefundUnused(*mCharge, mCharge->mTokens - aUsed);
  } else if (aUsed > mCharge->mTokens) {
    // The engine counted a longer prompt than was estimated; what credit there is pays.
    mContext.mCredit.TryCharge(
      mCharge->mAccount, aUsed - mCharge->mTokens, mContext.mClock.Now());
  }
  mCharge.reset();
}

}
