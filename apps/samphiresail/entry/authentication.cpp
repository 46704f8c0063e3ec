#include "apps/samphiresail/entry/authentication.hpp"

#include <string_view>

#include "apps/samphiresail/entry/apierror.hpp"
#include "apps/samphiresail/entry/sharedstate.hpp"
#include "components/credentials/key.hpp"

namespace samphiresail::entry {

namespace {

constexpr std::string_view kBearer = "Bearer ";

void CheckInTouch(const EntryContext& aContext)
{
#ifndef SAMPHIRESAIL_MUTANT_IN_TOUCH_CHECK
  if (!aContext.mState.IsInTouch(aContext.mClock.Now())) {
    throw ApiError(ApiErrorType::NotInTouch,
                   "this entry has no recent view of the configuration")
      .WithRetryAfter(aContext.mSettings.mInTouch);
  }
#endif
}

}

void Authenticate(const EntryContext& aContext,
                  const RoutingSnapshot& aSnapshot,
                  const std::string& aAuthorization,
                  CallerRequest& aRequest)
{
  if (aRequest.mOpen) {
    return;
  }
  CheckInTouch(aContext);
  if (!aAuthorization.starts_with(kBearer)) {
    throw ApiError(ApiErrorType::MissingKey,
                   "the request needs a key in an 'Authorization: Bearer' header");
  }
  const std::string key = aAuthorization.substr(kBearer.size());
  const catalogue::IssuedKey* issued = aSnapshot.FindKey(credentials::HashKey(key));
  if (issued == nullptr) {
    throw ApiError(ApiErrorType::InvalidKey, "the key is not issued or was withdrawn");
  }
  const catalogue::ClientAccount* account = aSnapshot.FindAccount(issued->mAccount);
  if (account == nullptr) {
    throw ApiError(ApiErrorType::InvalidKey, "the key's client account is not declared");
  }
  aRequest.mKeyHash = issued->mHash;
  aRequest.mAccount = account->mName;
  aRequest.mWeight = account->mWeight;
}

SnapshotPointer CheckDispatch(const EntryContext& aContext, const CallerRequest& aRequest)
{
  SnapshotPointer snapshot = aContext.mState.Snapshot();
  // An open route needs no key, but it must not lead into a zone that was taken out.
  CheckInTouch(aContext);
  if (aRequest.mOpen) {
    return snapshot;
  }
#ifndef SAMPHIRESAIL_MUTANT_KEY_RECHECK
  if (snapshot->FindKey(aRequest.mKeyHash) == nullptr) {
    throw ApiError(ApiErrorType::KeyWithdrawn, "the key was withdrawn");
  }
#endif
  return snapshot;
}

bool IsKeyWithdrawn(const EntryContext& aContext, const CallerRequest& aRequest)
{
  return !aRequest.mOpen &&
         aContext.mState.Snapshot()->FindKey(aRequest.mKeyHash) == nullptr;
}

}
