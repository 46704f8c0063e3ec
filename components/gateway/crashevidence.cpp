#include "components/gateway/crashevidence.hpp"

#include <algorithm>
#include <iterator>

namespace samphiresail::gateway {

std::vector<SuspectPart> SuspectsOf(const std::vector<PromptPart>& aParts)
{
  std::vector<SuspectPart> suspects;
  for (std::size_t i = 0; i + 1 < aParts.size(); ++i) {
    suspects.push_back({ aParts[i].mId, aParts.back().mId });
  }
  return suspects;
}

void CrashEvidence::RecordSound(std::uint64_t aPart, timing::Instant aAt)
{
  const auto [it, added] = mSound.try_emplace(aPart, aAt);
  it->second = std::max(it->second, aAt);
}

std::optional<timing::Instant> CrashEvidence::LastSound(std::uint64_t aPart) const
{
  const auto it = mSound.find(aPart);
  return it == mSound.end() ? std::nullopt : std::optional(it->second);
}

bool CrashEvidence::RecordCrash(std::uint64_t aEndpointHash,
                                const std::vector<SuspectPart>& aSuspects,
                                timing::Instant aAt)
{
  auto crash = std::ranges::find_if(mCrashes, [&](const Crash& aCrash) {
    return aCrash.mEndpointHash == aEndpointHash &&
           std::max(aCrash.mAt, aAt) - std::min(aCrash.mAt, aAt) < kSameCrash;
  });
  if (crash == mCrashes.end()) {
    if (mCrashes.size() >= kMaxCrashes) {
      mCrashes.pop_front();
    }
    mCrashes.push_back({ aEndpointHash, aAt, {} });
    crash = std::prev(mCrashes.end());
  }
  const std::size_t before = crash->mSuspects.size();
  for (const SuspectPart& suspect : aSuspects) {
    if (crash->mSuspects.size() < kMaxSuspectsPerCrash &&
        std::ranges::count(crash->mSuspects, suspect) == 0) {
      crash->mSuspects.push_back(suspect);
    }
  }
  return crash->mSuspects.size() > before;
}

bool CrashEvidence::Counts(std::uint64_t aPart, const Crash& aCrash) const
{
  const auto sound = LastSound(aPart);
  return !sound || aCrash.mAt > *sound + kSoundTime;
}

bool CrashEvidence::Has(const Crash& aCrash, std::uint64_t aPart)
{
  return std::ranges::count(aCrash.mSuspects, aPart, &SuspectPart::mPart) > 0;
}

std::size_t CrashEvidence::CrashesOf(std::uint64_t aPart) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mCrashes, [&](const Crash& aCrash) {
      return Has(aCrash, aPart) && Counts(aPart, aCrash);
    }));
}

std::size_t CrashEvidence::CrashesWith(std::uint64_t aPart) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mCrashes, [aPart](const Crash& aCrash) { return Has(aCrash, aPart); }));
}

std::unordered_map<std::uint64_t, CrashEvidence::Suspicion> CrashEvidence::Suspicions(
  const std::set<std::uint64_t>& aKnown) const
{
  std::unordered_map<std::uint64_t, Suspicion> suspicions;
  for (const Crash& crash : mCrashes) {
    const bool explained =
      std::ranges::any_of(crash.mSuspects, [&](const SuspectPart& aSuspect) {
        return aKnown.contains(aSuspect.mPart);
      });
    if (explained) {
      continue;
    }
    std::set<std::uint64_t> counted;
    for (const SuspectPart& suspect : crash.mSuspects) {
      if (!Counts(suspect.mPart, crash)) {
        continue;
      }
      Suspicion& suspicion = suspicions[suspect.mPart];
      suspicion.mRequests.insert(suspect.mRequest);
      if (counted.insert(suspect.mPart).second) {
        suspicion.mFirst =
          suspicion.mCrashes == 0 ? crash.mAt : std::min(suspicion.mFirst, crash.mAt);
        suspicion.mLast = std::max(suspicion.mLast, crash.mAt);
        ++suspicion.mCrashes;
      }
    }
  }
  return suspicions;
}

bool CrashEvidence::Suffices(std::uint64_t aPart, const Suspicion& aSuspicion) const
{
  return aSuspicion.mCrashes >= kMinCrashes &&
         aSuspicion.mRequests.size() >= kMinRequests &&
         aSuspicion.mLast - aSuspicion.mFirst >=
           (LastSound(aPart) ? kMinSpreadIfSound : kMinSpread);
}

std::vector<std::uint64_t> CrashEvidence::MostSuspect(
  const std::set<std::uint64_t>& aKnown) const
{
  std::vector<std::uint64_t> most;
  std::size_t crashes = 0;
  bool neverSound = false;
  for (const auto& [part, suspicion] : Suspicions(aKnown)) {
    if (!Suffices(part, suspicion)) {
      continue;
    }
    // Of parts that explain as much, those that no request was answered with come first.
    const bool never = !LastSound(part);
    const bool more =
      std::pair(suspicion.mCrashes, never) > std::pair(crashes, neverSound);
    if (more) {
      most.clear();
      crashes = suspicion.mCrashes;
      neverSound = never;
    }
    if (suspicion.mCrashes == crashes && never == neverSound) {
      most.push_back(part);
    }
  }
  if (most.size() > 1 && crashes < kMaxTiedCrashes) {
    most.clear();
  }
  return most;
}

std::vector<std::uint64_t> CrashEvidence::Blame(std::set<std::uint64_t> aKnown) const
{
  std::vector<std::uint64_t> blamed;
  for (;;) {
    const std::vector<std::uint64_t> most = MostSuspect(aKnown);
    if (most.empty()) {
      return blamed;
    }
    aKnown.insert(most.begin(), most.end());
    blamed.insert(blamed.end(), most.begin(), most.end());
  }
}

void CrashEvidence::Tick(timing::Instant aNow)
{
  std::erase_if(mCrashes,
                [aNow](const Crash& aCrash) { return aCrash.mAt + kMemory < aNow; });
  if (mSound.size() <= kMaxSoundParts) {
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
