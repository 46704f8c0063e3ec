#include "components/gateway/crashevidence.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace samphiresail::gateway {

namespace {

/// The same as CrashEvidence::kMinSpread for a request that was never answered: several
/// engines that end at one moment rarely all have the same one.
constexpr timing::Duration kMinRequestSpread = std::chrono::milliseconds(100);

}

std::vector<Suspect> SuspectsOf(const RequestMetadata& aRequest)
{
  const std::uint64_t request = aRequest.mIdentity;
  std::vector<Suspect> suspects;
  suspects.reserve(aRequest.mPromptParts.size() + 1);
  if (request != 0) {
    suspects.push_back({ request, request });
  }
  std::ranges::transform(aRequest.mPromptParts,
                         std::back_inserter(suspects),
                         [request](const PromptPart& aPart) {
                           return Suspect{ aPart.mId, request };
                         });
  return suspects;
}

void CrashEvidence::Known::Add(const Causes& aVerdict)
{
  for (const std::uint64_t cause : aVerdict) {
    mVerdictOf.emplace(cause, mVerdicts.size());
  }
  mVerdicts.push_back(aVerdict);
}

void CrashEvidence::RecordSound(std::uint64_t aCause, timing::Instant aAt)
{
  const auto [it, added] = mSound.try_emplace(aCause, aAt);
  it->second = std::max(it->second, aAt);
}

std::optional<timing::Instant> CrashEvidence::LastSound(std::uint64_t aCause) const
{
  const auto it = mSound.find(aCause);
  return it == mSound.end() ? std::nullopt : std::optional(it->second);
}

bool CrashEvidence::RecordCrash(std::uint64_t aEndpointHash,
                                const std::vector<Suspect>& aSuspects,
                                timing::Instant aAt,
                                timing::Instant aNow)
{
  auto crash = std::ranges::find_if(mCrashes, [&](const Crash& aCrash) {
    return aCrash.mEndpointHash == aEndpointHash &&
           std::max(aCrash.mAt, aAt) - std::min(aCrash.mAt, aAt) < kSameCrash;
  });
  if (crash == mCrashes.end()) {
    if (mCrashes.size() >= kMaxCrashes) {
      mCrashes.pop_front();
    }
    mCrashes.push_back({ aEndpointHash, aAt, aNow, {} });
    crash = std::prev(mCrashes.end());
  }
  const std::size_t before = crash->mSuspects.size();
  AddSuspects(crash->mSuspects, aSuspects);
  return crash->mSuspects.size() > before;
}

void CrashEvidence::AddSuspects(std::vector<Suspect>& aAll,
                                const std::vector<Suspect>& aSuspects)
{
  for (const Suspect& suspect : aSuspects) {
    if (aAll.size() >=
        (suspect.IsWholeRequest() ? kMaxSuspectsPerCrash : kMaxPartsPerCrash)) {
      continue;
    }
    const auto requests = std::ranges::count(aAll, suspect.mCause, &Suspect::mCause);
    if (requests < static_cast<std::ptrdiff_t>(kMinRequests) &&
        std::ranges::count(aAll, suspect) == 0) {
      aAll.push_back(suspect);
    }
  }
}

bool CrashEvidence::IsSettled(timing::Instant aNow) const
{
  return std::ranges::none_of(mCrashes, [aNow](const Crash& aCrash) {
    return aNow < aCrash.mKnownAt + kSettleTime;
  });
}

bool CrashEvidence::Counts(std::uint64_t aCause, const Crash& aCrash) const
{
  const auto sound = LastSound(aCause);
  return !sound || aCrash.mAt > *sound + kSoundTime;
}

bool CrashEvidence::Has(const Crash& aCrash, std::uint64_t aCause)
{
  return std::ranges::count(aCrash.mSuspects, aCause, &Suspect::mCause) > 0;
}

std::size_t CrashEvidence::CrashesOf(std::uint64_t aCause) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mCrashes, [&](const Crash& aCrash) {
      return Has(aCrash, aCause) && Counts(aCause, aCrash);
    }));
}

std::size_t CrashEvidence::CrashesWith(std::uint64_t aCause) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mCrashes, [aCause](const Crash& aCrash) { return Has(aCrash, aCause); }));
}

bool CrashEvidence::HasAll(const Crash& aCrash, const Causes& aCauses)
{
  return std::ranges::all_of(aCauses,
                             [&](std::uint64_t aCause) { return Has(aCrash, aCause); });
}

std::vector<std::uint64_t> CrashEvidence::EnginesOf(const Causes& aCauses) const
{
  std::vector<std::uint64_t> engines;
  for (const Crash& crash : mCrashes) {
    const bool speaks = std::ranges::all_of(aCauses, [&](std::uint64_t aCause) {
      return Has(crash, aCause) && Counts(aCause, crash);
    });
    if (speaks && std::ranges::count(engines, crash.mEndpointHash) == 0) {
      engines.push_back(crash.mEndpointHash);
    }
  }
  return engines;
}

std::set<std::uint64_t> CrashEvidence::Explaining(const Crash& aCrash,
                                                  const Known& aKnown)
{
  std::set<std::size_t> candidates;
  for (const Suspect& suspect : aCrash.mSuspects) {
    const auto it = aKnown.mVerdictOf.find(suspect.mCause);
    if (it != aKnown.mVerdictOf.end()) {
      candidates.insert(it->second);
    }
  }
  std::set<std::uint64_t> explaining;
  for (const std::size_t candidate : candidates) {
    const Causes& verdict = aKnown.mVerdicts[candidate];
    if (HasAll(aCrash, verdict)) {
      explaining.insert(verdict.begin(), verdict.end());
    }
  }
  return explaining;
}

bool CrashEvidence::IsExplainedByPart(const Crash& aCrash,
                                      const std::set<std::uint64_t>& aExplaining)
{
  return std::ranges::any_of(aCrash.mSuspects, [&](const Suspect& aSuspect) {
    return !aSuspect.IsWholeRequest() && aExplaining.contains(aSuspect.mCause);
  });
}

void CrashEvidence::AddCrash(const Crash& aCrash,
                             const Known& aKnown,
                             timing::Instant aNow,
                             Suspicions& aSuspicions) const
{
  const std::set<std::uint64_t> explaining = Explaining(aCrash, aKnown);
  const bool explained = !explaining.empty();
  const bool byPart = IsExplainedByPart(aCrash, explaining);
  const bool settled = aNow >= aCrash.mKnownAt + kSettleTime;
  std::set<std::uint64_t> counted;
  for (const Suspect& suspect : aCrash.mSuspects) {
    const bool ofOther =
      byPart || suspect.IsWholeRequest() || !explaining.contains(suspect.mRequest);
    if ((explained && ofOther && !aKnown.mWatched.contains(suspect.mCause)) ||
        explaining.contains(suspect.mCause) || !Counts(suspect.mCause, aCrash) ||
        (!settled && !suspect.IsWholeRequest())) {
      continue;
    }
    Suspicion& suspicion = aSuspicions[suspect.mCause];
    suspicion.mWholeRequest = suspicion.mWholeRequest || suspect.IsWholeRequest();
    if (!explained && suspicion.mRequests.size() < kMinRequests) {
      suspicion.mRequests.insert(suspect.mRequest);
    }
    if (counted.insert(suspect.mCause).second) {
      suspicion.mFirst =
        suspicion.mCrashes == 0 ? aCrash.mAt : std::min(suspicion.mFirst, aCrash.mAt);
      suspicion.mLast = std::max(suspicion.mLast, aCrash.mAt);
      suspicion.mEngines.insert(aCrash.mEndpointHash);
      ++suspicion.mCrashes;
      suspicion.mUnexplained += explained ? 0 : 1;
    }
  }
}

bool CrashEvidence::Suffices(std::uint64_t aCause, const Suspicion& aSuspicion) const
{
  timing::Duration minSpread = kMinSpread;
  if (LastSound(aCause)) {
    minSpread = kMinSpreadIfSound;
  } else if (aSuspicion.mWholeRequest) {
    minSpread = kMinRequestSpread;
  }
  return aSuspicion.mCrashes >= kMinCrashes &&
         aSuspicion.mEngines.size() >= kMinEngines &&
         aSuspicion.mUnexplained >= kMinUnexplained &&
         (aSuspicion.mWholeRequest || aSuspicion.mRequests.size() >= kMinRequests) &&
         aSuspicion.mLast - aSuspicion.mFirst >= minSpread;
}

CrashEvidence::Causes CrashEvidence::MostSuspect(const Known& aKnown,
                                                 timing::Instant aNow) const
{
  Suspicions suspicions;
  for (const Crash& crash : mCrashes) {
    AddCrash(crash, aKnown, aNow, suspicions);
  }
  Causes most;
  // Crashes, never sound, whole request: of causes that explain as much, those that no
  // request was answered with come first, and then those that shut out least.
  std::tuple<std::size_t, bool, bool> rank{ 0, false, false };
  for (const auto& [cause, suspicion] : suspicions) {
    if (!Suffices(cause, suspicion)) {
      continue;
    }
    const std::tuple own(suspicion.mCrashes, !LastSound(cause), suspicion.mWholeRequest);
    if (own > rank) {
      most.clear();
      rank = own;
    }
    if (own == rank) {
      most.push_back(cause);
    }
  }
  const auto [crashes, neverSound, wholeRequest] = rank;
  if (most.size() > 1 &&
      crashes < (wholeRequest ? kMaxTiedRequestCrashes : kMaxTiedCrashes)) {
    most.clear();
  }
  std::ranges::sort(most);
  most.resize(std::min(most.size(), kMaxCausesOfVerdict));
  return most;
}

std::vector<CrashEvidence::Causes> CrashEvidence::Blame(Known aKnown,
                                                        timing::Instant aNow) const
{
  std::vector<Causes> blamed;
  for (;;) {
    Causes most = MostSuspect(aKnown, aNow);
    if (most.empty()) {
      return blamed;
    }
    aKnown.Add(most);
    blamed.push_back(std::move(most));
  }
}

bool CrashEvidence::IsIsolated(const Crash& aCrash, const Causes& aCauses) const
{
  std::set<std::uint64_t> requests;
  for (const Suspect& suspect : aCrash.mSuspects) {
    if (std::ranges::binary_search(aCauses, suspect.mCause)) {
      requests.insert(suspect.mRequest);
    }
  }
  return std::ranges::all_of(aCrash.mSuspects, [&](const Suspect& aSuspect) {
    return requests.contains(aSuspect.mRequest) || !Counts(aSuspect.mCause, aCrash);
  });
}

CrashEvidence::Causes CrashEvidence::Narrow(const Causes& aCauses,
                                            timing::Instant aSince,
                                            const std::vector<Causes>& aOthers,
                                            timing::Instant aNow) const
{
  Causes left = aCauses;
  // Ends that another request may have caused as well.
  std::vector<const Crash*> ambiguous;
  for (const Crash& crash : mCrashes) {
    const bool explained = std::ranges::any_of(
      aOthers, [&](const Causes& aVerdict) { return HasAll(crash, aVerdict); });
    if (crash.mAt <= aSince || aNow < crash.mKnownAt + kSettleTime || explained) {
      continue;
    }
    Causes common = CountedIn(crash, left);
    if (common.empty() || common == left) {
      continue;
    }
    if (IsIsolated(crash, aCauses)) {
      left = std::move(common);
      continue;
    }
    for (const Crash* earlier : ambiguous) {
      Causes both = CountedIn(*earlier, common);
      if (earlier->mEndpointHash != crash.mEndpointHash && !both.empty()) {
        left = std::move(both);
        break;
      }
    }
    ambiguous.push_back(&crash);
  }
  return left;
}

CrashEvidence::Causes CrashEvidence::CountedIn(const Crash& aCrash,
                                               const Causes& aCauses) const
{
  Causes counted;
  std::ranges::copy_if(aCauses, std::back_inserter(counted), [&](std::uint64_t aCause) {
    return Has(aCrash, aCause) && Counts(aCause, aCrash);
  });
  return counted;
}

void CrashEvidence::Tick(timing::Instant aNow)
{
  std::erase_if(mCrashes,
                [aNow](const Crash& aCrash) { return aCrash.mAt + kMemory < aNow; });
  if (mSound.size() <= kMaxSoundCauses) {
    return;
  }
  std::vector<timing::Instant> times;
  std::ranges::transform(
    mSound, std::back_inserter(times), [](const auto& aRow) { return aRow.second; });
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, middle);
  std::erase_if(mSound, [&](const auto& aRow) { return aRow.second < *middle; });
}

}
