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

std::vector<std::uint64_t> CrashEvidence::EnginesOf(std::uint64_t aCause) const
{
  std::vector<std::uint64_t> engines;
  for (const Crash& crash : mCrashes) {
    if (Has(crash, aCause) && Counts(aCause, crash) &&
        std::ranges::count(engines, crash.mEndpointHash) == 0) {
      engines.push_back(crash.mEndpointHash);
    }
  }
  return engines;
}

void CrashEvidence::AddCrash(const Crash& aCrash,
                             const std::set<std::uint64_t>& aKnown,
                             Suspicions& aSuspicions) const
{
  bool explainedByRequest = false;
  for (const Suspect& suspect : aCrash.mSuspects) {
    const bool known = aKnown.contains(suspect.mCause);
    if (known && !suspect.IsWholeRequest()) {
      return;
    }
    explainedByRequest = explainedByRequest || known;
  }
  std::set<std::uint64_t> counted;
  for (const Suspect& suspect : aCrash.mSuspects) {
    const bool ofOther = suspect.IsWholeRequest() || !aKnown.contains(suspect.mRequest);
    if ((explainedByRequest && ofOther) || !Counts(suspect.mCause, aCrash)) {
      continue;
    }
    Suspicion& suspicion = aSuspicions[suspect.mCause];
    suspicion.mWholeRequest = suspicion.mWholeRequest || suspect.IsWholeRequest();
    if (!explainedByRequest && suspicion.mRequests.size() < kMinRequests) {
      suspicion.mRequests.insert(suspect.mRequest);
    }
    if (counted.insert(suspect.mCause).second) {
      suspicion.mFirst =
        suspicion.mCrashes == 0 ? aCrash.mAt : std::min(suspicion.mFirst, aCrash.mAt);
      suspicion.mLast = std::max(suspicion.mLast, aCrash.mAt);
      suspicion.mEngines.insert(aCrash.mEndpointHash);
      ++suspicion.mCrashes;
      suspicion.mUnexplained += explainedByRequest ? 0 : 1;
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
         (aSuspicion.mWholeRequest || (aSuspicion.mRequests.size() >= kMinRequests &&
                                       aSuspicion.mUnexplained >= kMinUnexplained)) &&
         aSuspicion.mLast - aSuspicion.mFirst >= minSpread;
}

std::vector<std::uint64_t> CrashEvidence::MostSuspect(
  const std::set<std::uint64_t>& aKnown) const
{
  Suspicions suspicions;
  for (const Crash& crash : mCrashes) {
    AddCrash(crash, aKnown, suspicions);
  }
  std::vector<std::uint64_t> most;
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
