#ifndef SAMPHIRESAIL_COMPONENTS_ATTEMPTS_ATTEMPTTABLE_HPP
#define SAMPHIRESAIL_COMPONENTS_ATTEMPTS_ATTEMPTTABLE_HPP

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

#include "components/attempts/attempt.hpp"

namespace samphiresail::attempts {

/// What is remembered of an attempt that has no entry any more.
enum class PastOutcome
{
  None,
  /// It has not run and never will at this process.
  NotRun,
  /// It ended and its answer is dropped.
  Ended,
};

/// Why an attempt must not run.
enum class ForbidReason
{
  /// This process refused it. Copies of its submit end with the life of their ticket.
  Refused,
  /// Another process asked that it never run, while its sender may still submit it.
  Tombstoned,
};

/// Times for which attempts are remembered.
struct Retention
{
  /// Answers that nobody confirmed, and all answers of irreversible calls.
  timing::Duration mAnswers{ std::chrono::minutes(10) };
  /// Identifiers of repeatable calls that ended.
  timing::Duration mEnded{ std::chrono::minutes(20) };
  /// Identifiers of attempts that were refused; longer than the life of a ticket.
  timing::Duration mRefused{ std::chrono::minutes(1) };
  /// Identifiers of irreversible calls and of attempts with a tombstone.
  timing::Duration mIrreversible{ std::chrono::hours(24) };
};

/// Attempts of this process by identifier. An attempt is taken once; one that was refused
/// for good is remembered, so that a late copy of it cannot run.
class AttemptTable
{
public:
  explicit AttemptTable(const Retention& aRetention = {});

  /// Returns the attempt, or nullptr.
  Attempt* Find(const ids::AttemptId& aId);

  PastOutcome FindPastOutcome(const ids::AttemptId& aId) const;

  /// Takes a new attempt. Its identifier must be unknown.
  Attempt& Add(Attempt aAttempt);

  /// Records that the attempt has not run and forbids it for good. The attempt must be
  /// unknown, queued, or handed to a back end that got no byte of it.
  void Forbid(const ids::AttemptId& aId, ForbidReason aKind, timing::Instant aNow);

  void MarkRunning(Attempt& aAttempt, timing::Instant aNow);
  void MarkFinished(Attempt& aAttempt, AttemptEnd aEnd, timing::Instant aNow);

  /// Drops answers and identifiers that are past their retention.
  void Expire(timing::Instant aNow);

  /// Number of attempts that are queued or run.
  std::size_t OpenCount() const { return mOpenCount; }

  /// Number of attempts whose answer is not confirmed yet, open ones included.
  std::size_t UnconfirmedCount() const;

  /// Returns the attempts that are queued or run, in no order.
  std::vector<Attempt*> Open();

private:
  struct Remembered
  {
    PastOutcome mRemnant;
    timing::Instant mUntil;
  };

  struct Expiry
  {
    ids::AttemptId mId;
    timing::Instant mAt;
  };

  void ExpireAnswers(timing::Instant aNow);
  void ExpireRemnants(timing::Instant aNow);

  Retention mRetention;
  std::unordered_map<ids::AttemptId, Attempt> mAttempts;
  std::unordered_map<ids::AttemptId, Remembered> mRemnants;
  std::deque<Expiry> mAnswerExpiry;
  std::deque<Expiry> mEndedExpiry;
  std::deque<Expiry> mRefusedExpiry;
  std::deque<Expiry> mIrreversibleExpiry;
  std::size_t mOpenCount{ 0 };
};

}

#endif
