#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_OPERATIONLOG_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_OPERATIONLOG_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "components/store/keyvaluestore.hpp"
#include "components/timing/clock.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

enum class WriteState
{
  /// The record is in the store as written.
  Written,
  /// Another record is there; it is attached.
  Conflict,
  /// The store did not answer; the write may still take effect.
  Unavailable,
};

struct WriteResult
{
  WriteState mState{ WriteState::Unavailable };
  /// Record in the store; for a conflict it may be absent, with revision 0.
  wire::OperationRecord mRecord;
  std::int64_t mRevision{ 0 };
  /// True if a write without an answer may still take effect.
  bool mMayTakeEffect{ false };
};

/// Records of irreversible actions in the platform's store. Writes that wait at the same
/// time go into one transaction, so that a burst costs few calls. Records expire after a
/// day.
class OperationLog
{
public:
  using Execute = std::function<store::StoreReply(const store::StoreRequest&,
                                                  std::chrono::milliseconds)>;

  OperationLog(Execute aExecute, std::chrono::milliseconds aTimeout);
  ~OperationLog();

  /// Writes the record if the one in the store still has the given revision; 0 means that
  /// there must be none. A record that carries the same attempt and state counts as
  /// written, since the answer to an earlier try may have been lost.
  WriteResult Write(const std::string& aKey,
                    std::int64_t aRevision,
                    const wire::OperationRecord& aRecord);

  /// Removes the record if the one in the store still has the given revision.
  WriteResult Remove(const std::string& aKey, std::int64_t aRevision);

private:
  struct PendingWrite
  {
    std::string mKey;
    std::int64_t mRevision;
    /// Empty to remove the record.
    std::string mValue;
    std::promise<WriteResult> mResult;
  };

  WriteResult Queue(PendingWrite aWrite);
  void Run(const std::stop_token& aStop);
  bool EnsureLease();
  void Commit(std::vector<PendingWrite>& aWrites);
  void CommitEach(std::vector<PendingWrite>& aWrites);
  WriteResult CommitOne(PendingWrite& aWrite);
  WriteResult ReadBack(const PendingWrite& aWrite);
  store::TransactionRequest MakeTransaction(
    const std::vector<PendingWrite*>& aWrites) const;

  Execute mExecute;
  std::chrono::milliseconds mTimeout;
  std::int64_t mLease{ 0 };
  timing::Instant mLeaseGrantedAt;
  std::mutex mMutex;
  std::condition_variable_any mQueued;
  std::deque<PendingWrite> mQueue;
  std::jthread mThread;
};

}

#endif
