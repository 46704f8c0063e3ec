#ifndef SAMPHIRESAIL_APPS_TESTS_SUPPORT_MEMORYSTORE_HPP
#define SAMPHIRESAIL_APPS_TESTS_SUPPORT_MEMORYSTORE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "components/store/keyvaluestore.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::tests {

/// Key-value store in memory with leases. Faults are set before a call: down, or answers
/// lost after the call took effect.
class MemoryStore
{
public:
  explicit MemoryStore(const timing::Clock& aClock);

  store::StoreReply Execute(const store::StoreRequest& aRequest,
                            std::chrono::milliseconds aTimeout);

  /// Refuses all calls while set.
  void SetDown(bool aDown) { mDown = aDown; }

  /// Loses the answers of all calls while set; writes take effect.
  void SetLoseAnswers(bool aLose) { mLoseAnswers = aLose; }

  /// Ends a lease at once, as after a pause of its holder.
  void LapseLease(std::int64_t aLease);
  /// Ends all leases at once.
  void LapseLeases();

  /// Returns the value of a key, empty if it is absent.
  std::string Value(const std::string& aKey);
  std::int64_t Revision() const { return mRevision; }
  std::uint64_t Calls() const { return mCalls; }

private:
  struct Lease
  {
    std::chrono::milliseconds mLife{ 0 };
    timing::Instant mExpiry;
  };

  store::StoreReply Apply(const store::RangeRequest& aRange);
  store::StoreReply Apply(const store::TransactionRequest& aTransaction);
  store::StoreReply Apply(const store::LeaseGrantRequest& aGrant);
  store::StoreReply Apply(const store::LeaseKeepAliveRequest& aKeepAlive);
  store::StoreReply Apply(const store::LeaseRevokeRequest& aRevoke);
  void Write(const store::PutOperation& aPut);
  void Write(const store::DeleteOperation& aDelete);
  void ExpireLeases();

  const timing::Clock& mClock;
  std::map<std::string, store::KeyValue> mRecords;
  std::map<std::int64_t, Lease> mLeases;
  std::int64_t mRevision{ 1 };
  std::int64_t mLastLease{ 100 };
  std::uint64_t mCalls{ 0 };
  bool mDown{ false };
  bool mLoseAnswers{ false };
};

}

#endif
