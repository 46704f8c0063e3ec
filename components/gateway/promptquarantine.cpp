#include "components/gateway/promptquarantine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "components/functional/overloaded.hpp"

namespace samphiresail::gateway {

namespace {

using std::chrono::milliseconds;

milliseconds AgeOf(timing::Instant aAt, timing::Instant aNow)
{
  return std::chrono::duration_cast<milliseconds>(
    std::max(aNow - aAt, timing::Duration(0)));
}

}

void PromptQuarantine::OnSound(const std::vector<PromptPart>& aParts,
                               timing::Instant aNow)
{
  for (const SuspectPart& part : SuspectsOf(aParts)) {
    if (RecordSoundPart(part.mPart, aNow, aNow)) {
      AddOutgoing(ReportedSoundPart{ part.mPart, {} }, aNow, aNow);
    }
  }
}

bool PromptQuarantine::IsSound(std::uint64_t aPart, timing::Instant aNow) const
{
  const auto sound = mEvidence.LastSound(aPart);
  return sound && *sound + CrashEvidence::kSoundTime > aNow;
}

bool PromptQuarantine::RecordSoundPart(std::uint64_t aPart,
                                       timing::Instant aAt,
                                       timing::Instant aNow)
{
  mEvidence.RecordSound(aPart, aAt);
  const auto it = mParts.find(aPart);
  if (it == mParts.end()) {
    return false;
  }
  if (aAt + CrashEvidence::kSoundTime > it->second.mSince) {
    Lift(aPart, "a request with it was answered", aNow);
    return true;
  }
  // With the older answer another part may be the better explanation.
  std::set<std::uint64_t> others = Known();
  others.erase(aPart);
  if (mEvidence.CrashesWith(aPart) > 0 &&
      std::ranges::count(mEvidence.Blame(others), aPart) == 0) {
    Lift(aPart, "another part explains the crashes", aNow);
    return true;
  }
  return false;
}

void PromptQuarantine::OnBroken(std::uint64_t aEndpointHash,
                                const std::vector<PromptPart>& aParts,
                                timing::Instant aNow)
{
  const std::vector<SuspectPart> suspects = SuspectsOf(aParts);
  if (suspects.empty()) {
    return;
  }
  Broken& broken = mBroken[aEndpointHash];
  broken.mLastAt = aNow;
  if (broken.mSuspects.size() < CrashEvidence::kMaxSuspectsPerCrash) {
    broken.mSuspects.insert(broken.mSuspects.end(), suspects.begin(), suspects.end());
  }
  if (broken.mRefusedAt && *broken.mRefusedAt + kProofTime > aNow) {
    RecordOwnCrash(aEndpointHash, broken, aNow);
  }
}

bool PromptQuarantine::TryProbe(std::uint64_t aEndpointHash, timing::Instant aNow)
{
  const auto it = mBroken.find(aEndpointHash);
  if (it == mBroken.end() || it->second.mSuspects.empty() ||
      (it->second.mProbedAt && aNow - *it->second.mProbedAt < kProbeInterval)) {
    return false;
  }
  it->second.mProbedAt = aNow;
  return true;
}

void PromptQuarantine::OnConnectionRefused(std::uint64_t aEndpointHash,
                                           timing::Instant aNow)
{
  const auto it = mBroken.find(aEndpointHash);
  if (it != mBroken.end()) {
    it->second.mRefusedAt = aNow;
    RecordOwnCrash(aEndpointHash, it->second, aNow);
  }
}

void PromptQuarantine::RecordOwnCrash(std::uint64_t aEndpointHash,
                                      Broken& aBroken,
                                      timing::Instant aNow)
{
  std::vector<SuspectPart> suspects = std::exchange(aBroken.mSuspects, {});
  // Parts that are known as sound would only take room.
  std::erase_if(
    suspects, [&](const SuspectPart& aSuspect) { return IsSound(aSuspect.mPart, aNow); });
  if (suspects.empty() || !mEvidence.RecordCrash(aEndpointHash, suspects, aNow)) {
    return;
  }
  mEvidenceChanged = true;
  std::ranges::stable_sort(
    suspects, std::ranges::greater{}, [&](const SuspectPart& aItem) {
      return mEvidence.CrashesOf(aItem.mPart);
    });
  suspects.resize(std::min(suspects.size(), kMaxReportedSuspects));
  AddOutgoing(ReportedCrash{ aEndpointHash, {}, std::move(suspects) }, aNow, aNow);
  Evaluate(aNow);
}

std::optional<timing::Instant> PromptQuarantine::BlockedUntil(
  const std::vector<PromptPart>& aParts,
  timing::Instant aNow) const
{
  std::optional<timing::Instant> until;
  if (mParts.empty()) {
    return until;
  }
  for (const SuspectPart& part : SuspectsOf(aParts)) {
    const auto it = mParts.find(part.mPart);
    if (it != mParts.end() && aNow < it->second.mUntil) {
      until = std::max(until.value_or(it->second.mUntil), it->second.mUntil);
    }
  }
  return until;
}

bool PromptQuarantine::TryTest(const std::vector<PromptPart>& aParts,
                               timing::Instant aNow)
{
  std::vector<Part*> blocking;
  for (const SuspectPart& part : SuspectsOf(aParts)) {
    const auto it = mParts.find(part.mPart);
    if (it != mParts.end()) {
      blocking.push_back(&it->second);
    }
  }
  const bool due = std::ranges::all_of(blocking, [aNow](const Part* aPart) {
    return aPart->mOwnRecord && aNow >= aPart->mNextTest;
  });
  if (!due) {
    return false;
  }
  for (Part* part : blocking) {
    part->mTestInterval *= kTestBackoff;
    part->mNextTest = aNow + part->mTestInterval;
  }
  return true;
}

std::set<std::uint64_t> PromptQuarantine::Known() const
{
  std::set<std::uint64_t> known;
  std::ranges::transform(mParts, std::inserter(known, known.end()), [](const auto& aRow) {
    return aRow.first;
  });
  return known;
}

void PromptQuarantine::Evaluate(timing::Instant aNow)
{
  mEvidenceChanged = false;
  for (const std::uint64_t part : mEvidence.Blame(Known())) {
    if (Quarantine(part, "engines ended under it", aNow)) {
      AddOutgoing(part, aNow, aNow + RandomDelay(kMaxQuarantineReportDelay));
    }
  }
}

bool PromptQuarantine::Quarantine(std::uint64_t aPart,
                                  const char* aReason,
                                  timing::Instant aNow)
{
  const auto [it, added] = mParts.try_emplace(aPart);
  if (!added) {
    return false;
  }
  Part& part = it->second;
  part.mSince = aNow;
  part.mUntil = aNow + kTerm;
  part.mNextTest = aNow + kFirstTest;
  mChanges.push_back({ aPart, true, aReason, mEvidence.CrashesOf(aPart) });
  if (mParts.size() > kMaxParts) {
    const auto oldest = std::ranges::min_element(
      mParts, {}, [](const auto& aRow) { return aRow.second.mSince; });
    Lift(oldest->first, "too many parts are in quarantine", aNow);
  }
  return true;
}

void PromptQuarantine::Lift(std::uint64_t aPart,
                            const char* aReason,
                            timing::Instant aNow)
{
  mParts.erase(aPart);
  if (mRecords.contains(aPart)) {
    mLifted.insert_or_assign(aPart, aNow);
  } else {
    mRecordTriedAt.erase(aPart);
  }
  DropOutgoing<std::uint64_t>([aPart](std::uint64_t aSaid) { return aSaid == aPart; });
  mChanges.push_back({ aPart, false, aReason, mEvidence.CrashesOf(aPart) });
}

milliseconds PromptQuarantine::RandomDelay(milliseconds aMax)
{
  std::uniform_int_distribution<milliseconds::rep> spread(0, aMax.count());
  return milliseconds(spread(mRandom));
}

template<typename Finding, typename Predicate>
void PromptQuarantine::DropOutgoing(Predicate aIsSaid)
{
  std::erase_if(mOutgoing, [&](const Outgoing& aItem) {
    const auto* finding = std::get_if<Finding>(&aItem.mFinding);
    return finding != nullptr && aIsSaid(*finding);
  });
}

template<typename Finding>
void PromptQuarantine::AddOutgoing(Finding aFinding,
                                   timing::Instant aAt,
                                   timing::Instant aFirstReport)
{
  if (mOutgoing.size() >= kMaxReportedFindings) {
    mOutgoing.pop_front();
  }
  mOutgoing.push_back({ std::move(aFinding), aAt, 0, aFirstReport });
}

bool PromptQuarantine::IsReportDue(timing::Instant aNow) const
{
  return std::ranges::any_of(
    mOutgoing, [aNow](const Outgoing& aItem) { return aNow >= aItem.mNextReport; });
}

PromptFindings PromptQuarantine::Report(timing::Instant aNow)
{
  PromptFindings findings;
  for (Outgoing& item : mOutgoing) {
    if (aNow < item.mNextReport) {
      continue;
    }
    std::visit(functional::Overloaded{
                 [&](ReportedCrash& aCrash) {
                   aCrash.mAge = AgeOf(item.mAt, aNow);
                   findings.mCrashes.push_back(aCrash);
                 },
                 [&](ReportedSoundPart& aSound) {
                   aSound.mAge = AgeOf(item.mAt, aNow);
                   findings.mSound.push_back(aSound);
                 },
                 [&](std::uint64_t aPart) { findings.mQuarantined.push_back(aPart); } },
               item.mFinding);
    ++item.mReports;
    item.mNextReport = aNow + kReportInterval;
  }
  std::erase_if(mOutgoing,
                [](const Outgoing& aItem) { return aItem.mReports >= kReportCount; });
  return findings;
}

void PromptQuarantine::ReplySound(std::uint64_t aPart, timing::Instant aNow)
{
  const auto sound = mEvidence.LastSound(aPart);
  const bool queued = std::ranges::any_of(mOutgoing, [aPart](const Outgoing& aItem) {
    const auto* reply = std::get_if<ReportedSoundPart>(&aItem.mFinding);
    return reply != nullptr && reply->mPart == aPart;
  });
  if (sound && !queued) {
    AddOutgoing(
      ReportedSoundPart{ aPart, {} }, *sound, aNow + RandomDelay(kMaxReplyDelay));
  }
}

void PromptQuarantine::Merge(const PromptFindings& aFindings, timing::Instant aNow)
{
  for (const ReportedSoundPart& sound : aFindings.mSound) {
    // This entry need not say what another one has said.
    std::erase_if(mOutgoing, [&](const Outgoing& aItem) {
      const auto* reply = std::get_if<ReportedSoundPart>(&aItem.mFinding);
      return reply != nullptr && reply->mPart == sound.mPart &&
             aItem.mAt <= aNow - sound.mAge + CrashEvidence::kSoundTime;
    });
    RecordSoundPart(sound.mPart, aNow - sound.mAge, aNow);
  }
  for (const ReportedCrash& crash : aFindings.mCrashes) {
    if (!mEvidence.RecordCrash(crash.mEndpointHash, crash.mSuspects, aNow - crash.mAge)) {
      continue;
    }
    mEvidenceChanged = true;
    for (const SuspectPart& suspect : crash.mSuspects) {
      if (mEvidence.CrashesWith(suspect.mPart) >= kMinCrashesForReply) {
        ReplySound(suspect.mPart, aNow);
      }
    }
  }
  for (const std::uint64_t part : aFindings.mQuarantined) {
    ReplySound(part, aNow);
    DropOutgoing<std::uint64_t>([part](std::uint64_t aSaid) { return aSaid == part; });
    if (!IsSound(part, aNow)) {
      Quarantine(part, "another entry blames it", aNow);
    }
  }
}

std::vector<PromptQuarantine::RecordChange> PromptQuarantine::RecordChanges(
  bool aLeads,
  timing::Instant aNow)
{
  std::vector<RecordChange> changes;
  const auto tryChange = [&](std::uint64_t aPart, bool aCreate) {
    const auto [it, first] = mRecordTriedAt.try_emplace(aPart, aNow);
    if (first || it->second + kRecordDelay <= aNow) {
      it->second = aNow;
      changes.push_back({ aPart, aCreate });
    }
  };
  for (const auto& [id, part] : mParts) {
    if (!mRecords.contains(id) && (aLeads || part.mSince + kRecordDelay <= aNow)) {
      tryChange(id, true);
    }
  }
  for (const auto& [id, since] : mLifted) {
    if (aLeads || since + kRecordDelay <= aNow) {
      tryChange(id, false);
    }
  }
  return changes;
}

void PromptQuarantine::OnRecord(std::uint64_t aPart,
                                bool aPresent,
                                bool aOwn,
                                timing::Instant aNow)
{
  mRecordTriedAt.erase(aPart);
  mLifted.erase(aPart);
  if (!aPresent) {
    if (mRecords.erase(aPart) > 0 && mParts.contains(aPart)) {
      Lift(aPart, "its record was deleted", aNow);
    }
    return;
  }
  mRecords.insert(aPart);
  ReplySound(aPart, aNow);
  if (!mParts.contains(aPart) && IsSound(aPart, aNow)) {
    mLifted.insert_or_assign(aPart, aNow);
    return;
  }
  Quarantine(aPart, "the store has a record of it", aNow);
  if (const auto it = mParts.find(aPart); it != mParts.end()) {
    it->second.mOwnRecord = aOwn;
  }
}

void PromptQuarantine::RetainRecords(const std::set<std::uint64_t>& aParts,
                                     timing::Instant aNow)
{
  std::vector<std::uint64_t> gone;
  std::ranges::set_difference(mRecords, aParts, std::back_inserter(gone));
  for (const std::uint64_t part : gone) {
    OnRecord(part, false, false, aNow);
  }
}

std::vector<PromptQuarantine::Change> PromptQuarantine::TakeChanges()
{
  return std::exchange(mChanges, {});
}

void PromptQuarantine::Tick(timing::Instant aNow)
{
  mEvidence.Tick(aNow);
  std::erase_if(mBroken, [aNow](const auto& aRow) {
    return aRow.second.mLastAt + kProofTime <= aNow;
  });
  std::vector<std::uint64_t> over;
  for (const auto& [id, part] : mParts) {
    if (part.mUntil <= aNow) {
      over.push_back(id);
    }
  }
  for (const std::uint64_t part : over) {
    Lift(part, "its term is over", aNow);
  }
  if (mEvidenceChanged) {
    Evaluate(aNow);
  }
}

}
