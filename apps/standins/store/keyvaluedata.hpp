#ifndef SAMPHIRESAIL_APPS_STANDINS_STORE_KEYVALUEDATA_HPP
#define SAMPHIRESAIL_APPS_STANDINS_STORE_KEYVALUEDATA_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "components/timing/clock.hpp"

namespace samphiresail::standins {

struct Record
{
  std::string mKey;
  std::string mValue;
  std::int64_t mCreateRevision{ 0 };
  std::int64_t mModRevision{ 0 };
  std::int64_t mVersion{ 0 };
  std::int64_t mLease{ 0 };
};

/// One key, or the keys in [mFrom, mEnd); an end of one zero byte means no end.
struct KeyRange
{
  std::string mFrom;
  std::string mEnd;

  bool Contains(const std::string& aKey) const;
};

struct RangeQuery
{
  KeyRange mKeys;
  std::int64_t mMinModRevision{ 0 };
  std::int64_t mMaxModRevision{ 0 };
  std::size_t mLimit{ 0 };
  bool mKeysOnly{ false };
  bool mCountOnly{ false };
};

enum class CompareTarget
{
  Version,
  Create,
  Mod,
  Value,
  Lease,
};

enum class CompareResult
{
  Equal,
  Greater,
  Less,
  NotEqual,
};

struct Comparison
{
  std::string mKey;
  CompareTarget mTarget{ CompareTarget::Version };
  CompareResult mResult{ CompareResult::Equal };
  std::int64_t mNumber{ 0 };
  std::string mValue;
};

enum class OperationKind
{
  Range,
  Put,
  Delete,
};

struct Operation
{
  OperationKind mKind{ OperationKind::Range };
  RangeQuery mRange;
  std::string mValue;
  std::int64_t mLease{ 0 };
};

struct OperationResult
{
  OperationKind mKind{ OperationKind::Range };
  std::vector<Record> mRecords;
  /// Records in the range, or records deleted.
  std::int64_t mCount{ 0 };
};

struct Transaction
{
  std::vector<Comparison> mCompares;
  std::vector<Operation> mSuccess;
  std::vector<Operation> mFailure;
};

struct TransactionResult
{
  bool mSucceeded{ false };
  std::int64_t mRevision{ 0 };
  std::vector<OperationResult> mResults;
};

struct Event
{
  bool mDelete{ false };
  Record mRecord;
};

/// Thrown for a request that the store refuses; the text follows the published protocol.
class StoreError : public std::runtime_error
{
public:
  StoreError(const std::string& aText, int aStatus, int aCode)
    : std::runtime_error(aText)
    , mStatus(aStatus)
    , mCode(aCode)
  {
  }

  int mStatus;
  int mCode;
};

/// Versioned records with leases and a history of events. Thread-safe.
class KeyValueData
{
public:
  explicit KeyValueData(const timing::Clock& aClock)
    : mClock(aClock)
  {
  }

  TransactionResult Execute(const Transaction& aTransaction);
  std::int64_t Revision() const;

  /// Grants a lease under the wanted id, or under a new one for 0.
  std::int64_t GrantLease(std::int64_t aWanted, std::chrono::seconds aTimeToLive);
  /// Returns the time to live, or 0 seconds if the lease is gone.
  std::chrono::seconds KeepAlive(std::int64_t aLease);
  void RevokeLease(std::int64_t aLease);

  /// Waits for events in the range from a revision on; empty after the timeout.
  std::vector<Event> WaitEvents(const KeyRange& aKeys,
                                std::int64_t aFromRevision,
                                std::chrono::milliseconds aTimeout);
  /// Removes the records of leases that ran out.
  void ExpireLeases();

private:
  struct Lease
  {
    std::chrono::seconds mTimeToLive{ 0 };
    timing::Instant mEnd;
    std::set<std::string> mKeys;
  };

  bool Holds(const Comparison& aComparison) const;
  void Check(const std::vector<Operation>& aOperations) const;
  OperationResult Range(const RangeQuery& aQuery) const;
  OperationResult Put(const Operation& aOperation, std::int64_t aRevision);
  OperationResult Delete(const KeyRange& aKeys, std::int64_t aRevision);
  void RemoveLocked(std::int64_t aLease);
  void ExpireLocked();
  void Publish(Event aEvent);

  const timing::Clock& mClock;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Record> mRecords;
  std::map<std::int64_t, Lease> mLeases;
  std::deque<Event> mEvents;
  std::int64_t mRevision{ 1 };
  std::int64_t mNextLease{ 7'000'001 };
};

}

#endif
