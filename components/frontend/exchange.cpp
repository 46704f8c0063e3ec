#include "components/frontend/exchange.hpp"

namespace samphiresail::frontend {

void ExchangeTable::Tick(timing::Instant aNow,
                         const std::function<bool(const Exchange&)>& aTrySpendRetry)
{
  for (Exchange* exchange : mExchanges) {
    if (aNow >= exchange->mAdmission.mDeadline) {
      exchange->mDeadlineExceeded = true;
      exchange->AbortAttempt();
      if (aNow >= exchange->mAdmission.mDeadline + kWriteGrace &&
          exchange->mCaller != nullptr) {
        CloseSocket(*exchange->mCaller);
      }
    } else if (aNow >= exchange->mAttemptDeadline) {
      exchange->mAttemptDeadline = timing::Instant::max();
      if (exchange->mConnecting || aTrySpendRetry(*exchange)) {
        exchange->mRetryGranted = !exchange->mConnecting;
        exchange->AbortAttempt();
      }
    }
  }
}

}
