#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_REQUESTQUARANTINE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_REQUESTQUARANTINE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "components/gateway/crashevidence.hpp"

namespace samphiresail::gateway {

/// An engine that ended, as one entry reports it to the others.
struct ReportedCrash
{
  std::uint64_t mEndpointHash{ 0 };
  std::chrono::milliseconds mAge{ 0 };
  std::vector<Suspect> mSuspects;
};

/// A request with the cause was answered.
struct ReportedSound
{
  std::uint64_t mCause{ 0 };
  std::chrono::milliseconds mAge{ 0 };
};

/// What entries tell each other of the causes that crash engines.
struct CrashFindings
{
  std::vector<ReportedCrash> mCrashes;
  std::vector<ReportedSound> mSound;
  std::vector<std::uint64_t> mQuarantined;

  bool Empty() const
  {
    return mCrashes.empty() && mSound.empty() && mQuarantined.empty();
  }
};

/// Workload: requests that crash each engine that begins to answer them (queries of
/// death), because of a part of their prompt that other requests share or because of what
/// the request itself asks for. Requests with such a cause are refused at all entries.
/// The entries exchange what they saw, and a record in the store tells it to those that
/// start later or that the others do not reach.
class RequestQuarantine
{
public:
  /// How long a cause stays in quarantine if nothing lifts it sooner.
  static constexpr timing::Duration kTerm = std::chrono::hours(1);
  /// Time until the entry that wrote the record lets one request through as a test, and
  /// by how much each further test is later.
  static constexpr timing::Duration kFirstTest = std::chrono::seconds(30);
  static constexpr int kTestBackoff = 4;
  /// Maximum number of causes in quarantine; the oldest is lifted for a new one.
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
    std::uint64_t mCause{ 0 };
    timing::Instant mUntil{};
  };
  /// Returns the cause in quarantine that the request has and that stays there longest;
  /// none if it is not refused.
  std::optional<Block> BlockOf(const RequestMetadata& aRequest,
                               timing::Instant aNow) const;
  /// Returns true if a blocked request may be sent as a test, and counts it as sent.
  bool TryTest(const RequestMetadata& aRequest, timing::Instant aNow);

  bool IsReportDue(timing::Instant aNow) const;
  /// Returns the findings that are still to be reported, and counts them as reported.
  CrashFindings Report(timing::Instant aNow);
  /// Adds what another entry reported.
  void Merge(const CrashFindings& aFindings, timing::Instant aNow);

  /// A record in the store that is to be created or deleted.
  struct RecordChange
  {
    std::uint64_t mCause{ 0 };
    bool mCreate{ true };
  };
  /// Returns the changes that are due; each is repeated until OnRecord() shows it.
  std::vector<RecordChange> RecordChanges(bool aLeads, timing::Instant aNow);
  /// Records that the store has a record of the cause, written by this entry if aOwn, or
  /// no longer has one.
  void OnRecord(std::uint64_t aCause, bool aPresent, bool aOwn, timing::Instant aNow);
  /// Records all causes that the store has a record of.
  void RetainRecords(const std::set<std::uint64_t>& aCauses, timing::Instant aNow);

  /// A cause that was put into quarantine or taken out of it.
  struct Change
  {
    std::uint64_t mCause{ 0 };
    bool mBegins{ true };
    std::string mReason;
    /// HashName of the engines that are known to have ended under it.
    std::vector<std::uint64_t> mEngines;
  };
  /// Returns the changes since the last call, for the log.
  std::vector<Change> TakeChanges();

  std::size_t Size() const { return mCauses.size(); }
  void Tick(timing::Instant aNow);

private:
  /// A cause in quarantine.
  struct Quarantined
  {
    timing::Instant mSince{};
    timing::Instant mUntil{};
    /// This entry wrote the record, so it sends the tests.
    bool mOwnRecord{ false };
    timing::Instant mNextTest{};
    timing::Duration mTestInterval{ kFirstTest };
  };
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
    std::variant<ReportedCrash, ReportedSound, std::uint64_t> mFinding;
    timing::Instant mAt{};
    unsigned mReports{ 0 };
    timing::Instant mNextReport{};
  };

  void RecordOwnCrash(std::uint64_t aEndpointHash, Broken& aBroken, timing::Instant aNow);
  /// Records that a cause was sound at aAt. Returns true if that lifted its quarantine.
  bool RecordSoundCause(std::uint64_t aCause, timing::Instant aAt, timing::Instant aNow);
  /// True if a request with the cause was answered so recently that it cannot crash
  /// engines.
  bool IsSound(std::uint64_t aCause, timing::Instant aNow) const;
  /// Puts the causes into quarantine that the evidence blames.
  void Evaluate(timing::Instant aNow);
  /// Returns false if the cause was in quarantine.
  bool Quarantine(std::uint64_t aCause, const char* aReason, timing::Instant aNow);
  void Lift(std::uint64_t aCause, const char* aReason, timing::Instant aNow);
  /// Tells the others that a cause which is suspected has been sound.
  void ReplySound(std::uint64_t aCause, timing::Instant aNow);
  /// Adds a finding that was made at aAt and is reported from aFirstReport on.
  template<typename Finding>
  void AddOutgoing(Finding aFinding, timing::Instant aAt, timing::Instant aFirstReport);
  /// Drops the findings that are still to be reported for which aIsSaid returns true.
  template<typename Finding, typename Predicate>
  void DropOutgoing(Predicate aIsSaid);
  std::chrono::milliseconds RandomDelay(std::chrono::milliseconds aMax);
  std::set<std::uint64_t> Known() const;

  std::mt19937_64 mRandom;
  CrashEvidence mEvidence;
  std::map<std::uint64_t, Quarantined> mCauses;
  std::map<std::uint64_t, Broken> mBroken;
  std::deque<Outgoing> mOutgoing;
  /// Causes of which the store has a record.
  std::set<std::uint64_t> mRecords;
  /// Causes that this entry lifted although the store has a record of them, with the
  /// time.
  std::map<std::uint64_t, timing::Instant> mLifted;
  /// Last attempt to change the record of a cause.
  std::map<std::uint64_t, timing::Instant> mRecordTriedAt;
  std::vector<Change> mChanges;
  bool mEvidenceChanged{ false };
};

}

#endif
