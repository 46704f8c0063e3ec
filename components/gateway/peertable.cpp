#include "components/gateway/peertable.hpp"

#include <algorithm>
#include <set>
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
                         timing::Instant aNow,
                         const ids::AvailabilityZoneId& aZone)
{
  if (aProcess == mOwn) {
    return;
  }
  Peer& peer = mPeers[aProcess];
  peer.mAddress = aAddress;
  peer.mCores = aCores;
  peer.mZone = aZone;
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
  if (aReport.mNotice) {
    for (const std::uint64_t key : aReport.mAwaitedAdapters) {
      if (mAwaitedByNotice.size() < kMaxNames || mAwaitedByNotice.contains(key)) {
        mAwaitedByNotice[key] = aNow;
      }
    }
    return true;
  }
  if (!aReport.mZone.Empty()) {
    // An entry reports the sums of no zone but its own.
    return aReport.mZone == it->second.mZone && ReceiveZone(std::move(aReport), aNow);
  }
  Peer& peer = it->second;
  const PeerReport& last = peer.mReport;
  // A process that restarts after its wall clock was set back has a smaller incarnation.
  const bool replaced = aReport.mIncarnation != last.mIncarnation && !IsFresh(peer, aNow);
  if (!replaced && std::pair(aReport.mIncarnation, aReport.mSequence) <=
                     std::pair(last.mIncarnation, last.mSequence)) {
    return false;
  }
  if (peer.mZone == mOwnZone) {
    AddAdmitted(last, aReport);
  }
  peer.mReport = std::move(aReport);
  peer.mReceivedAt = aNow;
  return true;
}

bool PeerTable::ReceiveZone(PeerReport aReport, timing::Instant aNow)
{
  Zone& zone = mZones[aReport.mZone];
  const PeerReport& last = zone.mReport;
  const bool sameSender =
    aReport.mProcess == last.mProcess && aReport.mIncarnation == last.mIncarnation;
  const bool newer = sameSender ? aReport.mSequence > last.mSequence
                                : aNow - zone.mReceivedAt > kAggregatorTimeout;
  if (!newer) {
    return false;
  }
  zone.mReport = std::move(aReport);
  zone.mReceivedAt = aNow;
  return true;
}

void PeerTable::AddAdmitted(const PeerReport& aLast, const PeerReport& aReport)
{
  if (aLast.mProcess.Empty()) {
    return;
  }
  for (const auto& [account, total] : aReport.mAdmitted) {
    const auto before = aLast.mAdmitted.find(account);
    const bool continues =
      aLast.mIncarnation == aReport.mIncarnation && before != aLast.mAdmitted.end();
    if (mZoneAdmitted.size() < kMaxNames || mZoneAdmitted.contains(account)) {
      mZoneAdmitted[account] += std::max(total - (continues ? before->second : 0.0), 0.0);
    }
  }
}

void PeerTable::Tick(timing::Instant aNow)
{
  std::erase_if(mPeers, [aNow](const auto& aRow) {
    const Peer& peer = aRow.second;
    return !peer.mRegistered &&
           std::max(peer.mRegistrationChangedAt, peer.mReceivedAt) + kRemovalDelay < aNow;
  });
  std::erase_if(mAwaitedByNotice,
                [aNow](const auto& aRow) { return aRow.second + kAwaitedAge <= aNow; });
}

bool PeerTable::IsFresh(const Peer& aPeer, timing::Instant aNow)
{
  return aPeer.mReceivedAt + kMaxReportAge > aNow;
}

bool PeerTable::IsFresh(const Zone& aZone, timing::Instant aNow)
{
  return aZone.mReceivedAt + kMaxReportAge > aNow;
}

bool PeerTable::ReportsDirectly(const Peer& aPeer) const
{
  return !IsGroupedByZone() || aPeer.mZone == mOwnZone;
}

std::map<ids::AvailabilityZoneId, std::size_t> PeerTable::EntriesByZone() const
{
  std::map<ids::AvailabilityZoneId, std::size_t> entries;
  for (const auto& [process, peer] : mPeers) {
    ++entries[peer.mZone];
  }
  return entries;
}

template<typename Visit>
void PeerTable::ForEachFresh(timing::Instant aNow, Visit aVisit) const
{
  for (const auto& [process, peer] : mPeers) {
    if (ReportsDirectly(peer) && IsFresh(peer, aNow)) {
      aVisit(peer.mReport);
    }
  }
  if (!IsGroupedByZone()) {
    return;
  }
  for (const auto& [name, zone] : mZones) {
    if (name != mOwnZone && IsFresh(zone, aNow)) {
      aVisit(zone.mReport);
    }
  }
}

bool PeerTable::ReceivesFromAll(timing::Instant aNow) const
{
  return std::ranges::all_of(mPeers, [&](const auto& aRow) {
    return !ReportsDirectly(aRow.second) || IsFresh(aRow.second, aNow);
  });
}

bool PeerTable::AllReceiveFromAll(timing::Instant aNow) const
{
  return aNow >= mStart + kJoinTime && std::ranges::all_of(mPeers, [&](const auto& aRow) {
           return !ReportsDirectly(aRow.second) ||
                  (IsFresh(aRow.second, aNow) && aRow.second.mReport.mReceivesFromAll);
         });
}

PeerTable::Coverage PeerTable::CoverageAt(timing::Instant aNow) const
{
  if (!IsGroupedByZone()) {
    return { AllReceiveFromAll(aNow), 0 };
  }
  Coverage coverage;
  for (const auto& [name, entries] : EntriesByZone()) {
    const auto zone = mZones.find(name);
    std::size_t covered = 0;
    if (name == mOwnZone) {
      covered =
        static_cast<std::size_t>(std::ranges::count_if(mPeers, [&](const auto& aRow) {
          return aRow.second.mZone == mOwnZone && IsFresh(aRow.second, aNow);
        }));
    } else if (zone != mZones.end() && IsFresh(zone->second, aNow)) {
      covered = std::min(entries, zone->second.mReport.mCovered.size());
    }
    coverage.mUncovered += entries - covered;
  }
  const auto own = mZones.find(mOwnZone);
  // Others count this entry only if its zone's aggregator does.
  const bool counted =
    Aggregator(aNow) == mOwn ||
    (own != mZones.end() && IsFresh(own->second, aNow) &&
     std::ranges::count(own->second.mReport.mCovered, HashName(mOwn.Str())) > 0);
  const double maxUncovered = kMaxUncoveredFraction * static_cast<double>(KnownEntries());
  coverage.mComplete = counted && aNow >= mStart + kJoinTime &&
                       static_cast<double>(coverage.mUncovered) <= maxUncovered;
  return coverage;
}

PeerTable::Addresses PeerTable::AllAddresses() const
{
  Addresses addresses;
  std::ranges::transform(mPeers, std::back_inserter(addresses), [](const auto& aRow) {
    return std::pair(aRow.first, aRow.second.mAddress);
  });
  return addresses;
}

std::optional<settings::SocketAddress> PeerTable::AddressOf(
  const ids::ProcessId& aProcess) const
{
  const auto it = mPeers.find(aProcess);
  return it == mPeers.end() ? std::nullopt : std::optional(it->second.mAddress);
}

PeerTable::Addresses PeerTable::StrongestEntries(std::size_t aCount,
                                                 const ids::ProcessId& aExcept) const
{
  // A larger number of cores first, and so by its negative.
  std::set<std::pair<double, ids::ProcessId>> entries{ { -mOwnCores, mOwn } };
  for (const auto& [process, peer] : mPeers) {
    if (peer.mRegistered) {
      entries.emplace(-peer.mCores, process);
    }
  }
  Addresses addresses;
  std::size_t chosen = 0;
  for (const auto& [cores, process] : entries) {
    if (process != aExcept && chosen++ < aCount && process != mOwn) {
      addresses.emplace_back(process, mPeers.at(process).mAddress);
    }
  }
  return addresses;
}

PeerTable::Addresses PeerTable::ReportReceivers() const
{
  Addresses addresses;
  for (const auto& [process, peer] : mPeers) {
    if (ReportsDirectly(peer)) {
      addresses.emplace_back(process, peer.mAddress);
    }
  }
  return addresses;
}

PeerTable::Addresses PeerTable::ZoneReceivers() const
{
  struct Candidate
  {
    double mCores;
    ids::ProcessId mProcess;
    settings::SocketAddress mAddress;
  };
  std::map<ids::AvailabilityZoneId, std::vector<Candidate>> zones;
  for (const auto& [process, peer] : mPeers) {
    if (peer.mRegistered && peer.mZone != mOwnZone) {
      zones[peer.mZone].push_back({ peer.mCores, process, peer.mAddress });
    }
  }
  Addresses addresses;
  for (auto& [zone, candidates] : zones) {
    std::ranges::stable_sort(candidates, std::ranges::greater{}, &Candidate::mCores);
    candidates.resize(std::min(candidates.size(), kZoneReceivers));
    for (const Candidate& candidate : candidates) {
      addresses.emplace_back(candidate.mProcess, candidate.mAddress);
    }
  }
  return addresses;
}

ids::ProcessId PeerTable::Aggregator(timing::Instant aNow) const
{
  std::pair<double, ids::ProcessId> best(mOwnCores, mOwn);
  for (const auto& [process, peer] : mPeers) {
    const bool candidate =
      peer.mRegistered && peer.mZone == mOwnZone && IsFresh(peer, aNow);
    // Of entries with equal cores the one with the smallest name aggregates.
    const bool stronger =
      peer.mCores > best.first || (peer.mCores == best.first && process < best.second);
    if (candidate && stronger) {
      best = { peer.mCores, process };
    }
  }
  return best.second;
}

PeerReport PeerTable::ZoneReport(const PeerReport& aOwnReport, timing::Instant aNow) const
{
  PeerReport sums = aOwnReport;
  sums.mZone = mOwnZone;
  sums.mCovered = { HashName(mOwn.Str()) };
  sums.mRefused.clear();
  for (const auto& [account, total] : mZoneAdmitted) {
    sums.mAdmitted[account] += total;
  }
  for (const auto& [process, peer] : mPeers) {
    if (peer.mZone != mOwnZone || !IsFresh(peer, aNow)) {
      continue;
    }
    sums.mCovered.push_back(HashName(process.Str()));
    for (const auto& [key, load] : peer.mReport.mInFlight) {
      sums.mInFlight[key] += load;
    }
    for (const auto& [key, outcomes] : peer.mReport.mOutcomes) {
      sums.mOutcomes[key] += outcomes;
    }
    for (const auto& [key, demand] : peer.mReport.mModelDemand) {
      sums.mModelDemand[key] += demand;
    }
  }
  return sums;
}

std::uint64_t PeerTable::NewestConfiguration(timing::Instant aNow) const
{
  std::uint64_t newest = 0;
  ForEachFresh(aNow, [&newest](const PeerReport& aReport) {
    newest = std::max(newest, aReport.mConfigurationVersion);
  });
  return newest;
}

std::chrono::milliseconds PeerTable::LongestRewrite(timing::Instant aNow) const
{
  std::chrono::milliseconds longest{ 0 };
  ForEachFresh(aNow, [&longest](const PeerReport& aReport) {
    longest = std::max(longest, aReport.mRewriteLeft);
  });
  return longest;
}

std::vector<ids::ProcessId> PeerTable::Known() const
{
  std::vector<ids::ProcessId> processes;
  std::ranges::transform(
    mPeers, std::back_inserter(processes), [](const auto& aRow) { return aRow.first; });
  return processes;
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

std::unordered_map<std::uint64_t, EndpointOutcomes> PeerTable::Outcomes(
  timing::Instant aNow) const
{
  std::unordered_map<std::uint64_t, EndpointOutcomes> sums;
  ForEachFresh(aNow, [&sums](const PeerReport& aReport) {
    for (const auto& [key, outcomes] : aReport.mOutcomes) {
      sums[key] += outcomes;
    }
  });
  return sums;
}

std::unordered_map<std::uint64_t, EngineLoad> PeerTable::InFlight(
  timing::Instant aNow) const
{
  std::unordered_map<std::uint64_t, EngineLoad> sums;
  ForEachFresh(aNow, [&sums](const PeerReport& aReport) {
    for (const auto& [key, load] : aReport.mInFlight) {
      sums[key] += load;
    }
  });
  return sums;
}

std::unordered_map<std::uint64_t, double> PeerTable::ModelDemand(
  timing::Instant aNow) const
{
  std::unordered_map<std::uint64_t, double> sums;
  ForEachFresh(aNow, [&sums](const PeerReport& aReport) {
    for (const auto& [key, demand] : aReport.mModelDemand) {
      sums[key] += demand;
    }
  });
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
  for (const auto& [key, since] : mAwaitedByNotice) {
    if (since + kAwaitedAge > aNow) {
      awaited.insert(key);
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
    if (ReportsDirectly(peer) && it != peer.mReport.mAdmitted.end()) {
      quotas.push_back(
        { process, peer.mReport.mIncarnation, peer.mReceivedAt, it->second, false, 1 });
    }
  }
  if (!IsGroupedByZone()) {
    return quotas;
  }
  for (const auto& [name, zone] : mZones) {
    const auto it = zone.mReport.mAdmitted.find(key);
    if (name != mOwnZone && it != zone.mReport.mAdmitted.end()) {
      quotas.push_back(
        { ids::ProcessId("zone " + name.Str()),
          HashName(zone.mReport.mProcess.Str()) ^ zone.mReport.mIncarnation,
          zone.mReceivedAt,
          it->second,
          true,
          zone.mReport.mCovered.size() });
    }
  }
  return quotas;
}

}
