#include "components/frontend/exchange.hpp"

#include <algorithm>

namespace samphiresail::frontend {

void ExchangeTable::LimitDeadlines(timing::Instant aInstant)
{
  for (Exchange* exchange : mExchanges) {
    exchange->mAdmission.mDeadline = std::min(exchange->mAdmission.mDeadline, aInstant);
  }
}

void ExchangeTable::Tick(timing::Instant aNow, const Decisions& aDecisions)
{
  for (Exchange* exchange : mExchanges) {
    if (aNow >= exchange->mAdmission.mDeadline) {
      exchange->mDeadlineExceeded = true;
      exchange->AbortAttempt();
      if (aNow >= exchange->mAdmission.mDeadline + kWriteGrace &&
          exchange->mCaller != nullptr) {
        CloseSocket(*exchange->mCaller);
      }
      continue;
    }
    const bool overdue = aNow >= exchange->mAttemptDeadline;
    const bool silent = exchange->mBackend != nullptr && !exchange->mConnecting &&
                        !exchange->mRetryGranted && aDecisions.mIsSilent(*exchange);
    if (overdue || silent) {
      exchange->mAttemptDeadline = timing::Instant::max();
      if (exchange->mConnecting || aDecisions.mTrySpendRetry(*exchange)) {
        exchange->mRetryGranted = !exchange->mConnecting;
        exchange->AbortAttempt();
      }
    }
  }
}

}
