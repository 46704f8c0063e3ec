#include "apps/samphiresail/entry/control/registration.hpp"

#include <utility>

#include "components/store/storekeys.hpp"

namespace samphiresail::entry {

namespace {

using namespace std::chrono_literals;

constexpr timing::Duration kRetryInterval = 1s;
/// After this time a call whose reply was lost is made anew.
constexpr timing::Duration kCallTimeout = 5s;
/// Part of its life after which a lease is renewed.
constexpr int kRenewFraction = 3;

}

Registration::Registration(ControlState& aState, Outbox& aOutbox)
  : mState(aState)
  , mOutbox(aOutbox)
{
}

void Registration::Tick(timing::Instant aNow)
{
  if ((mCallBegan && aNow - *mCallBegan < kCallTimeout) || aNow < mNextTry) {
    return;
  }
  const timing::Duration renewal = mState.mSettings.mLeaseLife / kRenewFraction;
  if (mLeaving) {
    if (mLease != 0) {
      Begin(StorePurpose::RevokeLease, store::LeaseRevokeRequest{ mLease }, aNow);
    }
  } else if (mLease == 0) {
    Begin(StorePurpose::GrantLease,
          store::LeaseGrantRequest{ mState.mSettings.mLeaseLife },
          aNow);
  } else if (!mWritten || !IsRegistered()) {
    const store::PutOperation put{ store::kEntryPrefix + mState.Self().mName.Str(),
                                   membership::EncodeEntry(mState.Self()),
                                   mLease };
    Begin(StorePurpose::Register, store::TransactionRequest{ {}, { put } }, aNow);
  } else if (!mLastKept || aNow - *mLastKept >= renewal) {
    Begin(StorePurpose::KeepLease, store::LeaseKeepAliveRequest{ mLease }, aNow);
  }
}

void Registration::Begin(StorePurpose aPurpose,
                         store::StoreRequest aRequest,
                         timing::Instant aNow)
{
  mCallBegan = aNow;
  mOutbox.Call(aPurpose, std::move(aRequest), aNow);
}

bool Registration::IsRegistered() const
{
  const auto it = mState.mEntries.find(mState.Self().mName);
  return it != mState.mEntries.end() && it->second.IsSame(mState.Self());
}

void Registration::OnReply(const PendingCall& aCall,
                           const store::StoreReply& aReply,
                           timing::Instant aNow)
{
  if (mCallBegan != aCall.mBegin) {
    return;
  }
  mCallBegan.reset();
  const bool answered = aReply.mOutcome == store::StoreOutcome::Answered;
  if (!answered) {
    mNextTry = aNow + kRetryInterval;
    return;
  }
  switch (aCall.mPurpose) {
    case StorePurpose::GrantLease:
      mLease = aReply.mLease;
      mWritten = false;
      mLastKept = aNow;
      break;
    case StorePurpose::Register:
      // A record that the next reads do not show is written again, but not at once.
      mWritten = aReply.mSucceeded;
      mLease = mWritten ? mLease : 0;
      mNextTry = aNow + kRetryInterval;
      break;
    case StorePurpose::KeepLease:
      mLastKept = aNow;
      mLease = aReply.mSucceeded ? mLease : 0;
      break;
    default:
      mLease = 0;
      break;
  }
}

void Registration::Leave(timing::Instant aNow)
{
  mLeaving = true;
  mNextTry = aNow;
}

}
