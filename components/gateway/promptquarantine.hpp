#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_PROMPTQUARANTINE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_PROMPTQUARANTINE_HPP

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
  std::vector<SuspectPart> mSuspects;
};

/// A request with the part was answered.
struct ReportedSoundPart
{
  std::uint64_t mPart{ 0 };
  std::chrono::milliseconds mAge{ 0 };
};

/// What entries tell each other of parts of prompts that crash engines.
struct PromptFindings
{
  std::vector<ReportedCrash> mCrashes;
  std::vector<ReportedSoundPart> mSound;
  std::vector<std::uint64_t> mQuarantined;

  bool Empty() const
  {
    return mCrashes.empty() && mSound.empty() && mQuarantined.empty();
  }
};

/// Workload: requests that share a part of their prompt which crashes each engine that
/// begins to answer it (a query of death). Requests with such a part are refused at all
/// entries. The entries exchange what they saw, and a record in the store tells it to
/// those that start later or that the others do not reach.
class PromptQuarantine
{
public:
  /// How long a part stays in quarantine if nothing lifts it sooner.
  static constexpr timing::Duration kTerm = std::chrono::hours(1);
  /// Time until the entry that wrote the record lets one request through as a test, and
  /// by how much each further test is later.
  static constexpr timing::Duration kFirstTest = std::chrono::seconds(30);
  static constexpr int kTestBackoff = 4;
  /// Maximum number of parts in quarantine; the oldest is lifted for a new one.
  static constexpr std::size_t kMaxParts = 256;
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
  static constexpr std::size_t kMaxReportedSuspects = 32;
  /// Longest random delays before an entry repeats what all entries may know at the same
  /// time: that a part is sound, and that it is in quarantine. Whoever is first spares
  /// the others.
  static constexpr std::chrono::milliseconds kMaxReplyDelay{ 60 };
  static constexpr std::chrono::milliseconds kMaxQuarantineReportDelay{ 300 };
  /// Crashes after which an entry that knows the part as sound says so.
  static constexpr std::size_t kMinCrashesForReply = 2;
  /// Delay before an entry other than the leader writes the record of a part.
  static constexpr timing::Duration kRecordDelay = std::chrono::milliseconds(1000);

  explicit PromptQuarantine(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  /// Records that a request was answered beyond its first event.
  void OnSound(const std::vector<PromptPart>& aParts, timing::Instant aNow);
  /// Records that a response broke off before its second event.
  void OnBroken(std::uint64_t aEndpointHash,
                const std::vector<PromptPart>& aParts,
                timing::Instant aNow);
  /// Returns true if a connection to the engine should be tried, to learn whether it has
  /// ended, and counts it as tried.
  bool TryProbe(std::uint64_t aEndpointHash, timing::Instant aNow);
  /// Records that the engine accepted a connection: it has not ended.
  void OnConnected(std::uint64_t aEndpointHash) { mBroken.erase(aEndpointHash); }
  /// Records that the engine refused a connection: its process has ended.
  void OnConnectionRefused(std::uint64_t aEndpointHash, timing::Instant aNow);

  /// Returns until when a request with these parts is refused; none if it is not.
  std::optional<timing::Instant> BlockedUntil(const std::vector<PromptPart>& aParts,
                                              timing::Instant aNow) const;
  /// Returns true if a blocked request may be sent as a test, and counts it as sent.
  bool TryTest(const std::vector<PromptPart>& aParts, timing::Instant aNow);

  bool IsReportDue(timing::Instant aNow) const;
  /// Returns the findings that are still to be reported, and counts them as reported.
  PromptFindings Report(timing::Instant aNow);
  /// Adds what another entry reported.
  void Merge(const PromptFindings& aFindings, timing::Instant aNow);

  /// A record in the store that is to be created or deleted.
  struct RecordChange
  {
    std::uint64_t mPart{ 0 };
    bool mCreate{ true };
  };
  /// Returns the changes that are due; each is repeated until OnRecord() shows it.
  std::vector<RecordChange> RecordChanges(bool aLeads, timing::Instant aNow);
  /// Records that the store has a record of the part, written by this entry if aOwn, or
  /// no longer has one.
  void OnRecord(std::uint64_t aPart, bool aPresent, bool aOwn, timing::Instant aNow);
  /// Records all parts that the store has a record of.
  void RetainRecords(const std::set<std::uint64_t>& aParts, timing::Instant aNow);

  /// A part that was put into quarantine or taken out of it.
  struct Change
  {
    std::uint64_t mPart{ 0 };
    bool mBegins{ true };
    std::string mReason;
    std::size_t mCrashes{ 0 };
  };
  /// Returns the changes since the last call, for the log.
  std::vector<Change> TakeChanges();

  std::size_t Size() const { return mParts.size(); }
  void Tick(timing::Instant aNow);

private:
  /// A part in quarantine.
  struct Part
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
    std::vector<SuspectPart> mSuspects;
  };
  struct Outgoing
  {
    std::variant<ReportedCrash, ReportedSoundPart, std::uint64_t> mFinding;
    timing::Instant mAt{};
    unsigned mReports{ 0 };
    timing::Instant mNextReport{};
  };

  void RecordOwnCrash(std::uint64_t aEndpointHash, Broken& aBroken, timing::Instant aNow);
  /// Records that a part was sound at aAt. Returns true if that lifted its quarantine.
  bool RecordSoundPart(std::uint64_t aPart, timing::Instant aAt, timing::Instant aNow);
  /// True if a request with the part was answered so recently that it cannot crash
  /// engines.
  bool IsSound(std::uint64_t aPart, timing::Instant aNow) const;
  /// Puts the parts into quarantine that the evidence blames.
  void Evaluate(timing::Instant aNow);
  /// Returns false if the part was in quarantine.
  bool Quarantine(std::uint64_t aPart, const char* aReason, timing::Instant aNow);
  void Lift(std::uint64_t aPart, const char* aReason, timing::Instant aNow);
  /// Tells the others that a part which is suspected has been sound.
  void ReplySound(std::uint64_t aPart, timing::Instant aNow);
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
  std::map<std::uint64_t, Part> mParts;
  std::map<std::uint64_t, Broken> mBroken;
  std::deque<Outgoing> mOutgoing;
  /// Parts of which the store has a record.
  std::set<std::uint64_t> mRecords;
  /// Parts that this entry lifted although the store has a record of them, with the time.
  std::map<std::uint64_t, timing::Instant> mLifted;
  /// Last attempt to change the record of a part.
  std::map<std::uint64_t, timing::Instant> mRecordTriedAt;
  std::vector<Change> mChanges;
  bool mEvidenceChanged{ false };
};

}

#endif
