#include "components/limits/ratebucket.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace samphiresail::limits {

namespace {

/// Time after the expiry of a grant during which its charges can be refunded.
constexpr std::chrono::minutes kRefundPeriod{ 5 };

}

RateBucket::RateBucket(timing::Instant aStart, timing::Duration aGrantLife)
  : mAdvancedTo(aStart)
  , mGrantLife(aGrantLife)
{
  BeginHistoryPoint();
}

void RateBucket::SetLimits(units::TokensPerSecond aRate,
                           units::Tokens aCapacity,
                           timing::Instant aNow)
{
  Advance(aNow);
  mRate = aRate.Count();
  mCapacity = static_cast<double>(aCapacity.Count());
  mLevel = std::max(0.0, std::min(mLevel, mCapacity - mOutstandingTokens));
  RecordFreeCapacity();
}

void RateBucket::Fill()
{
  mLevel = std::max(0.0, mCapacity - mOutstandingTokens);
  RecordFreeCapacity();
}

units::Tokens RateBucket::Grant(const GrantKey& aKey,
                                units::Tokens aWanted,
                                timing::Instant aNow)
{
  Advance(aNow);
  const auto level = static_cast<std::int64_t>(std::floor(mLevel));
  const std::int64_t tokens = std::min(aWanted.Count(), level);
  if (tokens <= 0 || mGrants.contains(aKey)) {
    return units::Tokens(0);
  }
  GrantState& grant = mGrants[aKey];
  grant.mTokens = tokens;
  grant.mExpiry = mAdvancedTo + mGrantLife;
  mByExpiry.push_back(aKey);
  mOutstandingTokens += static_cast<double>(tokens);
  mLevel -= static_cast<double>(tokens);
  return units::Tokens(tokens);
}

void RateBucket::Report(const GrantKey& aKey,
                        units::Tokens aSpent,
                        bool aClosed,
                        timing::Instant aNow)
{
  Advance(aNow);
  const auto it = mGrants.find(aKey);
  if (it == mGrants.end() || it->second.mClosed) {
    return;
  }
  GrantState& grant = it->second;
  const std::int64_t spent = std::clamp(aSpent.Count(), grant.mSpent, grant.mTokens);
  if (spent > grant.mSpent) {
    mOutstandingTokens -= static_cast<double>(spent - grant.mSpent);
    grant.mSpent = spent;
    grant.mReports.push_back({ spent, BeginHistoryPoint() });
  }
  if (aClosed) {
    mLevel += static_cast<double>(grant.mTokens - spent);
    CloseGrant(grant);
  }
}

units::Tokens RateBucket::Refund(const GrantKey& aKey,
                                 units::Tokens aSpent,
                                 units::Tokens aTokens,
                                 timing::Instant aNow)
{
  Advance(aNow);
  const auto it = mGrants.find(aKey);
  if (it == mGrants.end()) {
    return units::Tokens(0);
  }
  GrantState& grant = it->second;
  const auto report =
    std::ranges::lower_bound(grant.mReports, aSpent.Count(), {}, &ReportPoint::mSpent);
  if (report == grant.mReports.end() || report->mHistoryIndex < mHistoryBegin ||
      aTokens > aSpent || !grant.mRefundedCharges.insert(aSpent.Count()).second) {
    return units::Tokens(0);
  }
  const auto since =
    mHistory.begin() + static_cast<std::ptrdiff_t>(report->mHistoryIndex - mHistoryBegin);
  double freeCapacity = FreeCapacity();
#ifndef SAMPHIRESAIL_MUTANT_REFUND_ROOM
  for (auto point = since; point != mHistory.end(); ++point) {
    freeCapacity = std::min(freeCapacity, point->mFreeCapacity);
  }
#endif
  const double accepted =
    std::floor(std::clamp(freeCapacity, 0.0, static_cast<double>(aTokens.Count())));
  for (auto point = since; point != mHistory.end(); ++point) {
    point->mFreeCapacity -= accepted;
  }
  mLevel += accepted;
  return units::Tokens(static_cast<std::int64_t>(accepted));
}

units::Tokens RateBucket::Level(timing::Instant aNow)
{
  Advance(aNow);
  return units::Tokens(static_cast<std::int64_t>(std::floor(mLevel)));
}

void RateBucket::Advance(timing::Instant aNow)
{
  if (aNow <= mAdvancedTo) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - mAdvancedTo).count();
  mAdvancedTo = aNow;
  // Grants expire after the refill: capacity that an expiry frees is not refilled for the
  // time that has already passed.
#ifndef SAMPHIRESAIL_MUTANT_OUTSTANDING
  const double limit = std::max(0.0, mCapacity - mOutstandingTokens);
#else
  const double limit = mCapacity;
#endif
  mLevel = std::min(mLevel + mRate * seconds, limit);
  RecordFreeCapacity();
  while (mExpiredCount < mByExpiry.size() &&
         mGrants[mByExpiry[mExpiredCount]].mExpiry <= aNow) {
    CloseGrant(mGrants[mByExpiry[mExpiredCount]]);
    ++mExpiredCount;
  }
  EraseOld(aNow);
}

void RateBucket::CloseGrant(GrantState& aGrant)
{
  if (aGrant.mClosed) {
    return;
  }
  aGrant.mClosed = true;
  mOutstandingTokens -= static_cast<double>(aGrant.mTokens - aGrant.mSpent);
  aGrant.mReports.push_back(
    { std::numeric_limits<std::int64_t>::max(), BeginHistoryPoint() });
}

void RateBucket::EraseOld(timing::Instant aNow)
{
  while (mExpiredCount > 0 &&
         mGrants[mByExpiry.front()].mExpiry + kRefundPeriod <= aNow) {
    mGrants.erase(mByExpiry.front());
    mByExpiry.pop_front();
    --mExpiredCount;
  }
  const timing::Instant oldest = aNow - kRefundPeriod - mGrantLife;
  while (mHistory.size() > 1 && mHistory.front().mFrom < oldest) {
    mHistory.pop_front();
    ++mHistoryBegin;
  }
}

void RateBucket::RecordFreeCapacity()
{
  mHistory.back().mFreeCapacity = std::min(mHistory.back().mFreeCapacity, FreeCapacity());
}

std::uint64_t RateBucket::BeginHistoryPoint()
{
  mHistory.push_back({ mAdvancedTo, FreeCapacity() });
  return mHistoryBegin + mHistory.size() - 1;
}

double RateBucket::FreeCapacity() const
{
  return std::max(0.0, mCapacity - mLevel - mOutstandingTokens);
}

}
