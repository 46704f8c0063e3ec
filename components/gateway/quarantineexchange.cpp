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

milliseconds RequestQuarantine::RandomDelay(milliseconds aMax)
{
  std::uniform_int_distribution<milliseconds::rep> spread(0, aMax.count());
  return milliseconds(spread(mRandom));
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
    std::visit(functional::Overloaded{ [&](ReportedCrash& aCrash) {
                                        aCrash.mAge = AgeOf(item.mAt, aNow);
                                        findings.mCrashes.push_back(aCrash);
                                      },
                                       [&](ReportedSound& aSound) {
                                         aSound.mAge = AgeOf(item.mAt, aNow);
                                         findings.mSound.push_back(aSound);
                                       },
                                       [&](const ReportedVerdict& aVerdict) {
                                         findings.mVerdicts.push_back(aVerdict);
                                       },
                                       [&](ReportedTest& aTest) {
                                         aTest.mAge = AgeOf(item.mAt, aNow);
                                         findings.mTests.push_back(aTest);
                                       } },
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
    if (!mEvidence.RecordCrash(
          crash.mEndpointHash, crash.mSuspects, aNow - crash.mAge, aNow)) {
      continue;
    }
    mEvidenceChanged = true;
    for (const Suspect& suspect : crash.mSuspects) {
      if (mEvidence.CrashesWith(suspect.mCause) >= kMinCrashesForReply) {
        ReplySound(suspect.mCause, aNow);
      }
    }
  }
  for (const ReportedVerdict& verdict : aFindings.mVerdicts) {
    MergeVerdict(verdict.mCauses, aNow);
  }
  for (const ReportedTest& test : aFindings.mTests) {
    MergeTest(test, aNow);
  }
}

void RequestQuarantine::MergeVerdict(CrashEvidence::Causes aCauses, timing::Instant aNow)
{
  for (const std::uint64_t cause : aCauses) {
    ReplySound(cause, aNow);
  }
  const CrashEvidence::Causes said = aCauses;
  std::erase_if(aCauses, [&](std::uint64_t aCause) { return IsSound(aCause, aNow); });
  if (!aCauses.empty()) {
    Adopt(aCauses, "another entry blames it", aNow);
  }
  DropOutgoing<ReportedVerdict>(
    [&](const ReportedVerdict& aSaid) { return aSaid.mCauses == said; });
  for (const std::uint64_t id : VerdictsWith(said)) {
    const CrashEvidence::Causes& known = mVerdicts.at(id).mCauses;
    const bool queued = std::ranges::any_of(mOutgoing, [&](const Outgoing& aItem) {
      const auto* verdict = std::get_if<ReportedVerdict>(&aItem.mFinding);
      return verdict != nullptr && verdict->mCauses == known;
    });
    if (known != said && !queued) {
      AddOutgoing(
        ReportedVerdict{ known }, aNow, aNow + RandomDelay(kMaxQuarantineReportDelay));
    }
  }
}

void RequestQuarantine::OnTestNotRun(const CrashEvidence::Causes& aCauses,
                                     bool aFull,
                                     timing::Instant aBegan,
                                     timing::Instant aNow)
{
  const auto takeBack = [&](CrashEvidence::Causes aTested) {
    aTested.resize(std::min(aTested.size(), CrashEvidence::kMaxCausesOfVerdict));
    DropOutgoing<ReportedTest>(
      [&](const ReportedTest& aSaid) { return aSaid.mCauses == aTested; });
    ReportedTest test{ std::move(aTested), aFull, true, {} };
    TakeBackTest(test, aBegan);
    AddOutgoing(std::move(test), aBegan, aNow);
  };
  if (!aFull) {
    takeBack(aCauses);
    return;
  }
  for (const std::uint64_t id : VerdictsWith(aCauses)) {
    takeBack(mVerdicts.at(id).mCauses);
  }
}

void RequestQuarantine::TakeBackTest(const ReportedTest& aTest, timing::Instant aBegan)
{
  if (!aTest.mFull) {
    mTests.TakeBack(aTest.mCauses, aBegan);
  } else if (const auto it = mVerdicts.find(VerdictId(aTest.mCauses));
             it != mVerdicts.end()) {
    it->second.TakeBackTest(aBegan);
  }
}

void RequestQuarantine::MergeTest(const ReportedTest& aTest, timing::Instant aNow)
{
  const timing::Instant began = aNow - aTest.mAge;
  if (aTest.mNotRun) {
    TakeBackTest(aTest, began);
    return;
  }
  if (!aTest.mFull) {
    mTests.Begin(aTest.mCauses, began);
    return;
  }
  const auto it = mVerdicts.find(VerdictId(aTest.mCauses));
  if (it != mVerdicts.end() && it->second.IsNewTest(began)) {
    it->second.RecordTest(began);
  }
}

std::vector<RequestQuarantine::RecordChange> RequestQuarantine::RecordChanges(
  bool aLeads,
  timing::Instant aNow)
{
  std::vector<RecordChange> changes;
  const auto tryChange =
    [&](std::uint64_t aVerdict, bool aCreate, const CrashEvidence::Causes& aCauses) {
      const auto [it, first] = mRecordTriedAt.try_emplace(aVerdict, aNow);
      if (first || it->second + kRecordDelay <= aNow) {
        it->second = aNow;
        changes.push_back({ aVerdict, aCreate, aCauses });
      }
    };
  for (const auto& [id, verdict] : mVerdicts) {
    const timing::Instant due =
      std::max(verdict.mSince + kRecordDelay, mRecordsLostUntil);
    if (!mRecords.contains(id) && (aLeads || due <= aNow)) {
      tryChange(id, true, verdict.mCauses);
    }
  }
  for (const auto& [id, obsolete] : mObsolete) {
    // Who reads only the deletion would take it for one by hand.
    const bool waits =
      mVerdicts.contains(obsolete.mSuccessor) && !mRecords.contains(obsolete.mSuccessor);
    if (!waits && (aLeads || obsolete.mSince + kRecordDelay <= aNow)) {
      tryChange(id, false, {});
    }
  }
  return changes;
}

void RequestQuarantine::OnRecord(std::uint64_t aVerdict,
                                 bool aPresent,
                                 bool aOwn,
                                 timing::Instant aNow,
                                 const CrashEvidence::Causes& aCauses)
{
  mRecordTriedAt.erase(aVerdict);
  mObsolete.erase(aVerdict);
  if (!aPresent) {
    const auto it = mVerdicts.find(aVerdict);
    if (mRecords.erase(aVerdict) > 0 && it != mVerdicts.end()) {
      // Who lifts it by hand wants what was seen until then to count no more.
      for (const std::uint64_t cause : it->second.mCauses) {
        mEvidence.RecordSound(cause, aNow);
      }
      Lift(aVerdict, "its record was deleted", aNow);
    }
    return;
  }
  mRecords.insert(aVerdict);
  if (mReadsRestored && mRemoved.contains(aVerdict) && !mVerdicts.contains(aVerdict)) {
    mObsolete.insert_or_assign(aVerdict, ObsoleteRecord{ aNow, 0 });
    return;
  }
  CrashEvidence::Causes causes =
    aCauses.empty() ? CrashEvidence::Causes{ aVerdict } : SortedCauses(aCauses);
  for (const std::uint64_t cause : causes) {
    ReplySound(cause, aNow);
  }
  if (!mVerdicts.contains(aVerdict)) {
    std::erase_if(causes, [&](std::uint64_t aCause) { return IsSound(aCause, aNow); });
    if (!causes.empty()) {
      Adopt(causes, "the store has a record of it", aNow);
    }
  }
  if (const auto it = mVerdicts.find(aVerdict); it != mVerdicts.end()) {
    it->second.mOwnRecord = aOwn;
  } else {
    const std::set<std::uint64_t> narrower = VerdictsWith(causes);
    mObsolete.insert_or_assign(
      aVerdict, ObsoleteRecord{ aNow, narrower.empty() ? 0 : *narrower.begin() });
  }
}

void RequestQuarantine::OnStoreRestored(timing::Instant aNow)
{
  mRecords.clear();
  mObsolete.clear();
  mRecordTriedAt.clear();
  mRecordsLostUntil = aNow + kLostRecordDelay;
  mReadsRestored = true;
}

void RequestQuarantine::RetainRecords(const std::set<std::uint64_t>& aVerdicts,
                                      timing::Instant aNow)
{
  mReadsRestored = false;
  std::vector<std::uint64_t> gone;
  std::ranges::set_difference(mRecords, aVerdicts, std::back_inserter(gone));
  for (const std::uint64_t verdict : gone) {
    OnRecord(verdict, false, false, aNow);
  }
}

}
