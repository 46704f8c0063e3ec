#include "components/gateway/endpointdirectory.hpp"

#include <algorithm>

#include "components/gateway/demandmeter.hpp"

namespace samphiresail::gateway {

void EndpointDirectory::Update(EndpointReport aReport,
                               timing::Instant aNow,
                               std::int64_t aLatestStart)
{
  const auto [it, added] = mEndpoints.try_emplace(aReport.mId);
  Endpoint& endpoint = it->second;
  const std::int64_t known = endpoint.mReport.mIncarnation;
  if (!added && aReport.mIncarnation < known && known <= aLatestStart) {
    return;
  }
  if (!added && aReport.mIncarnation != known) {
    const EngineLoad load = endpoint.mOwnLoad;
    endpoint = Endpoint{};
    endpoint.mOwnLoad = load;
  }
  if (aReport.mColdRemaining.count() > 0) {
    endpoint.mColdUntil = aNow + aReport.mColdRemaining;
    endpoint.mRampUntil = std::max(endpoint.mRampUntil, endpoint.mColdUntil);
  }
  endpoint.mHash = HashName(aReport.mId.Str());
  endpoint.mUsableUntil = timing::Instant::max();
  endpoint.mReportedAt = aNow;
  endpoint.mReport = std::move(aReport);
  const auto removed = mRemoved.find(endpoint.mReport.mId);
  if (removed == mRemoved.end()) {
    return;
  }
  if (mReadsBackup && removed->second.mIncarnation == endpoint.mReport.mIncarnation) {
    endpoint.mPausedUntil = std::max(endpoint.mPausedUntil, aNow + kEndedRecordLifetime);
  } else {
    mRemoved.erase(removed);
  }
}

void EndpointDirectory::Remove(const ids::EndpointId& aId,
                               bool aMayHaveLapsed,
                               timing::Instant aNow)
{
  const auto it = mEndpoints.find(aId);
  if (it == mEndpoints.end()) {
    return;
  }
  Endpoint& endpoint = it->second;
  const timing::Instant end = aMayHaveLapsed ? aNow + kLapsedRecordGracePeriod : aNow;
  endpoint.mUsableUntil = std::min(endpoint.mUsableUntil, end);
  if (!aMayHaveLapsed) {
    mRemoved[aId] = { endpoint.mReport.mIncarnation, aNow };
  }
}

void EndpointDirectory::RetainOnly(const std::set<ids::EndpointId>& aListed,
                                   bool aMayHaveLapsed,
                                   timing::Instant aNow)
{
  for (const auto& [id, endpoint] : mEndpoints) {
    if (!aListed.contains(id)) {
      Remove(id, aMayHaveLapsed, aNow);
    }
  }
}

bool EndpointDirectory::MarkLeaving(const ids::EndpointId& aId,
                                    std::int64_t aIncarnation,
                                    timing::Instant aNow)
{
  Endpoint* endpoint = Find(aId);
  if (endpoint == nullptr || endpoint->mReport.mIncarnation != aIncarnation ||
      endpoint->mLeavingSince) {
    return false;
  }
  endpoint->mLeavingSince = aNow;
  return true;
}

void EndpointDirectory::Pause(const ids::EndpointId& aId,
                              std::int64_t aIncarnation,
                              timing::Instant aUntil)
{
  Endpoint* endpoint = Find(aId);
  if (endpoint != nullptr && endpoint->mReport.mIncarnation == aIncarnation) {
    endpoint->mPausedUntil = std::max(endpoint->mPausedUntil, aUntil);
  }
}

void EndpointDirectory::SetZoneOut(const ids::AvailabilityZoneId& aZone,
                                   bool aOut,
                                   timing::Instant aNow)
{
  mZonesKeptOut.erase(aZone);
  if (aOut) {
    mZonesOut.insert(aZone);
    return;
  }
  if (mZonesOut.erase(aZone) == 0) {
    return;
  }
  for (auto& [id, endpoint] : mEndpoints) {
    if (endpoint.mReport.mZone == aZone) {
      endpoint.mRampUntil = std::max(endpoint.mRampUntil, aNow + kRampTime);
    }
  }
}

void EndpointDirectory::RetainZonesOut(const std::set<ids::AvailabilityZoneId>& aListed,
                                       timing::Instant aKeepUntil,
                                       timing::Instant aNow)
{
  for (const ids::AvailabilityZoneId& zone : ZonesOut()) {
    if (aListed.contains(zone)) {
      mZonesKeptOut.erase(zone);
    } else if (aNow < aKeepUntil) {
      mZonesKeptOut.insert_or_assign(zone, aKeepUntil);
    } else {
      SetZoneOut(zone, false, aNow);
    }
  }
}

void EndpointDirectory::ConfirmZones(timing::Instant aAsOf, timing::Instant aNow)
{
  for (const auto& [zone, until] : std::map(mZonesKeptOut)) {
    if (until <= aAsOf) {
      SetZoneOut(zone, false, aNow);
    }
  }
}

void EndpointDirectory::OnStoreRestored(timing::Instant aNow)
{
  mReadsBackup = true;
  for (auto& [id, endpoint] : mEndpoints) {
    if (endpoint.mReport.mDraining && !endpoint.mLeavingSince) {
      endpoint.mLeavingSince = aNow;
    }
  }
}

void EndpointDirectory::Tick(timing::Instant aNow)
{
  std::erase_if(mRemoved, [aNow](const auto& aRow) {
    return aRow.second.mAt + kRemovedMemory <= aNow;
  });
  for (auto& [id, endpoint] : mEndpoints) {
    std::erase_if(endpoint.mLoadedSinceReport, [aNow](const auto& aRow) {
      return aRow.second + kLoadedAdapterLifetime <= aNow;
    });
    std::erase_if(endpoint.mUnavailableUntil,
                  [aNow](const auto& aRow) { return aRow.second <= aNow; });
  }
  std::erase_if(mEndpoints, [aNow](const auto& aRow) {
    const Endpoint& endpoint = aRow.second;
    const bool remembered =
      aNow < endpoint.mPausedUntil ||
      (endpoint.mLeavingSince && aNow < *endpoint.mLeavingSince + kLeavingMemory);
    return endpoint.mUsableUntil <= aNow && endpoint.mOwnLoad.mRequests == 0 &&
           !remembered;
  });
}

void EndpointDirectory::RecordLoadedAdapter(const LoadedAdapter& aLoaded,
                                            timing::Instant aNow)
{
  const auto it = std::ranges::find_if(mEndpoints, [&](const auto& aRow) {
    return aRow.second.mHash == aLoaded.mEndpointHash;
  });
  if (it != mEndpoints.end()) {
    auto& loaded = it->second.mLoadedSinceReport;
    if (loaded.size() < kMaxLoadedAdapters ||
        loaded.contains(aLoaded.mModelAdapterHash)) {
      loaded[aLoaded.mModelAdapterHash] = aNow;
    }
    it->second.mUnavailableUntil.erase(aLoaded.mModelAdapterHash);
  }
}

void EndpointDirectory::MarkUnavailable(const ids::EndpointId& aId,
                                        const ids::ModelId& aModel,
                                        const std::string& aAdapter,
                                        timing::Instant aNow)
{
  if (Endpoint* endpoint = Find(aId)) {
    const std::uint64_t key = HashName(DemandMeter::Name(aModel, aAdapter));
    endpoint->mUnavailableUntil[key] =
      aNow + (aAdapter.empty() ? kModelUnavailableTime : kAdapterUnavailableTime);
  }
}

void EndpointDirectory::SetPeersLoad(
  const std::unordered_map<std::uint64_t, EngineLoad>& aLoads,
  timing::Instant aNow)
{
  for (auto& [id, endpoint] : mEndpoints) {
    if (aNow - endpoint.mObservedAt < kObservedLoadLifetime) {
      continue;
    }
    const auto it = aLoads.find(endpoint.mHash);
    endpoint.mPeersLoad = it == aLoads.end() ? EngineLoad{} : it->second;
  }
}

Endpoint* EndpointDirectory::Find(const ids::EndpointId& aId)
{
  const auto it = mEndpoints.find(aId);
  return it == mEndpoints.end() ? nullptr : &it->second;
}

bool EndpointDirectory::IsUsable(const Endpoint& aEndpoint, timing::Instant aNow) const
{
  return !aEndpoint.IsLeaving() && aNow < aEndpoint.mUsableUntil &&
         !mZonesOut.contains(aEndpoint.mReport.mZone);
}

bool EndpointDirectory::TakesRequests(const ids::EndpointId& aId,
                                      timing::Instant aNow) const
{
  const auto it = mEndpoints.find(aId);
  return it != mEndpoints.end() && IsUsable(it->second, aNow) &&
         aNow >= it->second.mPausedUntil;
}

}
