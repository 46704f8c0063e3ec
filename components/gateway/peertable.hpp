#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_PEERTABLE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_PEERTABLE_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "components/gateway/quotaledger.hpp"
#include "components/ids/ids.hpp"
#include "components/settings/socketaddress.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// An adapter that an endpoint now holds, by their digest keys.
struct LoadedAdapter
{
  std::uint64_t mEndpointHash{ 0 };
  std::uint64_t mModelAdapterHash{ 0 };
};

/// What one entry tells the others several times a second.
struct PeerReport
{
  ids::ProcessId mProcess;
  /// Drawn at the start of the process; a larger one replaces a smaller one at once, a
  /// smaller one a larger one that fell silent.
  std::uint64_t mIncarnation{ 0 };
  std::uint64_t mSequence{ 0 };
  /// The sender hears every entry that it knows.
  bool mReceivesFromAll{ false };
  /// Requests in flight by endpoint.
  std::unordered_map<std::uint64_t, unsigned> mInFlight;
  /// Tokens admitted since the start of the process, by client account.
  std::unordered_map<std::uint64_t, double> mAdmitted;
  /// Requests a second by model, and by model and adapter; only the leader needs them.
  std::unordered_map<std::uint64_t, double> mModelDemand;
  /// A request waits at the sender for an adapter.
  bool mWaitsForAdapter{ false };
  /// Adapters that the sender has just had loaded.
  std::vector<LoadedAdapter> mLoadedAdapters;
};

/// Number by which digests name an endpoint, an account or a model.
std::uint64_t HashName(const std::string& aName);

/// Table of the other entries: who is registered in the store, who is heard, what they
/// said.
class PeerTable
{
public:
  /// A digest older than this says nothing about the present.
  static constexpr timing::Duration kMaxReportAge = std::chrono::milliseconds(1200);
  /// How long an entry still counts after it is neither registered nor heard.
  static constexpr timing::Duration kRemovalDelay = std::chrono::milliseconds(3000);

  /// How long after its start a process may not know all others that started with it.
  static constexpr timing::Duration kJoinTime = std::chrono::milliseconds(2000);

  PeerTable(ids::ProcessId aOwn, timing::Instant aStart)
    : mOwn(std::move(aOwn))
    , mStart(aStart)
  {
  }

  /// Sets how many entries there were at most, as the store's record says. While the
  /// process joins, as many are taken to be at work.
  void SetRecordedEntries(std::size_t aEntries) { mRecordedEntries = aEntries; }
  std::size_t RecordedEntries() const { return mRecordedEntries; }
  /// Entries that are registered or heard, this one included.
  std::size_t KnownEntries() const { return mPeers.size() + 1; }

  /// Records the registration of an entry, or that it ended.
  void Register(const ids::ProcessId& aProcess,
                const settings::SocketAddress& aAddress,
                double aCores,
                timing::Instant aNow);
  void Unregister(const ids::ProcessId& aProcess, timing::Instant aNow);
  /// Takes a report; returns false if it is older than one that was taken.
  bool Receive(PeerReport aReport, timing::Instant aNow);
  void Tick(timing::Instant aNow);

  /// Entries that may be at work, this one included.
  std::size_t EntryCount(timing::Instant aNow) const
  {
    return aNow < mStart + kJoinTime ? std::max(KnownEntries(), mRecordedEntries)
                                     : KnownEntries();
  }
  /// True if every other entry was heard lately.
  bool ReceivesFromAll(timing::Instant aNow) const;
  /// True if, beside that, each of them says that it hears all, and this process is no
  /// longer joining.
  bool AllReceiveFromAll(timing::Instant aNow) const;
  std::vector<std::pair<ids::ProcessId, settings::SocketAddress>> Addresses() const;
  /// Entries whose registration is in the store.
  std::vector<ids::ProcessId> Registered() const;

  /// Cores of the registered entry that has most; 0 if there is none.
  double MaxCores() const;
  /// True while the process may not know all others that started with it.
  bool IsJoining(timing::Instant aNow) const { return aNow < mStart + kJoinTime; }

  /// Sums over the fresh digests of the other entries.
  unsigned InFlight(const ids::EndpointId& aEndpoint, timing::Instant aNow) const;
  /// By digest key.
  std::unordered_map<std::uint64_t, double> ModelDemand(timing::Instant aNow) const;
  /// What each other entry last said of an account, also if that is a while ago.
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
