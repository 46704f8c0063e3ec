#include "components/frontend/exchange.hpp"

#include <algorithm>

namespace samphiresail::frontend {

void ExchangeTable::RecordLongRuns(timing::Instant aNow, timing::Duration aAge)
{
  for (Exchange* exchange : mExchanges) {
    const AttemptState& attempt = *exchange->mCurrent;
    if (exchange->mOnRan && !exchange->IsStream() && attempt.mInFlight &&
        attempt.mHead == AttemptState::Head::Awaited && attempt.mSentAt + aAge <= aNow) {
      exchange->RecordRan(attempt.mSentAt);
    }
  }
}

void ExchangeTable::LimitDeadlines(timing::Instant aInstant)
{
  for (Exchange* exchange : mExchanges) {
    exchange->mAdmission.mDeadline = std::min(exchange->mAdmission.mDeadline, aInstant);
  }
}

void ExchangeTable::EndAtDeadline(Exchange& aExchange, timing::Instant aNow)
{
  if (!aExchange.mDeadlineExceeded) {
    aExchange.mDeadlineExceeded = true;
    aExchange.mEndedAt = aNow;
  }
  aExchange.AbortAttempts();
  if (aNow >= aExchange.mEndedAt + kWriteGrace && aExchange.mCaller != nullptr) {
    aExchange.mCallerCutOff = true;
    CloseSocket(*aExchange.mCaller);
  }
}

void ExchangeTable::GiveUpConnection(Exchange& aExchange, timing::Instant aNow)
{
  AttemptState& current = *aExchange.mCurrent;
  if (!aExchange.mMayGiveUpConnection || aExchange.mMayGiveUpConnection()) {
    current.Close();
  } else {
    current.mDeadline = aNow + kStandbyInterval;
  }
}

void ExchangeTable::Tick(timing::Instant aNow, const IsSilent& aIsSilent)
{
  for (Exchange* exchange : mExchanges) {
    if (aNow >= exchange->mAdmission.mDeadline) {
      EndAtDeadline(*exchange, aNow);
      continue;
    }
    AttemptState& current = *exchange->mCurrent;
    if (AttemptState* standby = exchange->mStandby.get();
        standby != nullptr && !exchange->IsHandedOver() && aNow >= standby->mDeadline) {
      standby->mDeadline = timing::Instant::max();
      if (standby->mConnecting) {
        standby->Close();
      } else {
        standby->Abort();
        exchange->mStandby = nullptr;
      }
    }
    if (current.mConnecting) {
      if (aNow >= current.mDeadline) {
        GiveUpConnection(*exchange, aNow);
      }
      continue;
    }
    const bool silent = aNow >= current.mDeadline || aIsSilent(*exchange);
    if (current.mInFlight && silent && exchange->mStandby == nullptr &&
        exchange->mStartStandby && aNow >= exchange->mNextStandbyAt) {
      exchange->mNextStandbyAt = aNow + kStandbyInterval;
      exchange->mStartStandby();
    }
  }
}

}
