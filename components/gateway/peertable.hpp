#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_PEERTABLE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_PEERTABLE_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "components/gateway/enginemodel.hpp"
#include "components/gateway/quotaledger.hpp"
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

/// Load that an entry reports to its peers several times a second. Endpoints, client
/// accounts and models are identified by HashName.
struct PeerReport
{
  ids::ProcessId mProcess;
  /// Set at the start of the process. A report with a larger incarnation replaces one
  /// with a smaller incarnation at once; the reverse happens only after the last report
  /// has become stale.
  std::uint64_t mIncarnation{ 0 };
  std::uint64_t mSequence{ 0 };
  /// The sender has fresh reports of all entries in its table.
  bool mReceivesFromAll{ false };
  /// Requests in flight by endpoint.
  std::unordered_map<std::uint64_t, EngineLoad> mInFlight;
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

  PeerTable(ids::ProcessId aOwn, timing::Instant aStart)
    : mOwn(std::move(aOwn))
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
                timing::Instant aNow);
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
  std::vector<std::pair<ids::ProcessId, settings::SocketAddress>> Addresses() const;
  /// Entries whose registration is in the store.
  std::vector<ids::ProcessId> Registered() const;

  /// Largest number of cores among the other registered entries; 0 if there are none.
  double MaxCores() const;
  /// True while entries that started at the same time as this process may be missing from
  /// the table.
  bool IsJoining(timing::Instant aNow) const { return aNow < mStart + kJoinTime; }

  /// Requests in flight by HashName of the endpoint, summed over the fresh reports of the
  /// other entries.
  std::unordered_map<std::uint64_t, EngineLoad> InFlight(timing::Instant aNow) const;
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
    double mCores{ 0.0 };
    bool mRegistered{ false };
    timing::Instant mRegistrationChangedAt{};
    timing::Instant mReceivedAt{};
    PeerReport mReport;
  };
  bool IsFresh(const Peer& aPeer, timing::Instant aNow) const;

  ids::ProcessId mOwn;
  timing::Instant mStart;
  std::size_t mRecordedEntries{ 0 };
  std::map<ids::ProcessId, Peer> mPeers;
};

}

#endif
