#include "components/gateway/requestquarantine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphiresail::gateway {

namespace {

using std::chrono::milliseconds;

CrashEvidence::Causes CausesOf(const RequestMetadata& aRequest)
{
  CrashEvidence::Causes causes;
  std::ranges::transform(
    SuspectsOf(aRequest), std::back_inserter(causes), &Suspect::mCause);
  return SortedCauses(std::move(causes));
}

}

void RequestQuarantine::OnSound(const RequestMetadata& aRequest, timing::Instant aNow)
{
  for (const Suspect& cause : SuspectsOf(aRequest)) {
    if (RecordSoundCause(cause.mCause, aNow, aNow)) {
      AddOutgoing(ReportedSound{ cause.mCause, {} }, aNow, aNow);
    }
  }
}

bool RequestQuarantine::IsSound(std::uint64_t aCause, timing::Instant aNow) const
{
  const auto sound = mEvidence.LastSound(aCause);
  return sound && *sound + CrashEvidence::kSoundTime > aNow;
}

bool RequestQuarantine::RecordSoundCause(std::uint64_t aCause,
                                         timing::Instant aAt,
                                         timing::Instant aNow)
{
  mEvidence.RecordSound(aCause, aAt);
  const auto watched = mWatched.find(aCause);
  const bool acquitted =
    watched != mWatched.end() && aAt + CrashEvidence::kSoundTime > watched->second;
  if (acquitted) {
    mWatched.erase(watched);
    mTests.Reset({ aCause });
  }
  const auto it = mVerdictOf.find(aCause);
  if (it == mVerdictOf.end()) {
    return acquitted;
  }
  const std::uint64_t id = it->second;
  const QuarantineVerdict& verdict = mVerdicts.at(id);
  if (aAt + CrashEvidence::kSoundTime <= verdict.mSince) {
    return ReconsiderSound(id, aCause, aNow);
  }
  CrashEvidence::Causes left = verdict.mCauses;
  std::erase(left, aCause);
  mTests.Reset(verdict.mCauses);
  Narrow(id, left, false, "a request with it was answered", aNow);
  return true;
}

bool RequestQuarantine::ReconsiderSound(std::uint64_t aVerdict,
                                        std::uint64_t aCause,
                                        timing::Instant aNow)
{
  if (mEvidence.CrashesWith(aCause) == 0) {
    return false;
  }
  const std::vector<CrashEvidence::Causes> blamed =
    mEvidence.Blame(KnownWithout(aVerdict), aNow);
  const bool still = std::ranges::any_of(blamed, [&](const auto& aCauses) {
    return std::ranges::binary_search(aCauses, aCause);
  });
  if (!still) {
    CrashEvidence::Causes left = mVerdicts.at(aVerdict).mCauses;
    std::erase(left, aCause);
    Narrow(aVerdict, left, true, "another cause explains the crashes", aNow);
  }
  return !still;
}

void RequestQuarantine::OnBroken(std::uint64_t aEndpointHash,
                                 const RequestMetadata& aRequest,
                                 timing::Instant aNow)
{
  const std::vector<Suspect> suspects = SuspectsOf(aRequest);
  if (suspects.empty()) {
    return;
  }
  Broken& broken = mBroken[aEndpointHash];
  broken.mLastAt = aNow;
  CrashEvidence::AddSuspects(broken.mSuspects, suspects);
  if (broken.mRefusedAt && *broken.mRefusedAt + kProofTime > aNow) {
    RecordOwnCrash(aEndpointHash, broken, aNow);
  }
}

bool RequestQuarantine::TryProbe(std::uint64_t aEndpointHash, timing::Instant aNow)
{
  const auto it = mBroken.find(aEndpointHash);
  if (it == mBroken.end() || it->second.mSuspects.empty() ||
      (it->second.mProbedAt && aNow - *it->second.mProbedAt < kProbeInterval)) {
    return false;
  }
  it->second.mProbedAt = aNow;
  return true;
}

void RequestQuarantine::OnConnectionRefused(std::uint64_t aEndpointHash,
                                            timing::Instant aNow)
{
  const auto it = mBroken.find(aEndpointHash);
  if (it != mBroken.end()) {
    it->second.mRefusedAt = aNow;
    RecordOwnCrash(aEndpointHash, it->second, aNow);
  }
}

void RequestQuarantine::RecordOwnCrash(std::uint64_t aEndpointHash,
                                       Broken& aBroken,
                                       timing::Instant aNow)
{
  std::vector<Suspect> suspects = std::exchange(aBroken.mSuspects, {});
  // Causes that are known as sound would only take room.
  std::erase_if(suspects,
                [&](const Suspect& aSuspect) { return IsSound(aSuspect.mCause, aNow); });
  if (suspects.empty() || !mEvidence.RecordCrash(aEndpointHash, suspects, aNow, aNow)) {
    return;
  }
  mEvidenceChanged = true;
  std::ranges::stable_sort(suspects, std::ranges::greater{}, [&](const Suspect& aItem) {
    return std::pair(mEvidence.CrashesOf(aItem.mCause), aItem.IsWholeRequest());
  });
  suspects.resize(std::min(suspects.size(), kMaxReportedSuspects));
  AddOutgoing(ReportedCrash{ aEndpointHash, {}, std::move(suspects) }, aNow, aNow);
  Evaluate(aNow);
}

std::size_t RequestQuarantine::EndsUnder(std::uint64_t aIdentity,
                                         timing::Instant aNow) const
{
  if (aIdentity == 0 || (mBroken.empty() && !mEvidence.HasCrashes()) ||
      IsSound(aIdentity, aNow)) {
    return 0;
  }
  const auto unproven = std::ranges::count_if(mBroken, [aIdentity](const auto& aRow) {
    return std::ranges::count(aRow.second.mSuspects, aIdentity, &Suspect::mCause) > 0;
  });
  const std::vector<std::uint64_t> engines = mEvidence.EnginesOf({ aIdentity });
  if (engines.empty()) {
    return static_cast<std::size_t>(unproven);
  }
  // Engines that ended under causes in quarantine say nothing against the request.
  std::set<std::uint64_t> explained;
  for (const auto& [id, verdict] : mVerdicts) {
    std::ranges::copy(mEvidence.EnginesOf(verdict.mCauses),
                      std::inserter(explained, explained.end()));
  }
  const bool sound = std::ranges::all_of(
    engines, [&](std::uint64_t aEngine) { return explained.contains(aEngine); });
  return static_cast<std::size_t>(unproven) +
         (sound ? 0 : mEvidence.CrashesOf(aIdentity));
}

std::optional<RequestQuarantine::Block> RequestQuarantine::BlockOf(
  const RequestMetadata& aRequest,
  timing::Instant aNow) const
{
  std::optional<Block> block;
  if (mVerdicts.empty()) {
    return block;
  }
  const CrashEvidence::Causes causes = CausesOf(aRequest);
  for (const std::uint64_t id : VerdictsWith(causes)) {
    const QuarantineVerdict& verdict = mVerdicts.at(id);
    if (Common(verdict, causes) == verdict.mCauses && aNow < verdict.mUntil &&
        (!block || block->mUntil < verdict.mUntil)) {
      block = Block{ verdict.mCauses, verdict.mUntil };
    }
  }
  return block;
}

std::vector<std::uint64_t> RequestQuarantine::BlockingVerdicts(
  const RequestMetadata& aRequest) const
{
  const CrashEvidence::Causes causes = CausesOf(aRequest);
  std::vector<std::uint64_t> blocking;
  std::ranges::copy_if(
    VerdictsWith(causes), std::back_inserter(blocking), [&](std::uint64_t aId) {
      const QuarantineVerdict& verdict = mVerdicts.at(aId);
      return Common(verdict, causes) == verdict.mCauses;
    });
  return blocking;
}

CrashEvidence::Causes RequestQuarantine::BlockingCauses(
  const RequestMetadata& aRequest) const
{
  CrashEvidence::Causes causes;
  for (const std::uint64_t id : BlockingVerdicts(aRequest)) {
    std::ranges::copy(mVerdicts.at(id).mCauses, std::back_inserter(causes));
  }
  return SortedCauses(std::move(causes));
}

bool RequestQuarantine::IsTestDue(const RequestMetadata& aRequest,
                                  timing::Instant aNow) const
{
  // A request that carries a suspect besides says little when it ends an engine.
  return CausesTested(aRequest).empty() &&
         std::ranges::all_of(BlockingVerdicts(aRequest), [&](std::uint64_t aId) {
           const QuarantineVerdict& verdict = mVerdicts.at(aId);
           return aNow >= verdict.mNextTest +
                            (verdict.mOwnRecord ? timing::Duration(0) : kOtherTestDelay);
         });
}

bool RequestQuarantine::TryTest(const RequestMetadata& aRequest, timing::Instant aNow)
{
  if (!IsTestDue(aRequest, aNow)) {
    return false;
  }
  for (const std::uint64_t id : BlockingVerdicts(aRequest)) {
    QuarantineVerdict& verdict = mVerdicts.at(id);
    verdict.RecordTest(aNow);
    AddOutgoing(ReportedTest{ verdict.mCauses, true, false, {} }, aNow, aNow);
  }
  return true;
}

CrashEvidence::Causes RequestQuarantine::CausesTested(
  const RequestMetadata& aRequest) const
{
  CrashEvidence::Causes tested;
  if (mVerdicts.empty() && mWatched.empty()) {
    return tested;
  }
  const CrashEvidence::Causes causes = CausesOf(aRequest);
  for (const std::uint64_t id : VerdictsWith(causes)) {
    const QuarantineVerdict& verdict = mVerdicts.at(id);
    if (Common(verdict, causes) != verdict.mCauses) {
      tested.insert(tested.end(), verdict.mCauses.begin(), verdict.mCauses.end());
    }
  }
  std::ranges::copy_if(causes, std::back_inserter(tested), [this](std::uint64_t aCause) {
    return mWatched.contains(aCause) && !mVerdictOf.contains(aCause);
  });
  return SortedCauses(std::move(tested));
}

bool RequestQuarantine::TryTestCauses(const CrashEvidence::Causes& aCauses,
                                      timing::Instant aNow)
{
  if (!mTests.MayTest(aCauses, aNow)) {
    return false;
  }
  mTests.Begin(aCauses, aNow);
  CrashEvidence::Causes said = aCauses;
  said.resize(std::min(said.size(), CrashEvidence::kMaxCausesOfVerdict));
  AddOutgoing(ReportedTest{ std::move(said), false, false, {} }, aNow, aNow);
  return true;
}

CrashEvidence::Known RequestQuarantine::KnownWithout(
  std::optional<std::uint64_t> aVerdict) const
{
  CrashEvidence::Known known;
  for (const auto& [id, verdict] : mVerdicts) {
    if (id != aVerdict) {
      known.Add(verdict.mCauses);
    }
  }
  std::ranges::transform(mWatched,
                         std::inserter(known.mWatched, known.mWatched.end()),
                         [](const auto& aRow) { return aRow.first; });
  return known;
}

void RequestQuarantine::Evaluate(timing::Instant aNow)
{
  mEvidenceChanged = !mEvidence.IsSettled(aNow);
  std::vector<std::uint64_t> undecided;
  for (const auto& [id, verdict] : mVerdicts) {
    if (verdict.mCauses.size() > 1) {
      undecided.push_back(id);
    }
  }
  for (const std::uint64_t id : undecided) {
    const QuarantineVerdict& verdict = mVerdicts.at(id);
    const CrashEvidence::Causes left =
      mEvidence.Narrow(verdict.mCauses, verdict.mSince, KnownWithout(id).mVerdicts, aNow);
    if (left != verdict.mCauses) {
      Narrow(id, left, true, "an engine ended under it without the others", aNow);
    }
  }
  for (const CrashEvidence::Causes& causes :
       mEvidence.Blame(KnownWithout(std::nullopt), aNow)) {
    if (Adopt(causes, "engines ended under it", aNow)) {
      AddOutgoing(
        ReportedVerdict{ causes }, aNow, aNow + RandomDelay(kMaxQuarantineReportDelay));
    }
  }
}

std::set<std::uint64_t> RequestQuarantine::VerdictsWith(
  const CrashEvidence::Causes& aCauses) const
{
  std::set<std::uint64_t> verdicts;
  for (const std::uint64_t cause : aCauses) {
    if (const auto it = mVerdictOf.find(cause); it != mVerdictOf.end()) {
      verdicts.insert(it->second);
    }
  }
  return verdicts;
}

CrashEvidence::Causes RequestQuarantine::Common(const QuarantineVerdict& aVerdict,
                                                const CrashEvidence::Causes& aCauses)
{
  CrashEvidence::Causes common;
  std::ranges::set_intersection(aVerdict.mCauses, aCauses, std::back_inserter(common));
  return common;
}

bool RequestQuarantine::Adopt(const CrashEvidence::Causes& aCauses,
                              const char* aReason,
                              timing::Instant aNow)
{
  const std::set<std::uint64_t> known = VerdictsWith(aCauses);
  if (known.empty()) {
    Quarantine(aCauses, aReason, aNow);
    return true;
  }
  bool changed = false;
  for (const std::uint64_t id : known) {
    const QuarantineVerdict& verdict = mVerdicts.at(id);
    const CrashEvidence::Causes common = Common(verdict, aCauses);
    if (common != verdict.mCauses) {
      Narrow(id, common, true, aReason, aNow);
      changed = true;
    }
  }
  return changed;
}

void RequestQuarantine::Quarantine(const CrashEvidence::Causes& aCauses,
                                   const char* aReason,
                                   timing::Instant aNow)
{
  const std::uint64_t id = VerdictId(aCauses);
  QuarantineVerdict& verdict = mVerdicts[id];
  verdict.mCauses = aCauses;
  verdict.mSince = aNow;
  verdict.mUntil = aNow + kTerm;
  verdict.mNextTest = aNow + kFirstTest;
  verdict.mTestInterval = kFirstTest;
  for (const std::uint64_t cause : aCauses) {
    mVerdictOf.insert_or_assign(cause, id);
    mWatched.erase(cause);
  }
  if (aCauses.size() > 1) {
    mTests.Delay(aCauses, aNow + RandomDelay(kMaxFirstTestDelay));
  }
  mChanges.push_back({ aCauses, true, {}, aReason, mEvidence.EnginesOf(aCauses) });
  if (mVerdicts.size() > kMaxCauses) {
    const auto oldest = std::ranges::min_element(
      mVerdicts, {}, [](const auto& aRow) { return aRow.second.mSince; });
    Lift(oldest->first, "too many causes are in quarantine", aNow);
  }
}

QuarantineVerdict RequestQuarantine::Remove(std::uint64_t aVerdict,
                                            std::uint64_t aSuccessor,
                                            timing::Instant aNow)
{
  QuarantineVerdict verdict = std::move(mVerdicts.extract(aVerdict).mapped());
  for (const std::uint64_t cause : verdict.mCauses) {
    mVerdictOf.erase(cause);
  }
  mRemoved[aVerdict] = aNow;
  if (mRecords.contains(aVerdict)) {
    mObsolete.insert_or_assign(aVerdict, ObsoleteRecord{ aNow, aSuccessor });
  } else {
    mRecordTriedAt.erase(aVerdict);
  }
  DropOutgoing<ReportedVerdict>(
    [&](const ReportedVerdict& aSaid) { return aSaid.mCauses == verdict.mCauses; });
  return verdict;
}

void RequestQuarantine::Narrow(std::uint64_t aVerdict,
                               const CrashEvidence::Causes& aLeft,
                               bool aWatchDropped,
                               const char* aReason,
                               timing::Instant aNow)
{
  if (aLeft.empty()) {
    Lift(aVerdict, aReason, aNow);
    return;
  }
  const std::uint64_t id = VerdictId(aLeft);
  QuarantineVerdict verdict = Remove(aVerdict, id, aNow);
  const CrashEvidence::Causes before = std::exchange(verdict.mCauses, aLeft);
  verdict.mOwnRecord = false;
  for (auto& [obsoleteId, obsolete] : mObsolete) {
    obsolete.mSuccessor = obsolete.mSuccessor == aVerdict ? id : obsolete.mSuccessor;
  }
  if (aWatchDropped) {
    verdict.mNextTest = std::min(verdict.mNextTest, aNow + kFirstTestOfNarrowed);
    const timing::Instant firstTest = aNow + RandomDelay(kMaxFirstTestDelay);
    for (const std::uint64_t cause : before) {
      if (mWatched.size() < kMaxCauses && !std::ranges::binary_search(aLeft, cause)) {
        mWatched.insert_or_assign(cause, aNow);
        mTests.Delay({ cause }, firstTest);
      }
    }
  }
  for (const std::uint64_t cause : aLeft) {
    mVerdictOf.insert_or_assign(cause, id);
  }
  mObsolete.erase(id);
  mVerdicts.insert_or_assign(id, std::move(verdict));
  mChanges.push_back({ aLeft, true, before, aReason, mEvidence.EnginesOf(aLeft) });
  AddOutgoing(
    ReportedVerdict{ aLeft }, aNow, aNow + RandomDelay(kMaxQuarantineReportDelay));
}

void RequestQuarantine::Lift(std::uint64_t aVerdict,
                             const char* aReason,
                             timing::Instant aNow)
{
  const QuarantineVerdict verdict = Remove(aVerdict, 0, aNow);
  mChanges.push_back(
    { verdict.mCauses, false, {}, aReason, mEvidence.EnginesOf(verdict.mCauses) });
}

CrashEvidence::Causes RequestQuarantine::CausesOfVerdict(std::uint64_t aVerdict) const
{
  const auto it = mVerdicts.find(aVerdict);
  return it == mVerdicts.end() ? CrashEvidence::Causes() : it->second.mCauses;
}

std::vector<RequestQuarantine::Change> RequestQuarantine::TakeChanges()
{
  return std::exchange(mChanges, {});
}

RequestQuarantine::CauseDescription RequestQuarantine::Describe(
  std::uint64_t aCause,
  timing::Instant aNow) const
{
  CauseDescription description;
  description.mEnds = mEvidence.CrashesOf(aCause);
  description.mExcusedEnds = mEvidence.CrashesWith(aCause) - description.mEnds;
  if (const auto sound = mEvidence.LastSound(aCause)) {
    description.mSinceAnswer = std::max(aNow - *sound, timing::Duration(0));
  }
  return description;
}

std::optional<timing::Duration> RequestQuarantine::UntilTest(std::uint64_t aVerdict,
                                                             timing::Instant aNow) const
{
  const auto it = mVerdicts.find(aVerdict);
  if (it == mVerdicts.end() || !it->second.mOwnRecord) {
    return std::nullopt;
  }
  return std::max(it->second.mNextTest - aNow, timing::Duration(0));
}

void RequestQuarantine::Tick(timing::Instant aNow)
{
  mEvidence.Tick(aNow);
  mTests.Tick(aNow);
  std::erase_if(mBroken, [aNow](const auto& aRow) {
    return aRow.second.mLastAt + kProofTime <= aNow;
  });
  std::erase_if(mWatched, [aNow](const auto& aRow) {
    return aRow.second + CrashEvidence::kMemory <= aNow;
  });
  std::erase_if(mRemoved,
                [aNow](const auto& aRow) { return aRow.second + kLiftedMemory <= aNow; });
  std::vector<std::uint64_t> over;
  for (const auto& [id, verdict] : mVerdicts) {
    if (verdict.mUntil <= aNow) {
      over.push_back(id);
    }
  }
  for (const std::uint64_t verdict : over) {
    Lift(verdict, "its term is over", aNow);
  }
  if (mEvidenceChanged) {
    Evaluate(aNow);
  }
}

}
