#include "apps/samphiresail/entry/control/controlstate.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

#include "components/catalogue/configurationcodec.hpp"
#include "components/random/rendezvous.hpp"
#include "components/store/storekeys.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

using membership::Member;

namespace {

std::optional<AgentInfo> DecodeAgent(const std::string& aValue)
{
  wire::AgentRecord record;
  if (!record.ParseFromString(aValue)) {
    return std::nullopt;
  }
  return AgentInfo{ ids::EndpointId(record.endpoint()),
                    ids::PoolId(record.pool()),
                    record.address(),
                    units::Incarnation(record.incarnation()),
                    ids::AvailabilityZoneId(record.availability_zone()),
                    ids::VmId(record.vm()),
                    false };
}

std::optional<catalogue::Configuration> ReadConfiguration(const std::string& aValue)
{
  try {
    return catalogue::DecodeConfiguration(aValue);
  } catch (const catalogue::ConfigurationError&) {
    return std::nullopt;
  }
}

/// Returns the version that a record states; the highest if it cannot be read.
units::Version StatedVersion(const store::KeyValue& aRecord)
{
  std::optional<units::Version> version;
  if (aRecord.mKey == store::kConfigurationKey) {
    const auto read = ReadConfiguration(aRecord.mValue);
    version = read ? std::optional(read->mVersion) : std::nullopt;
  } else if (aRecord.mKey == store::kRosterKey) {
    const auto read = membership::DecodeRoster(aRecord.mValue);
    version = read ? std::optional(read->mVersion) : std::nullopt;
  } else {
    const auto read = limits::DecodeShareRecord(aRecord.mValue);
    version = read ? std::optional(read->mVersion) : std::nullopt;
  }
  return version.value_or(units::Version(std::numeric_limits<std::uint64_t>::max()));
}

/// Replaces a record by one with a higher version.
bool Replace(AdoptedRecord& aRecord, units::Version aVersion, const std::string& aValue)
{
#ifndef SAMPHIRESAIL_MUTANT_VERSION_RISES
  if (aVersion <= aRecord.mVersion) {
    return false;
  }
#endif
  aRecord.mVersion = aVersion;
  aRecord.mValue = aValue;
  return true;
}

}

ControlState::ControlState(ControlSettings aSettings)
  : mSettings(std::move(aSettings))
  , mVms(mSettings.mVmLag)
{
}

membership::Versions ControlState::Versions() const
{
  return { mConfigurationRecord.mVersion,
           mRosterRecord.mVersion,
           mRightsRecord.mVersion };
}

bool ControlState::InTouch(timing::Instant aNow) const
{
  return mFreshnessTracker.InTouch(aNow, mSettings.mTimes.mInTouch);
}

AdoptedRecord* ControlState::FindRecord(const std::string& aKey)
{
  if (aKey == store::kConfigurationKey) {
    return &mConfigurationRecord;
  }
  if (aKey == store::kRosterKey) {
    return &mRosterRecord;
  }
  return aKey == store::kRightsKey ? &mRightsRecord : nullptr;
}

bool ControlState::AdoptRecord(const std::string& aKey, const std::string& aValue)
{
  bool adopted = false;
  if (aKey == store::kConfigurationKey) {
    auto configuration = ReadConfiguration(aValue);
    adopted =
      configuration && Replace(mConfigurationRecord, configuration->mVersion, aValue);
    if (adopted) {
      AdoptConfiguration(std::move(*configuration));
    }
  } else if (aKey == store::kRosterKey) {
    auto roster = membership::DecodeRoster(aValue);
    adopted = roster && Replace(mRosterRecord, roster->mVersion, aValue);
    if (adopted) {
      mRoster = std::move(*roster);
    }
  } else if (aKey == store::kRightsKey) {
    auto rights = limits::DecodeShareRecord(aValue);
    adopted = rights && Replace(mRightsRecord, rights->mVersion, aValue);
    if (adopted) {
      mRights = std::move(*rights);
    }
  }
  mChanged = mChanged || adopted;
  return adopted;
}

void ControlState::AdoptConfiguration(catalogue::Configuration aConfiguration)
{
  if (mConfiguration) {
    for (const catalogue::IssuedKey& key : mConfiguration->mKeys) {
      if (std::ranges::find(aConfiguration.mKeys,
                            key.mHash,
                            &catalogue::IssuedKey::mHash) == aConfiguration.mKeys.end()) {
        mWithdrawn.push_back(key.mHash);
      }
    }
  }
  mConfiguration =
    std::make_shared<const catalogue::Configuration>(std::move(aConfiguration));
}

bool ControlState::TakeFromStore(const store::KeyValue& aRecord)
{
  if (AdoptedRecord* record = FindRecord(aRecord.mKey)) {
    AdoptRecord(aRecord.mKey, aRecord.mValue);
    if (record->mValue == aRecord.mValue) {
      record->mStoreVersion = record->mVersion;
      record->mStoreRevision = aRecord.mModRevision;
    }
    return record->mVersion >= StatedVersion(aRecord);
  }
  if (aRecord.mKey.starts_with(store::kEntryPrefix)) {
    if (const auto entry = membership::DecodeEntry(aRecord.mValue)) {
      mEntries[entry->mName] = *entry;
      mChanged = true;
    }
  } else if (aRecord.mKey.starts_with(store::kAgentPrefix)) {
    if (const auto agent = DecodeAgent(aRecord.mValue)) {
      mAgents[agent->mEndpoint] = *agent;
      mChanged = true;
    }
  } else if (aRecord.mKey == store::kKeepersKey) {
    mChanged = mChanged || mKeepers != aRecord.mValue;
    mKeepers = aRecord.mValue;
  }
  return true;
}

void ControlState::KeepOnly(const std::vector<store::KeyValue>& aRecords, bool aAgentsToo)
{
  std::set<std::string> keys;
  std::ranges::transform(
    aRecords, std::inserter(keys, keys.end()), &store::KeyValue::mKey);
  std::size_t dropped = std::erase_if(mEntries, [&](const auto& aItem) {
    return !keys.contains(store::kEntryPrefix + aItem.first.Str());
  });
  if (aAgentsToo) {
    dropped += std::erase_if(mAgents, [&](const auto& aItem) {
      return !keys.contains(store::kAgentPrefix + aItem.first.Str());
    });
  }
  mChanged = mChanged || dropped > 0;
}

bool ControlState::IsLive(const Member& aMember, timing::Instant aNow) const
{
  const auto it = mEntries.find(aMember.mName);
  return it != mEntries.end() && it->second.IsSame(aMember) &&
         !mVms.IsGone(aMember.mVm, aNow);
}

bool ControlState::HasEnded(const Member& aMember, timing::Instant aNow) const
{
  const auto it = mEntries.find(aMember.mName);
  // An entry is registered before it joins the roster, so only a later read can show its
  // successor.
  const bool hasRead = mLastStoreRead && mRosterAdoptedAt <= *mLastStoreRead;
  const bool replaced = hasRead && it != mEntries.end() && !it->second.IsSame(aMember);
  return replaced || mVms.IsGone(aMember.mVm, aNow);
}

std::optional<Member> ControlState::FirstFor(const std::string& aTopic,
                                             const ids::AvailabilityZoneId* aZone,
                                             timing::Instant aNow) const
{
  std::optional<Member> first;
  std::uint64_t weight = 0;
  for (const auto& [name, entry] : mEntries) {
    const bool eligible = aZone == nullptr || entry.mAvailabilityZone == *aZone;
    const std::uint64_t own = random::RendezvousWeight(name.Str(), aTopic);
    if (eligible && IsLive(entry, aNow) && (!first || own > weight)) {
      first = entry;
      weight = own;
    }
  }
  return first;
}

bool ControlState::IsPlanner(timing::Instant aNow) const
{
  const auto first = FirstFor("planner", nullptr, aNow);
  return !mLeaving && first && first->IsSame(Self());
}

bool ControlState::RightsCoverAccounts() const
{
  return mConfiguration &&
         std::ranges::all_of(
           mConfiguration->mCatalogue.mClientAccounts, [this](const auto& aAccount) {
             return std::ranges::find(
                      mRights.mShares, aAccount.mName, &limits::LimitShare::mAccount) !=
                    mRights.mShares.end();
           });
}

std::shared_ptr<const ControlSnapshot> ControlState::MakeSnapshot() const
{
  auto snapshot = std::make_shared<ControlSnapshot>();
  snapshot->mVersions = Versions();
  snapshot->mConfiguration = mConfiguration;
  snapshot->mKeepers = mKeepers;
  snapshot->mHasCredit = mHasCredit;
  std::ranges::transform(mEntries,
                         std::back_inserter(snapshot->mEntries),
                         [](const auto& aItem) { return aItem.second; });
  const auto isOut = [&](const ids::AvailabilityZoneId& aZone) {
    return mConfiguration &&
           std::ranges::any_of(mConfiguration->mCatalogue.mAvailabilityZones,
                               [&](const catalogue::AvailabilityZone& aOther) {
                                 return aOther.mName == aZone && aOther.mOut;
                               });
  };
  for (const auto& [name, agent] : mAgents) {
    snapshot->mAgents.push_back(agent);
#ifndef SAMPHIRESAIL_MUTANT_ZONE_OUT
    snapshot->mAgents.back().mLeaving =
      isOut(agent.mAvailabilityZone) || mVms.IsLeaving(agent.mVm);
#endif
  }
  return snapshot;
}

}
