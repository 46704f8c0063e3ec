#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_CONTROLSTATE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_CONTROLSTATE_HPP

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "apps/samphiresail/entry/control/controlsnapshot.hpp"
#include "components/limits/shareholder.hpp"
#include "components/limits/sharerecord.hpp"
#include "components/membership/freshnesstracker.hpp"
#include "components/membership/roster.hpp"
#include "components/membership/vmpresence.hpp"
#include "components/store/keyvaluestore.hpp"

namespace samphiresail::entry {

struct ControlSettings
{
  membership::Member mSelf;
  limits::ShareTimes mTimes;
  timing::Duration mPollInterval{ std::chrono::milliseconds(500) };
  std::chrono::seconds mLeaseLife{ 6 };
  /// Time after which a VM that is missing from the platform's list is gone.
  timing::Duration mVmLag{ std::chrono::seconds(10) };
  /// Longest time that a load of a model takes.
  timing::Duration mPermitLife{ std::chrono::seconds(60) };
};

/// Versioned record as adopted, and where the store has it.
struct AdoptedRecord
{
  std::string mValue;
  units::Version mVersion;
  /// Version and revision that the last read of the store returned.
  units::Version mStoreVersion;
  std::int64_t mStoreRevision{ 0 };

  /// Returns true if the store is known to hold the adopted version, so that a change
  /// can be written by comparing its revision.
  bool InStore() const { return mVersion == mStoreVersion; }
};

/// Tables of the control state of an entry.
struct ControlState
{
  explicit ControlState(ControlSettings aSettings);

  ControlSettings mSettings;

  AdoptedRecord mConfigurationRecord;
  AdoptedRecord mRosterRecord;
  AdoptedRecord mRightsRecord;
  std::shared_ptr<const catalogue::Configuration> mConfiguration;
  membership::Roster mRoster;
  limits::ShareRecord mRights;
  std::string mKeepers;

  std::map<ids::ProcessId, membership::Member> mEntries;
  std::map<ids::EndpointId, AgentInfo> mAgents;

  membership::FreshnessTracker mFreshnessTracker;
  membership::VmPresence mVms;

  /// Beginning of the last finished read of the store.
  std::optional<timing::Instant> mLastStoreRead;
  timing::Instant mRosterAdoptedAt;
  bool mLeaving{ false };
  /// True if the snapshot for the traffic threads is out of date.
  bool mChanged{ false };
  std::vector<ids::KeyHash> mWithdrawn;
  /// True once each client account's rate had holders that could grant; stays true.
  bool mHasCredit{ false };

  const membership::Member& Self() const { return mSettings.mSelf; }
  membership::Versions Versions() const;
  bool InTouch(timing::Instant aNow) const;

  /// Adopts a record with a higher version; ignores others and unreadable ones. Returns
  /// true if it was adopted.
  bool AdoptRecord(const std::string& aKey, const std::string& aValue);

  /// Takes a record that was read from the store. Returns false for a versioned record
  /// that cannot be read, so that the read is no evidence.
  bool TakeFromStore(const store::KeyValue& aRecord);

  /// Drops entries and agents that a read of all of them did not return.
  void KeepOnly(const std::vector<store::KeyValue>& aRecords, bool aAgentsToo);

  /// Returns the record with the key, or null.
  AdoptedRecord* FindRecord(const std::string& aKey);

  /// Returns true if the member's process is registered and its VM is not gone.
  bool IsLive(const membership::Member& aMember, timing::Instant aNow) const;

  /// Returns true if the member certainly has ended: its VM is gone, or another
  /// incarnation took its name.
  bool HasEnded(const membership::Member& aMember, timing::Instant aNow) const;

  /// Returns the live entry that is first by rendezvous hashing for a topic.
  std::optional<membership::Member> FirstFor(const std::string& aTopic,
                                             const ids::AvailabilityZoneId* aZone,
                                             timing::Instant aNow) const;

  /// Returns true if this entry plans the roster and the rights. Two planners are safe.
  bool IsPlanner(timing::Instant aNow) const;

  /// Returns true if the adopted rights give shares of each client account to holders.
  bool RightsCoverAccounts() const;

  std::shared_ptr<const ControlSnapshot> MakeSnapshot() const;

private:
  void AdoptConfiguration(catalogue::Configuration aConfiguration);
};

}

#endif
