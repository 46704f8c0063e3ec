#ifndef SAMPHIRESAIL_COMPONENTS_ATTEMPTS_ATTEMPTTABLE_HPP
#define SAMPHIRESAIL_COMPONENTS_ATTEMPTS_ATTEMPTTABLE_HPP

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

#include "components/attempts/attempt.hpp"

namespace samphiresail::attempts {

/// Outcome kept for an attempt that is no longer in the table.
enum class PastOutcome
{
  None,
  /// It has not run and must not run at this process.
  NotRun,
  /// It ended and its response was dropped.
  Ended,
};

/// Why an attempt must not run.
enum class ForbidReason
{
  /// This process rejected it. Late duplicates of its submit are rejected for their stale
  /// ticket once that has expired.
  Refused,
  /// Another process requested that it must never run; its sender may still submit it.
  Tombstoned,
};

/// Retention times of attempts and of their identifiers.
struct Retention
{
  /// Unconfirmed responses, and all responses of irreversible calls.
  timing::Duration mResponses{ std::chrono::minutes(10) };
  /// Identifiers of ended calls that may run more than once.
  timing::Duration mEnded{ std::chrono::minutes(20) };
  /// Identifiers of rejected attempts; longer than the life of a ticket.
  timing::Duration mRefused{ std::chrono::minutes(1) };
  /// Identifiers of irreversible calls and of attempts with a tombstone.
  timing::Duration mIrreversible{ std::chrono::hours(24) };
};

/// Attempts of this process by identifier. An attempt is accepted once; the identifier of
/// a rejected one is kept, so that a late duplicate of its submit cannot run.
class AttemptTable
{
public:
  explicit AttemptTable(const Retention& aRetention = {});

  /// Returns the attempt, or nullptr.
  Attempt* Find(const ids::AttemptId& aId);

  PastOutcome FindPastOutcome(const ids::AttemptId& aId) const;

  /// Adds a new attempt. Its identifier must be unknown.
  Attempt& Add(Attempt aAttempt);

  /// Records that the attempt has not run and must never run. The attempt must be
  /// unknown, queued, or passed to a back end that received no byte of it.
  void Forbid(const ids::AttemptId& aId, ForbidReason aKind, timing::Instant aNow);

  void MarkRunning(Attempt& aAttempt, timing::Instant aNow);
  void MarkFinished(Attempt& aAttempt, AttemptEnd aEnd, timing::Instant aNow);

  /// Drops responses and identifiers that are past their retention time.
  void Expire(timing::Instant aNow);

  /// Number of attempts that are queued or running.
  std::size_t OpenCount() const { return mOpenCount; }

  /// Number of attempts whose response is not confirmed yet, open ones included.
  std::size_t UnconfirmedCount() const;

  /// Returns the attempts that are queued or running, in no particular order.
  std::vector<Attempt*> Open();

private:
  struct PastAttempt
  {
    PastOutcome mOutcome;
    timing::Instant mUntil;
  };

  struct Expiry
  {
    ids::AttemptId mId;
    timing::Instant mAt;
  };

  void ExpireResponses(timing::Instant aNow);
  void ExpirePastAttempts(timing::Instant aNow);

  Retention mRetention;
  std::unordered_map<ids::AttemptId, Attempt> mAttempts;
  std::unordered_map<ids::AttemptId, PastAttempt> mPastAttempts;
  std::deque<Expiry> mResponseExpiry;
  std::deque<Expiry> mEndedExpiry;
  std::deque<Expiry> mRefusedExpiry;
  std::deque<Expiry> mIrreversibleExpiry;
  std::size_t mOpenCount{ 0 };
};

}

#endif
