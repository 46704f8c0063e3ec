#include "components/gateway/trafficcontrol.hpp"

#include <algorithm>

namespace samphiresail::gateway {

double TrafficControl::WeightOf(const ClientAccount& aAccount) const
{
  return aAccount.mTokensPerSecond > 0.0 ? aAccount.mTokensPerSecond : mDefaultWeight;
}

bool TrafficControl::IsOverShare(const Admission& aAdmission, timing::Instant aNow) const
{
  return mEnginePolicy.mByAccount && aAdmission.mAccount != nullptr &&
         aAdmission.mService->mEngine &&
         mAccountShares.IsOverShare(
           aAdmission.mMetadata.mModel, aAdmission.mAccount->mName, aNow);
}

void TrafficControl::RecordWait(const Admission& aAdmission,
                                Choice& aChoice,
                                timing::Instant aNow)
{
  const RequestMetadata& metadata = aAdmission.mMetadata;
  // Requests that leave room to others find none although the engines are not short.
  if (!aAdmission.mRoute->mLatencyTolerant && !IsOverShare(aAdmission, aNow)) {
    mAccountShares.RecordContention(metadata.mModel, aNow);
  }
  mWaitingRequests.RecordWait(
    metadata.mId, metadata.mModel, Allowance(aAdmission, aNow).mBehind, aNow);
  const auto forecast = mWaitingRequests.Forecast(metadata.mId, aNow);
  if (forecast && mEnginePolicy.mByPosition) {
    aChoice.mFreeAfter = std::max(aChoice.mFreeAfter.value_or(*forecast), *forecast);
  }
}

void TrafficControl::RecordBegun(const Admission& aAdmission,
                                 bool aFirst,
                                 timing::Instant aNow)
{
  const RequestMetadata& metadata = aAdmission.mMetadata;
  mWaitingRequests.RecordBegun(metadata.mId, metadata.mModel, aNow);
  if (aFirst && aAdmission.mAccount != nullptr) {
    mAccountShares.RecordBegun(
      metadata.mModel, aAdmission.mAccount->mName, aAdmission.mEngineSeconds, aNow);
  }
}

}
