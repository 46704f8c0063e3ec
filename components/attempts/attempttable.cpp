#include "components/attempts/attempttable.hpp"

#include <algorithm>
#include <utility>

namespace samphiresail::attempts {

AttemptTable::AttemptTable(const Retention& aRetention)
  : mRetention(aRetention)
{
}

Attempt* AttemptTable::Find(const ids::AttemptId& aId)
{
  const auto it = mAttempts.find(aId);
  return it == mAttempts.end() ? nullptr : &it->second;
}

PastOutcome AttemptTable::FindPastOutcome(const ids::AttemptId& aId) const
{
  const auto it = mPastAttempts.find(aId);
  return it == mPastAttempts.end() ? PastOutcome::None : it->second.mOutcome;
}

Attempt& AttemptTable::Add(Attempt aAttempt)
{
  ++mOpenCount;
  const ids::AttemptId id = aAttempt.mId;
  return mAttempts.insert_or_assign(id, std::move(aAttempt)).first->second;
}

void AttemptTable::Forbid(const ids::AttemptId& aId,
                          ForbidReason aKind,
                          timing::Instant aNow)
{
  if (mAttempts.erase(aId) > 0) {
    --mOpenCount;
  }
#ifndef SAMPHIRESAIL_MUTANT_ATTEMPT_TOMBSTONE
  const bool refused = aKind == ForbidReason::Refused;
  const auto until = aNow + (refused ? mRetention.mRefused : mRetention.mIrreversible);
  PastAttempt& entry = mPastAttempts[aId];
  entry = { PastOutcome::NotRun, std::max(entry.mUntil, until) };
  (refused ? mRefusedExpiry : mIrreversibleExpiry).push_back({ aId, until });
#endif
}

void AttemptTable::MarkRunning(Attempt& aAttempt, timing::Instant aNow)
{
  aAttempt.mPhase = AttemptPhase::Running;
  aAttempt.mStartedAt = aNow;
}

void AttemptTable::MarkFinished(Attempt& aAttempt, AttemptEnd aEnd, timing::Instant aNow)
{
  --mOpenCount;
  aAttempt.mPhase = AttemptPhase::Finished;
  aAttempt.mEnd = aEnd;
  aAttempt.mEndedAt = aNow;
  aAttempt.mCall.mBody.clear();
  mResponseExpiry.push_back({ aAttempt.mId, aNow + mRetention.mResponses });
}

void AttemptTable::Expire(timing::Instant aNow)
{
  ExpireResponses(aNow);
  ExpirePastAttempts(aNow);
}

std::size_t AttemptTable::UnconfirmedCount() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mAttempts, [](const auto& aItem) { return !aItem.second.mConfirmed; }));
}

std::vector<Attempt*> AttemptTable::Open()
{
  std::vector<Attempt*> open;
  for (auto& [id, attempt] : mAttempts) {
    if (attempt.mPhase != AttemptPhase::Finished) {
      open.push_back(&attempt);
    }
  }
  return open;
}

void AttemptTable::ExpireResponses(timing::Instant aNow)
{
  while (!mResponseExpiry.empty() && mResponseExpiry.front().mAt <= aNow) {
    const ids::AttemptId id = std::move(mResponseExpiry.front().mId);
    mResponseExpiry.pop_front();
    const auto it = mAttempts.find(id);
    if (it == mAttempts.end()) {
      continue;
    }
    const bool irreversible = it->second.mCall.mIrreversible;
    const auto until =
      aNow + (irreversible ? mRetention.mIrreversible : mRetention.mEnded);
    mAttempts.erase(it);
    mPastAttempts.insert_or_assign(id, PastAttempt{ PastOutcome::Ended, until });
    (irreversible ? mIrreversibleExpiry : mEndedExpiry).push_back({ id, until });
  }
}

void AttemptTable::ExpirePastAttempts(timing::Instant aNow)
{
  const auto expire = [&](std::deque<Expiry>& aQueue) {
    while (!aQueue.empty() && aQueue.front().mAt <= aNow) {
      const auto it = mPastAttempts.find(aQueue.front().mId);
      if (it != mPastAttempts.end() && it->second.mUntil <= aNow) {
        mPastAttempts.erase(it);
      }
      aQueue.pop_front();
    }
  };
  expire(mEndedExpiry);
  expire(mRefusedExpiry);
  expire(mIrreversibleExpiry);
}

}
