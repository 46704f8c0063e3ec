#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_PEERTABLE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_PEERTABLE_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "components/duties/usagerow.hpp"
#include "components/gateway/endpointlimits.hpp"
#include "components/gateway/enginemodel.hpp"
#include "components/gateway/quotaledger.hpp"
#include "components/gateway/requestquarantine.hpp"
#include "components/ids/ids.hpp"
#include "components/settings/socketaddress.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// An adapter that was loaded at an endpoint, as hashes of their names, see HashName.
struct LoadedAdapter
{
  std::uint64_t mEndpointHash{ 0 };
  std::uint64_t mModelAdapterHash{ 0 };
};

/// Load that an entry reports to its peers several times a second, or the sums of the
/// entries of a zone. Endpoints, client accounts and models are identified by HashName.
struct PeerReport
{
  ids::ProcessId mProcess;
  /// Zone whose sums these are; empty for the load of the sender alone.
  ids::AvailabilityZoneId mZone;
  /// Entries that the sums of a zone include, by HashName.
  std::vector<std::uint64_t> mCovered;
  /// An entry of the receiver's zone passed the report on.
  bool mForwarded{ false };
  /// Only mAwaitedAdapters, mLoadedAdapters, mFindings, mTrueTime and mUsage are set; the
  /// message replaces no report.
  bool mNotice{ false };
  /// Set at the start of the process. A report with a larger incarnation replaces one
  /// with a smaller incarnation at once; the reverse happens only after the last report
  /// has become stale.
  std::uint64_t mIncarnation{ 0 };
  std::uint64_t mSequence{ 0 };
  /// Version of the configuration that the sender has in force; 0 if it has none.
  std::uint64_t mConfigurationVersion{ 0 };
  /// Time for which the sender awaits records that a restore of the store lost.
  std::chrono::milliseconds mRewriteLeft{ 0 };
  /// The sender has fresh reports of all entries in its table.
  bool mReceivesFromAll{ false };
  /// Requests in flight by endpoint.
  std::unordered_map<std::uint64_t, EngineLoad> mInFlight;
  /// Recent outcomes of the same endpoints, see EndpointLimits.
  std::unordered_map<std::uint64_t, EndpointOutcomes> mOutcomes;
  /// Tokens admitted since the start of the process, by client account.
  std::unordered_map<std::uint64_t, double> mAdmitted;
  /// Demand in engines by model, and by model and adapter, see DemandMeter; only the
  /// leader needs it.
  std::unordered_map<std::uint64_t, double> mModelDemand;
  /// Adapters that requests at the sender wait for, by HashName of model and adapter.
  std::vector<std::uint64_t> mAwaitedAdapters;
  /// Requests that the sender refused recently, see ReturningCallers.
  std::vector<std::uint64_t> mRefused;
  /// Adapters that were recently loaded on an order of the sender.
  std::vector<LoadedAdapter> mLoadedAdapters;
  CrashFindings mFindings;
  /// Time since the Unix epoch at which the report was sent; 0 unless usage is reported.
  std::chrono::milliseconds mTrueTime{ 0 };
  duties::UsageMessage mUsage;
};

/// Returns the hash by which peer reports identify an endpoint, a client account, a
/// model, or a model and adapter.
std::uint64_t HashName(const std::string& aName);

/// Table of the other entries: their registrations in the store and their latest reports.
class PeerTable
{
public:
  /// Age from which a report is stale.
  static constexpr timing::Duration kMaxReportAge = std::chrono::milliseconds(1200);
  /// How long an entry still counts after the end of its registration or the arrival of
  /// its last report, whichever is later.
  static constexpr timing::Duration kRemovalDelay = std::chrono::milliseconds(3000);

  /// Time after the start of this process during which entries that started at the same
  /// time may be missing from the table.
  static constexpr timing::Duration kJoinTime = std::chrono::milliseconds(2000);

  /// How long a reported wait for an adapter counts; a request waits for little longer.
  static constexpr timing::Duration kAwaitedAge = std::chrono::milliseconds(600);

  /// Up to this many entries each reports to every other one. In a larger fleet it
  /// reports to those of its own availability zone, and one entry of each zone, its
  /// aggregator, reports the zone's sums to the other zones.
  static constexpr std::size_t kMaxFullMeshEntries = 24;
  /// Age of a zone's report from which a report of another aggregator replaces it.
  static constexpr timing::Duration kAggregatorTimeout = std::chrono::milliseconds(700);
  /// Number of entries of a zone, those with the most cores, to which the aggregators of
  /// the other zones report.
  static constexpr std::size_t kZoneReceivers = 2;
  /// Most adapters, and most client accounts, that are kept by reports of other entries;
  /// a fleet has far fewer.
  static constexpr std::size_t kMaxNames = 16384;
  /// Largest fraction of the entries that may be missing from the reports while quotas
  /// are still shared; the missing ones are assumed to use their equal shares.
  static constexpr double kMaxUncoveredFraction = 0.1;

  PeerTable(ids::ProcessId aOwn,
            timing::Instant aStart,
            ids::AvailabilityZoneId aOwnZone = {},
            double aOwnCores = 0.0)
    : mOwn(std::move(aOwn))
    , mOwnZone(std::move(aOwnZone))
    , mOwnCores(aOwnCores)
    , mStart(aStart)
  {
  }

  /// Sets the largest number of entries so far, from the store's record. While the
  /// process joins, it assumes that as many are active.
  void SetRecordedEntries(std::size_t aEntries) { mRecordedEntries = aEntries; }
  std::size_t RecordedEntries() const { return mRecordedEntries; }
  /// Number of entries that are registered or send reports, this one included.
  std::size_t KnownEntries() const { return mPeers.size() + 1; }

  /// Records that an entry was registered, or that its registration ended.
  void Register(const ids::ProcessId& aProcess,
                const settings::SocketAddress& aAddress,
                double aCores,
                timing::Instant aNow,
                const ids::AvailabilityZoneId& aZone = {});
  void Unregister(const ids::ProcessId& aProcess, timing::Instant aNow);
  /// Stores a report. Returns false if the sender is not in the table or if a newer
  /// report was stored before.
  bool Receive(PeerReport aReport, timing::Instant aNow);
  void Tick(timing::Instant aNow);

  /// Number of entries that may be active, this one included.
  std::size_t EntryCount(timing::Instant aNow) const
  {
    return aNow < mStart + kJoinTime ? std::max(KnownEntries(), mRecordedEntries)
                                     : KnownEntries();
  }
  /// True if the reports of all other entries are fresh.
  bool ReceivesFromAll(timing::Instant aNow) const;
  /// True if, in addition, each of them reports that it receives from all others and
  /// IsJoining is false.
  bool AllReceiveFromAll(timing::Instant aNow) const;
  /// What the latest reports cover.
  struct Coverage
  {
    /// The reports suffice for quotas to be shared by all entries.
    bool mComplete{ false };
    /// Entries that they do not include.
    std::size_t mUncovered{ 0 };
  };
  Coverage CoverageAt(timing::Instant aNow) const;

  using Addresses = std::vector<std::pair<ids::ProcessId, settings::SocketAddress>>;
  /// Entries that get this entry's own reports.
  Addresses ReportReceivers() const;
  /// Entries of the other zones that get the sums of this entry's zone.
  Addresses ZoneReceivers() const;
  /// All other entries.
  Addresses AllAddresses() const;
  /// Address of another entry; none if it is not known.
  std::optional<settings::SocketAddress> AddressOf(const ids::ProcessId& aProcess) const;
  /// The aCount registered entries with the most cores, then by name, without aExcept.
  /// All entries that see the same registrations choose the same ones, of which each
  /// leaves out itself.
  Addresses StrongestEntries(std::size_t aCount, const ids::ProcessId& aExcept) const;

  /// True if reports between zones carry sums.
  bool IsGroupedByZone() const
  {
    return !mOwnZone.Empty() && KnownEntries() > kMaxFullMeshEntries;
  }
  /// The entry that reports the sums of this entry's zone: of those whose reports are
  /// fresh, the one with the most cores.
  ids::ProcessId Aggregator(timing::Instant aNow) const;
  /// Returns the sums of this entry's zone, including aOwnReport.
  PeerReport ZoneReport(const PeerReport& aOwnReport, timing::Instant aNow) const;
  /// All other entries that are registered or send reports.
  std::vector<ids::ProcessId> Known() const;
  /// Entries whose registration is in the store.
  std::vector<ids::ProcessId> Registered() const;

  /// Largest number of cores among the other registered entries; 0 if there are none.
  double MaxCores() const;
  /// True while entries that started at the same time as this process may be missing from
  /// the table.
  bool IsJoining(timing::Instant aNow) const { return aNow < mStart + kJoinTime; }

  /// The newest version of the configuration that another entry has in force, from the
  /// same reports as the loads; 0 if none says so.
  std::uint64_t NewestConfiguration(timing::Instant aNow) const;
  /// The longest time for which one of these entries awaits records that a restore of the
  /// store lost.
  std::chrono::milliseconds LongestRewrite(timing::Instant aNow) const;

  /// Requests in flight by HashName of the endpoint, summed over the fresh reports of the
  /// other entries.
  std::unordered_map<std::uint64_t, EngineLoad> InFlight(timing::Instant aNow) const;
  /// Outcomes by HashName of the endpoint, summed over the same reports.
  std::unordered_map<std::uint64_t, EndpointOutcomes> Outcomes(
    timing::Instant aNow) const;
  /// Demand in engines, summed over the same reports, by HashName of the model or of the
  /// model and adapter.
  std::unordered_map<std::uint64_t, double> ModelDemand(timing::Instant aNow) const;
  /// Adapters that requests at the other entries wait for, by HashName of model and
  /// adapter, from reports that are not older than kAwaitedAge.
  std::unordered_set<std::uint64_t> AwaitedAdapters(timing::Instant aNow) const;
  /// Latest report of each other entry on an account, even if it is stale.
  std::vector<PeerQuota> AccountQuotas(const ids::ClientAccountId& aAccount) const;

private:
  struct Peer
  {
    settings::SocketAddress mAddress;
    ids::AvailabilityZoneId mZone;
    double mCores{ 0.0 };
    bool mRegistered{ false };
    timing::Instant mRegistrationChangedAt{};
    timing::Instant mReceivedAt{};
    PeerReport mReport;
  };
  /// Latest report of a zone's sums.
  struct Zone
  {
    PeerReport mReport;
    timing::Instant mReceivedAt{};
  };
  static bool IsFresh(const Peer& aPeer, timing::Instant aNow);
  static bool IsFresh(const Zone& aZone, timing::Instant aNow);
  /// True if the entry's own reports are used, rather than those of its zone.
  bool ReportsDirectly(const Peer& aPeer) const;
  bool ReceiveZone(PeerReport aReport, timing::Instant aNow);
  /// Adds what a peer admitted since its last report to the sums of this zone.
  void AddAdmitted(const PeerReport& aLast, const PeerReport& aReport);
  /// Number of known entries by zone, without this one.
  std::map<ids::AvailabilityZoneId, std::size_t> EntriesByZone() const;
  /// Calls aVisit(report) for each fresh report of entries and of other zones.
  template<typename Visit>
  void ForEachFresh(timing::Instant aNow, Visit aVisit) const;

  ids::ProcessId mOwn;
  ids::AvailabilityZoneId mOwnZone;
  double mOwnCores;
  timing::Instant mStart;
  std::size_t mRecordedEntries{ 0 };
  std::map<ids::ProcessId, Peer> mPeers;
  std::map<ids::AvailabilityZoneId, Zone> mZones;
  /// Tokens by account that the other entries of this zone admitted since the start of
  /// this process.
  std::unordered_map<std::uint64_t, double> mZoneAdmitted;
  /// Adapters that other entries wait for by their notices, with the time of each.
  std::unordered_map<std::uint64_t, timing::Instant> mAwaitedByNotice;
};

}

#endif
