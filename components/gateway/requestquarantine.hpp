#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_REQUESTQUARANTINE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_REQUESTQUARANTINE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "components/gateway/crashfindings.hpp"
#include "components/gateway/quarantineverdict.hpp"
#include "components/gateway/suspecttests.hpp"

namespace samphiresail::gateway {

/// Workload: requests that crash each engine that begins to answer them (queries of
/// death), because of a part of their prompt that other requests share or because of what
/// the request itself asks for. Requests with such a cause are refused at all entries.
/// Causes that cannot be told apart are in quarantine together: a request is refused if
/// it has all of them, and requests with some are sent one at a time, as tests, until it
/// is known which one is the reason.
/// The entries exchange what they saw, and a record in the store tells it to those that
/// start later or that the others do not reach.
class RequestQuarantine
{
public:
  /// How long a cause stays in quarantine if nothing lifts it sooner.
  static constexpr timing::Duration kTerm = std::chrono::hours(1);
  /// Time until the entry that wrote the record lets one refused request through as a
  /// test; sooner if a single end told the cause from others.
  static constexpr timing::Duration kFirstTest = std::chrono::seconds(30);
  static constexpr timing::Duration kFirstTestOfNarrowed = std::chrono::seconds(5);
  /// Other entries send the test if they have heard of none for this much longer.
  static constexpr timing::Duration kOtherTestDelay = std::chrono::seconds(10);
  /// Longest random delay before the first request with some of the causes is sent.
  static constexpr std::chrono::milliseconds kMaxFirstTestDelay{ 300 };
  /// Maximum number of verdicts, and of causes that one was narrowed from; the oldest is
  /// lifted for a new one.
  static constexpr std::size_t kMaxCauses = 256;
  /// How long a broken response waits for the proof that its engine has ended.
  static constexpr timing::Duration kProofTime = std::chrono::milliseconds(1000);
  /// Minimum time between two tests of one engine.
  static constexpr timing::Duration kProbeInterval = std::chrono::milliseconds(250);
  /// Each finding is reported this often, since datagrams can be lost, the first time at
  /// once and then after the interval.
  static constexpr unsigned kReportCount = 3;
  static constexpr timing::Duration kReportInterval = std::chrono::milliseconds(200);
  /// Bounds of one report.
  static constexpr std::size_t kMaxReportedFindings = 48;
  static constexpr std::size_t kMaxReportedSuspects = 64;
  /// Longest random delays before an entry repeats what all entries may know at the same
  /// time: that a cause is sound, and that it is in quarantine. Whoever is first spares
  /// the others.
  static constexpr std::chrono::milliseconds kMaxReplyDelay{ 60 };
  static constexpr std::chrono::milliseconds kMaxQuarantineReportDelay{ 300 };
  /// Crashes after which an entry that knows the cause as sound says so.
  static constexpr std::size_t kMinCrashesForReply = 2;
  /// Delay before an entry other than the leader writes the record of a cause.
  static constexpr timing::Duration kRecordDelay = std::chrono::milliseconds(1000);
  /// The same after a restore of the store, which also takes the leader away.
  static constexpr timing::Duration kLostRecordDelay = std::chrono::milliseconds(8000);
  /// How long a lifted verdict is remembered, so that a backup of the store does not
  /// bring it back.
  static constexpr timing::Duration kLiftedMemory = std::chrono::minutes(5);

  explicit RequestQuarantine(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  /// Records that a request was answered beyond its first event.
  void OnSound(const RequestMetadata& aRequest, timing::Instant aNow);
  /// Records that a response broke off before its second event.
  void OnBroken(std::uint64_t aEndpointHash,
                const RequestMetadata& aRequest,
                timing::Instant aNow);
  /// Returns true if a connection to the engine should be tried, to learn whether it has
  /// ended, and counts it as tried.
  bool TryProbe(std::uint64_t aEndpointHash, timing::Instant aNow);
  /// Records that the engine accepted a connection: it has not ended.
  void OnConnected(std::uint64_t aEndpointHash) { mBroken.erase(aEndpointHash); }
  /// Records that the engine refused a connection: its process has ended.
  void OnConnectionRefused(std::uint64_t aEndpointHash, timing::Instant aNow);

  /// Number of engines that ended, or may have ended, while they had requests of this
  /// identity, and since such a request was last answered.
  std::size_t EndsUnder(std::uint64_t aIdentity, timing::Instant aNow) const;

  /// Why and until when a request is refused.
  struct Block
  {
    /// All causes of the verdict, each of which the request has.
    CrashEvidence::Causes mCauses;
    timing::Instant mUntil{};
  };
  /// Returns the verdict that refuses the request and stays longest; none if it is not
  /// refused.
  std::optional<Block> BlockOf(const RequestMetadata& aRequest,
                               timing::Instant aNow) const;
  /// Returns true if a blocked request may be sent as a test.
  bool IsTestDue(const RequestMetadata& aRequest, timing::Instant aNow) const;
  /// The same, and counts it as sent.
  bool TryTest(const RequestMetadata& aRequest, timing::Instant aNow);
  /// Returns the causes of all verdicts that refuse the request.
  CrashEvidence::Causes BlockingCauses(const RequestMetadata& aRequest) const;

  /// Returns the causes that an answer or an end of the request tells from each other:
  /// those of each verdict of which it has some. Empty if it needs no care.
  CrashEvidence::Causes CausesTested(const RequestMetadata& aRequest) const;
  /// Returns true if a request that tests the causes may be sent, and counts it as sent.
  bool TryTestCauses(const CrashEvidence::Causes& aCauses, timing::Instant aNow);
  /// Records that a test of the causes that began at aBegan has not run; another request
  /// may be sent instead. aFull: it had all causes of the verdicts on them.
  void OnTestNotRun(const CrashEvidence::Causes& aCauses,
                    bool aFull,
                    timing::Instant aBegan,
                    timing::Instant aNow);

  bool IsReportDue(timing::Instant aNow) const;
  /// Returns the findings that are still to be reported, and counts them as reported.
  CrashFindings Report(timing::Instant aNow);
  /// Adds what another entry reported.
  void Merge(const CrashFindings& aFindings, timing::Instant aNow);

  /// A record in the store that is to be created or deleted.
  struct RecordChange
  {
    std::uint64_t mVerdict{ 0 };
    bool mCreate{ true };
    /// Causes of the verdict, if the record is created.
    CrashEvidence::Causes mCauses;
  };
  /// Returns the changes that are due; each is repeated until OnRecord() shows it.
  std::vector<RecordChange> RecordChanges(bool aLeads, timing::Instant aNow);
  /// Records that the store has a record of the verdict, written by this entry if aOwn,
  /// or no longer has one. Without causes the verdict is on the cause of its identifier.
  void OnRecord(std::uint64_t aVerdict,
                bool aPresent,
                bool aOwn,
                timing::Instant aNow,
                const CrashEvidence::Causes& aCauses = {});
  /// Records that the store was restored from a backup, and may have lost records, and
  /// have others that were deleted. What is in force stays so.
  void OnStoreRestored(timing::Instant aNow);
  /// Records all verdicts that the store has a record of.
  void RetainRecords(const std::set<std::uint64_t>& aVerdicts, timing::Instant aNow);

  /// Causes that were put into quarantine or taken out of it.
  struct Change
  {
    CrashEvidence::Causes mCauses;
    bool mBegins{ true };
    /// The verdict on the causes that this one replaces; none if it is new.
    CrashEvidence::Causes mReplaced;
    std::string mReason;
    /// HashName of the engines that are known to have ended under it.
    std::vector<std::uint64_t> mEngines;
  };
  /// Returns the changes since the last call, for the log.
  std::vector<Change> TakeChanges();

  /// What speaks for and against one cause.
  struct CauseDescription
  {
    /// Ends of engines that speak against it, and those that it was in but that an
    /// answered request excuses.
    std::size_t mEnds{ 0 };
    std::size_t mExcusedEnds{ 0 };
    /// Time since a request with it was answered.
    std::optional<timing::Duration> mSinceAnswer;
  };
  CauseDescription Describe(std::uint64_t aCause, timing::Instant aNow) const;
  /// Returns the time until this entry sends a refused request as the next test of the
  /// verdict; none if another entry does.
  std::optional<timing::Duration> UntilTest(std::uint64_t aVerdict,
                                            timing::Instant aNow) const;

  /// Returns the causes of the verdict; none if it is not known.
  CrashEvidence::Causes CausesOfVerdict(std::uint64_t aVerdict) const;
  std::size_t Size() const { return mVerdicts.size(); }
  void Tick(timing::Instant aNow);

private:
  /// Responses of one engine that broke off.
  struct Broken
  {
    timing::Instant mLastAt{};
    std::optional<timing::Instant> mProbedAt;
    std::optional<timing::Instant> mRefusedAt;
    std::vector<Suspect> mSuspects;
  };
  struct Outgoing
  {
    std::variant<ReportedCrash, ReportedSound, ReportedVerdict, ReportedTest> mFinding;
    timing::Instant mAt{};
    unsigned mReports{ 0 };
    timing::Instant mNextReport{};
  };

  void RecordOwnCrash(std::uint64_t aEndpointHash, Broken& aBroken, timing::Instant aNow);
  /// Records that a cause was sound at aAt. Returns true if that changed a verdict.
  bool RecordSoundCause(std::uint64_t aCause, timing::Instant aAt, timing::Instant aNow);
  /// Takes a cause that was sound before the verdict out of it if others explain the
  /// crashes better.
  bool ReconsiderSound(std::uint64_t aVerdict,
                       std::uint64_t aCause,
                       timing::Instant aNow);
  /// True if a request with the cause was answered so recently that it cannot crash
  /// engines.
  bool IsSound(std::uint64_t aCause, timing::Instant aNow) const;
  /// Puts the causes into quarantine that the evidence blames.
  void Evaluate(timing::Instant aNow);
  /// Puts the causes into quarantine together. Of a verdict that has some of them, what
  /// both have in common remains. Returns false if no verdict changed.
  bool Adopt(const CrashEvidence::Causes& aCauses,
             const char* aReason,
             timing::Instant aNow);
  void Quarantine(const CrashEvidence::Causes& aCauses,
                  const char* aReason,
                  timing::Instant aNow);
  /// Replaces the causes of a verdict by some of them; by none, it is lifted. Those that
  /// are dropped are watched if no answer speaks for them.
  void Narrow(std::uint64_t aVerdict,
              const CrashEvidence::Causes& aLeft,
              bool aWatchDropped,
              const char* aReason,
              timing::Instant aNow);
  void Lift(std::uint64_t aVerdict, const char* aReason, timing::Instant aNow);
  /// Removes the verdict. Its record is deleted once the store has that of aSuccessor.
  QuarantineVerdict Remove(std::uint64_t aVerdict,
                           std::uint64_t aSuccessor,
                           timing::Instant aNow);
  /// Returns the verdicts that have some of the causes.
  std::set<std::uint64_t> VerdictsWith(const CrashEvidence::Causes& aCauses) const;
  /// Returns a verdict's causes that the suspects have.
  static CrashEvidence::Causes Common(const QuarantineVerdict& aVerdict,
                                      const CrashEvidence::Causes& aCauses);
  void MergeVerdict(CrashEvidence::Causes aCauses, timing::Instant aNow);
  void MergeTest(const ReportedTest& aTest, timing::Instant aNow);
  /// Returns the identifiers of the verdicts that have only causes of the request.
  std::vector<std::uint64_t> BlockingVerdicts(const RequestMetadata& aRequest) const;
  void TakeBackTest(const ReportedTest& aTest, timing::Instant aBegan);
  /// Tells the others that a cause which is suspected has been sound.
  void ReplySound(std::uint64_t aCause, timing::Instant aNow);
  /// Adds a finding that was made at aAt and is reported from aFirstReport on.
  template<typename Finding>
  void AddOutgoing(Finding aFinding, timing::Instant aAt, timing::Instant aFirstReport);
  /// Drops the findings that are still to be reported for which aIsSaid returns true.
  template<typename Finding, typename Predicate>
  void DropOutgoing(Predicate aIsSaid);
  std::chrono::milliseconds RandomDelay(std::chrono::milliseconds aMax);
  /// Returns what is blamed, without the verdict.
  CrashEvidence::Known KnownWithout(std::optional<std::uint64_t> aVerdict) const;

  std::mt19937_64 mRandom;
  CrashEvidence mEvidence;
  std::map<std::uint64_t, QuarantineVerdict> mVerdicts;
  /// Verdict of each cause in quarantine; verdicts have no cause in common.
  std::map<std::uint64_t, std::uint64_t> mVerdictOf;
  /// Causes that a verdict was narrowed from without an answer, with the time.
  std::map<std::uint64_t, timing::Instant> mWatched;
  SuspectTests mTests;
  std::map<std::uint64_t, Broken> mBroken;
  std::deque<Outgoing> mOutgoing;
  /// Verdicts of which the store has a record.
  std::set<std::uint64_t> mRecords;
  struct ObsoleteRecord
  {
    timing::Instant mSince{};
    /// Verdict that replaces it; 0 for none.
    std::uint64_t mSuccessor{ 0 };
  };
  /// Verdicts that this entry lifted although the store has a record of them.
  std::map<std::uint64_t, ObsoleteRecord> mObsolete;
  /// Verdicts that are no longer in force, with the time at which they were removed.
  std::map<std::uint64_t, timing::Instant> mRemoved;
  /// Until when other entries than the leader wait with records that a restore of the
  /// store may have lost.
  timing::Instant mRecordsLostUntil{};
  /// The records that are reported are those of a restored store.
  bool mReadsRestored{ false };
  /// Last attempt to change the record of a verdict.
  std::map<std::uint64_t, timing::Instant> mRecordTriedAt;
  std::vector<Change> mChanges;
  bool mEvidenceChanged{ false };
};

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

}

#endif
