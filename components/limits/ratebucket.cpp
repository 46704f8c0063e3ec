#include "components/limits/ratebucket.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace samphiresail::limits {

namespace {

/// A charge is refunded at most this long after the expiry of its grant.
constexpr std::chrono::minutes kRefundTime{ 5 };

}

RateBucket::RateBucket(timing::Instant aStart, timing::Duration aGrantLife)
  : mLast(aStart)
  , mGrantLife(aGrantLife)
{
  BeginRoomPoint();
}

void RateBucket::SetLimits(units::TokensPerSecond aRate,
                           units::Tokens aCapacity,
                           timing::Instant aNow)
{
  Advance(aNow);
  mRate = aRate.Count();
  mCapacity = static_cast<double>(aCapacity.Count());
  mLevel = std::max(0.0, std::min(mLevel, mCapacity - mOutstanding));
  NoteRoom();
}

void RateBucket::Fill()
{
  mLevel = std::max(0.0, mCapacity - mOutstanding);
  NoteRoom();
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
  grant.mExpiry = mLast + mGrantLife;
  mByExpiry.push_back(aKey);
  mOutstanding += static_cast<double>(tokens);
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
    mOutstanding -= static_cast<double>(spent - grant.mSpent);
    grant.mSpent = spent;
    grant.mReports.push_back({ spent, BeginRoomPoint() });
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
      aTokens > aSpent || !grant.mRefunded.insert(aSpent.Count()).second) {
    return units::Tokens(0);
  }
  const auto since =
    mHistory.begin() + static_cast<std::ptrdiff_t>(report->mHistoryIndex - mHistoryBegin);
  double room = Room();
#ifndef SAMPHIRESAIL_MUTANT_REFUND_ROOM
  for (auto point = since; point != mHistory.end(); ++point) {
    room = std::min(room, point->mRoom);
  }
#endif
  const double accepted =
    std::floor(std::clamp(room, 0.0, static_cast<double>(aTokens.Count())));
  for (auto point = since; point != mHistory.end(); ++point) {
    point->mRoom -= accepted;
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
  if (aNow <= mLast) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - mLast).count();
  mLast = aNow;
  // Grants expire after the refill: room that opened in between is not refilled.
#ifndef SAMPHIRESAIL_MUTANT_OUTSTANDING
  const double limit = std::max(0.0, mCapacity - mOutstanding);
#else
  const double limit = mCapacity;
#endif
  mLevel = std::min(mLevel + mRate * seconds, limit);
  NoteRoom();
  while (mOpen < mByExpiry.size() && mGrants[mByExpiry[mOpen]].mExpiry <= aNow) {
    CloseGrant(mGrants[mByExpiry[mOpen]]);
    ++mOpen;
  }
  ForgetOld(aNow);
}

void RateBucket::CloseGrant(GrantState& aGrant)
{
  if (aGrant.mClosed) {
    return;
  }
  aGrant.mClosed = true;
  mOutstanding -= static_cast<double>(aGrant.mTokens - aGrant.mSpent);
  aGrant.mReports.push_back(
    { std::numeric_limits<std::int64_t>::max(), BeginRoomPoint() });
}

void RateBucket::ForgetOld(timing::Instant aNow)
{
  while (mOpen > 0 && mGrants[mByExpiry.front()].mExpiry + kRefundTime <= aNow) {
    mGrants.erase(mByExpiry.front());
    mByExpiry.pop_front();
    --mOpen;
  }
  const timing::Instant oldest = aNow - kRefundTime - mGrantLife;
  while (mHistory.size() > 1 && mHistory.front().mFrom < oldest) {
    mHistory.pop_front();
    ++mHistoryBegin;
  }
}

void RateBucket::NoteRoom()
{
  mHistory.back().mRoom = std::min(mHistory.back().mRoom, Room());
}

std::uint64_t RateBucket::BeginRoomPoint()
{
  mHistory.push_back({ mLast, Room() });
  return mHistoryBegin + mHistory.size() - 1;
}

double RateBucket::Room() const
{
  return std::max(0.0, mCapacity - mLevel - mOutstanding);
}

}
