#ifndef SAMPHIRESAIL_COMPONENTS_STORE_KEYVALUESTORE_HPP
#define SAMPHIRESAIL_COMPONENTS_STORE_KEYVALUESTORE_HPP

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace samphiresail::store {

/// How often a store was restored from a backup. A restore takes back what was written
/// since the backup, and gives its revisions and leases out again.
using StoreGeneration = std::int64_t;

/// Record of the platform's key-value service with the revisions it had when read.
struct KeyValue
{
  std::string mKey;
  std::string mValue;
  std::int64_t mCreateRevision{ 0 };
  /// Store revision of the last change.
  std::int64_t mModRevision{ 0 };
  /// Lease that the record is bound to; 0 for none.
  std::int64_t mLease{ 0 };
};

/// Reads one key, or all keys in [mKey, mRangeEnd) if mRangeEnd is not empty.
struct RangeRequest
{
  std::string mKey;
  std::string mRangeEnd;
  /// Returns only records that changed at or after this revision; 0 for all.
  std::int64_t mMinModRevision{ 0 };
};

/// Requires that a key has the given modification revision; 0 means absent.
struct Compare
{
  std::string mKey;
  std::int64_t mModRevision{ 0 };
};

struct PutOperation
{
  std::string mKey;
  std::string mValue;
  std::int64_t mLease{ 0 };
};

struct DeleteOperation
{
  std::string mKey;
};

using WriteOperation = std::variant<PutOperation, DeleteOperation>;

/// Applies all writes if all comparisons hold, otherwise reads the compared keys.
struct TransactionRequest
{
  std::vector<Compare> mCompares;
  std::vector<WriteOperation> mWrites;
};

struct LeaseGrantRequest
{
  std::chrono::milliseconds mTimeToLive{ 0 };
};

struct LeaseKeepAliveRequest
{
  std::int64_t mLease{ 0 };
};

struct LeaseRevokeRequest
{
  std::int64_t mLease{ 0 };
};

using StoreRequest = std::variant<RangeRequest,
                                  TransactionRequest,
                                  LeaseGrantRequest,
                                  LeaseKeepAliveRequest,
                                  LeaseRevokeRequest>;

enum class StoreOutcome
{
  /// The store answered.
  Answered,
  /// The request did not reach the store.
  NotSent,
  /// The answer was lost; a write may have taken effect.
  Unknown,
};

struct StoreReply
{
  StoreOutcome mOutcome{ StoreOutcome::NotSent };
  /// True if the comparisons of a transaction held.
  bool mSucceeded{ false };
  /// Revision of the whole store at the answer.
  std::int64_t mRevision{ 0 };
  /// Records read, or the compared records of a failed transaction.
  std::vector<KeyValue> mRecords;
  std::int64_t mLease{ 0 };
  /// Time to live that the store applies to the lease; 0 if it states none.
  std::chrono::milliseconds mTimeToLive{ 0 };
  /// Generation that the response states; none if it states none.
  std::optional<StoreGeneration> mGeneration;
};

/// Client of the platform's key-value service. Execute never throws for a store that is
/// down; it reports the outcome within the timeout.
template<typename T>
concept KeyValueStore = requires(T aStore,
                                 const StoreRequest& aRequest,
                                 std::chrono::milliseconds aTimeout)
{
  {
    aStore.Execute(aRequest, aTimeout)
    } -> std::same_as<StoreReply>;
};

/// Returns the end of the range that covers all keys with the prefix.
inline std::string PrefixEnd(std::string aPrefix)
{
  if (!aPrefix.empty()) {
    aPrefix.back() = static_cast<char>(aPrefix.back() + 1);
  }
  return aPrefix;
}

}

#endif
