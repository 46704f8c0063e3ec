#include "components/gateway/requestquarantine.hpp"

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
  const auto it = mCauses.find(aCause);
  if (it == mCauses.end()) {
    return false;
  }
  if (aAt + CrashEvidence::kSoundTime > it->second.mSince) {
    Lift(aCause, "a request with it was answered", aNow);
    return true;
  }
  // With the older answer another cause may be the better explanation.
  std::set<std::uint64_t> others = Known();
  others.erase(aCause);
  if (mEvidence.CrashesWith(aCause) > 0 &&
      std::ranges::count(mEvidence.Blame(others), aCause) == 0) {
    Lift(aCause, "another cause explains the crashes", aNow);
    return true;
  }
  return false;
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
  if (suspects.empty() || !mEvidence.RecordCrash(aEndpointHash, suspects, aNow)) {
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
  const std::vector<std::uint64_t> engines = mEvidence.EnginesOf(aIdentity);
  if (engines.empty()) {
    return static_cast<std::size_t>(unproven);
  }
  // Engines that ended under a cause in quarantine say nothing against the request.
  std::set<std::uint64_t> explained;
  for (const auto& [cause, quarantined] : mCauses) {
    std::ranges::copy(mEvidence.EnginesOf(cause),
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
  if (mCauses.empty()) {
    return block;
  }
  for (const Suspect& suspect : SuspectsOf(aRequest)) {
    const auto it = mCauses.find(suspect.mCause);
    if (it != mCauses.end() && aNow < it->second.mUntil &&
        (!block || block->mUntil < it->second.mUntil)) {
      block = Block{ suspect.mCause, it->second.mUntil };
    }
  }
  return block;
}

bool RequestQuarantine::TryTest(const RequestMetadata& aRequest, timing::Instant aNow)
{
  std::vector<Quarantined*> blocking;
  for (const Suspect& cause : SuspectsOf(aRequest)) {
    const auto it = mCauses.find(cause.mCause);
    if (it != mCauses.end()) {
      blocking.push_back(&it->second);
    }
  }
  const bool due = std::ranges::all_of(blocking, [aNow](const Quarantined* aCause) {
    return aCause->mOwnRecord && aNow >= aCause->mNextTest;
  });
  if (!due) {
    return false;
  }
  for (Quarantined* cause : blocking) {
    cause->mTestInterval *= kTestBackoff;
    cause->mNextTest = aNow + cause->mTestInterval;
  }
  return true;
}

std::set<std::uint64_t> RequestQuarantine::Known() const
{
  std::set<std::uint64_t> known;
  std::ranges::transform(mCauses,
                         std::inserter(known, known.end()),
                         [](const auto& aRow) { return aRow.first; });
  return known;
}

void RequestQuarantine::Evaluate(timing::Instant aNow)
{
  mEvidenceChanged = false;
  for (const std::uint64_t cause : mEvidence.Blame(Known())) {
    if (Quarantine(cause, "engines ended under it", aNow)) {
      AddOutgoing(cause, aNow, aNow + RandomDelay(kMaxQuarantineReportDelay));
    }
  }
}

bool RequestQuarantine::Quarantine(std::uint64_t aCause,
                                   const char* aReason,
                                   timing::Instant aNow)
{
  const auto [it, added] = mCauses.try_emplace(aCause);
  if (!added) {
    return false;
  }
  Quarantined& quarantined = it->second;
  quarantined.mSince = aNow;
  quarantined.mUntil = aNow + kTerm;
  quarantined.mNextTest = aNow + kFirstTest;
  mChanges.push_back({ aCause, true, aReason, mEvidence.EnginesOf(aCause) });
  if (mCauses.size() > kMaxCauses) {
    const auto oldest = std::ranges::min_element(
      mCauses, {}, [](const auto& aRow) { return aRow.second.mSince; });
    Lift(oldest->first, "too many causes are in quarantine", aNow);
  }
  return true;
}

void RequestQuarantine::Lift(std::uint64_t aCause,
                             const char* aReason,
                             timing::Instant aNow)
{
  mCauses.erase(aCause);
  if (mRecords.contains(aCause)) {
    mLifted.insert_or_assign(aCause, aNow);
  } else {
    mRecordTriedAt.erase(aCause);
  }
  DropOutgoing<std::uint64_t>([aCause](std::uint64_t aSaid) { return aSaid == aCause; });
  mChanges.push_back({ aCause, false, aReason, mEvidence.EnginesOf(aCause) });
}

milliseconds RequestQuarantine::RandomDelay(milliseconds aMax)
{
  std::uniform_int_distribution<milliseconds::rep> spread(0, aMax.count());
  return milliseconds(spread(mRandom));
}

template<typename Finding, typename Predicate>
void RequestQuarantine::DropOutgoing(Predicate aIsSaid)
{
  std::erase_if(mOutgoing, [&](const Outgoing& aItem) {
    const auto* finding = std::get_if<Finding>(&aItem.mFinding);
    return finding != nullptr && aIsSaid(*finding);
  });
}

template<typename Finding>
void RequestQuarantine::AddOutgoing(Finding aFinding,
                                    timing::Instant aAt,
                                    timing::Instant aFirstReport)
{
  if (mOutgoing.size() >= kMaxReportedFindings) {
    mOutgoing.pop_front();
  }
  mOutgoing.push_back({ std::move(aFinding), aAt, 0, aFirstReport });
}

bool RequestQuarantine::IsReportDue(timing::Instant aNow) const
{
  return std::ranges::any_of(
    mOutgoing, [aNow](const Outgoing& aItem) { return aNow >= aItem.mNextReport; });
}

CrashFindings RequestQuarantine::Report(timing::Instant aNow)
{
  CrashFindings findings;
  for (Outgoing& item : mOutgoing) {
    if (aNow < item.mNextReport) {
      continue;
    }
    std::visit(functional::Overloaded{
                 [&](ReportedCrash& aCrash) {
                   aCrash.mAge = AgeOf(item.mAt, aNow);
                   findings.mCrashes.push_back(aCrash);
                 },
                 [&](ReportedSound& aSound) {
                   aSound.mAge = AgeOf(item.mAt, aNow);
                   findings.mSound.push_back(aSound);
                 },
                 [&](std::uint64_t aCause) { findings.mQuarantined.push_back(aCause); } },
               item.mFinding);
    ++item.mReports;
    item.mNextReport = aNow + kReportInterval;
  }
  std::erase_if(mOutgoing,
                [](const Outgoing& aItem) { return aItem.mReports >= kReportCount; });
  return findings;
}

void RequestQuarantine::ReplySound(std::uint64_t aCause, timing::Instant aNow)
{
  const auto sound = mEvidence.LastSound(aCause);
  const bool queued = std::ranges::any_of(mOutgoing, [aCause](const Outgoing& aItem) {
    const auto* reply = std::get_if<ReportedSound>(&aItem.mFinding);
    return reply != nullptr && reply->mCause == aCause;
  });
  if (sound && !queued) {
    AddOutgoing(ReportedSound{ aCause, {} }, *sound, aNow + RandomDelay(kMaxReplyDelay));
  }
}

void RequestQuarantine::Merge(const CrashFindings& aFindings, timing::Instant aNow)
{
  for (const ReportedSound& sound : aFindings.mSound) {
    // This entry need not say what another one has said.
    std::erase_if(mOutgoing, [&](const Outgoing& aItem) {
      const auto* reply = std::get_if<ReportedSound>(&aItem.mFinding);
      return reply != nullptr && reply->mCause == sound.mCause &&
             aItem.mAt <= aNow - sound.mAge + CrashEvidence::kSoundTime;
    });
    RecordSoundCause(sound.mCause, aNow - sound.mAge, aNow);
  }
  for (const ReportedCrash& crash : aFindings.mCrashes) {
    if (!mEvidence.RecordCrash(crash.mEndpointHash, crash.mSuspects, aNow - crash.mAge)) {
      continue;
    }
    mEvidenceChanged = true;
    for (const Suspect& suspect : crash.mSuspects) {
      if (mEvidence.CrashesWith(suspect.mCause) >= kMinCrashesForReply) {
        ReplySound(suspect.mCause, aNow);
      }
    }
  }
  for (const std::uint64_t cause : aFindings.mQuarantined) {
    ReplySound(cause, aNow);
    DropOutgoing<std::uint64_t>([cause](std::uint64_t aSaid) { return aSaid == cause; });
    if (!IsSound(cause, aNow)) {
      Quarantine(cause, "another entry blames it", aNow);
    }
  }
}

std::vector<RequestQuarantine::RecordChange> RequestQuarantine::RecordChanges(
  bool aLeads,
  timing::Instant aNow)
{
  std::vector<RecordChange> changes;
  const auto tryChange = [&](std::uint64_t aCause, bool aCreate) {
    const auto [it, first] = mRecordTriedAt.try_emplace(aCause, aNow);
    if (first || it->second + kRecordDelay <= aNow) {
      it->second = aNow;
      changes.push_back({ aCause, aCreate });
    }
  };
  for (const auto& [id, cause] : mCauses) {
    if (!mRecords.contains(id) && (aLeads || cause.mSince + kRecordDelay <= aNow)) {
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

void RequestQuarantine::OnRecord(std::uint64_t aCause,
                                 bool aPresent,
                                 bool aOwn,
                                 timing::Instant aNow)
{
  mRecordTriedAt.erase(aCause);
  mLifted.erase(aCause);
  if (!aPresent) {
    if (mRecords.erase(aCause) > 0 && mCauses.contains(aCause)) {
      // Who lifts it by hand wants what was seen until then to count no more.
      mEvidence.RecordSound(aCause, aNow);
      Lift(aCause, "its record was deleted", aNow);
    }
    return;
  }
  mRecords.insert(aCause);
  ReplySound(aCause, aNow);
  if (!mCauses.contains(aCause) && IsSound(aCause, aNow)) {
    mLifted.insert_or_assign(aCause, aNow);
    return;
  }
  Quarantine(aCause, "the store has a record of it", aNow);
  if (const auto it = mCauses.find(aCause); it != mCauses.end()) {
    it->second.mOwnRecord = aOwn;
  }
}

void RequestQuarantine::RetainRecords(const std::set<std::uint64_t>& aCauses,
                                      timing::Instant aNow)
{
  std::vector<std::uint64_t> gone;
  std::ranges::set_difference(mRecords, aCauses, std::back_inserter(gone));
  for (const std::uint64_t cause : gone) {
    OnRecord(cause, false, false, aNow);
  }
}

std::vector<RequestQuarantine::Change> RequestQuarantine::TakeChanges()
{
  return std::exchange(mChanges, {});
}

void RequestQuarantine::Tick(timing::Instant aNow)
{
  mEvidence.Tick(aNow);
  std::erase_if(mBroken, [aNow](const auto& aRow) {
    return aRow.second.mLastAt + kProofTime <= aNow;
  });
  std::vector<std::uint64_t> over;
  for (const auto& [id, cause] : mCauses) {
    if (cause.mUntil <= aNow) {
      over.push_back(id);
    }
  }
  for (const std::uint64_t cause : over) {
    Lift(cause, "its term is over", aNow);
  }
  if (mEvidenceChanged) {
    Evaluate(aNow);
  }
}

}
