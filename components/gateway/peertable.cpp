#include "components/gateway/peertable.hpp"

#include <algorithm>
#include <utility>

#include "components/random/rendezvous.hpp"

namespace samphiresail::gateway {

std::uint64_t HashName(const std::string& aName)
{
  return random::RendezvousWeight(aName, {});
}

void PeerTable::Register(const ids::ProcessId& aProcess,
                         const settings::SocketAddress& aAddress,
                         double aCores,
                         timing::Instant aNow)
{
  if (aProcess == mOwn) {
    return;
  }
  Peer& peer = mPeers[aProcess];
  peer.mAddress = aAddress;
  peer.mCores = aCores;
  peer.mRegistered = true;
  peer.mRegistrationChangedAt = aNow;
}

void PeerTable::Unregister(const ids::ProcessId& aProcess, timing::Instant aNow)
{
  const auto it = mPeers.find(aProcess);
  if (it != mPeers.end()) {
    it->second.mRegistered = false;
    it->second.mRegistrationChangedAt = aNow;
  }
}

bool PeerTable::Receive(PeerReport aReport, timing::Instant aNow)
{
  const auto it = mPeers.find(aReport.mProcess);
  if (it == mPeers.end()) {
    return false;
  }
  Peer& peer = it->second;
  const PeerReport& last = peer.mReport;
  // A process that restarts after its wall clock was set back has a smaller incarnation.
  const bool replaced = aReport.mIncarnation != last.mIncarnation && !IsFresh(peer, aNow);
  if (!replaced && std::pair(aReport.mIncarnation, aReport.mSequence) <=
                     std::pair(last.mIncarnation, last.mSequence)) {
    return false;
  }
  peer.mReport = std::move(aReport);
  peer.mReceivedAt = aNow;
  return true;
}

void PeerTable::Tick(timing::Instant aNow)
{
  std::erase_if(mPeers, [aNow](const auto& aRow) {
    const Peer& peer = aRow.second;
    return !peer.mRegistered &&
           std::max(peer.mRegistrationChangedAt, peer.mReceivedAt) + kRemovalDelay < aNow;
  });
}

bool PeerTable::IsFresh(const Peer& aPeer, timing::Instant aNow) const
{
  return aPeer.mReceivedAt + kMaxReportAge > aNow;
}

bool PeerTable::ReceivesFromAll(timing::Instant aNow) const
{
  return std::ranges::all_of(
    mPeers, [&](const auto& aRow) { return IsFresh(aRow.second, aNow); });
}

bool PeerTable::AllReceiveFromAll(timing::Instant aNow) const
{
  return aNow >= mStart + kJoinTime && std::ranges::all_of(mPeers, [&](const auto& aRow) {
           return IsFresh(aRow.second, aNow) && aRow.second.mReport.mReceivesFromAll;
         });
}

std::vector<std::pair<ids::ProcessId, settings::SocketAddress>> PeerTable::Addresses()
  const
{
  std::vector<std::pair<ids::ProcessId, settings::SocketAddress>> addresses;
  std::ranges::transform(mPeers, std::back_inserter(addresses), [](const auto& aRow) {
    return std::pair(aRow.first, aRow.second.mAddress);
  });
  return addresses;
}

std::vector<ids::ProcessId> PeerTable::Registered() const
{
  std::vector<ids::ProcessId> processes;
  for (const auto& [process, peer] : mPeers) {
    if (peer.mRegistered) {
      processes.push_back(process);
    }
  }
  return processes;
}

double PeerTable::MaxCores() const
{
  double most = 0.0;
  for (const auto& [process, peer] : mPeers) {
    most = std::max(most, peer.mRegistered ? peer.mCores : 0.0);
  }
  return most;
}

std::unordered_map<std::uint64_t, EngineLoad> PeerTable::InFlight(
  timing::Instant aNow) const
{
  std::unordered_map<std::uint64_t, EngineLoad> sums;
  for (const auto& [process, peer] : mPeers) {
    if (!IsFresh(peer, aNow)) {
      continue;
    }
    for (const auto& [key, load] : peer.mReport.mInFlight) {
      sums[key] += load;
    }
  }
  return sums;
}

std::unordered_map<std::uint64_t, double> PeerTable::ModelDemand(
  timing::Instant aNow) const
{
  std::unordered_map<std::uint64_t, double> sums;
  for (const auto& [process, peer] : mPeers) {
    if (!IsFresh(peer, aNow)) {
      continue;
    }
    for (const auto& [key, rate] : peer.mReport.mModelDemand) {
      sums[key] += rate;
    }
  }
  return sums;
}

std::unordered_set<std::uint64_t> PeerTable::AwaitedAdapters(timing::Instant aNow) const
{
  std::unordered_set<std::uint64_t> awaited;
  for (const auto& [process, peer] : mPeers) {
    if (peer.mReceivedAt + kAwaitedAge > aNow) {
      awaited.insert(peer.mReport.mAwaitedAdapters.begin(),
                     peer.mReport.mAwaitedAdapters.end());
    }
  }
  return awaited;
}

std::vector<PeerQuota> PeerTable::AccountQuotas(
  const ids::ClientAccountId& aAccount) const
{
  const std::uint64_t key = HashName(aAccount.Str());
  std::vector<PeerQuota> quotas;
  for (const auto& [process, peer] : mPeers) {
    const auto it = peer.mReport.mAdmitted.find(key);
    if (it != peer.mReport.mAdmitted.end()) {
      quotas.push_back(
        { process, peer.mReport.mIncarnation, peer.mReceivedAt, it->second });
    }
  }
  return quotas;
}

}
