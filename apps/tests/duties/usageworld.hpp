#ifndef SAMPHIRESAIL_APPS_TESTS_DUTIES_USAGEWORLD_HPP
#define SAMPHIRESAIL_APPS_TESTS_DUTIES_USAGEWORLD_HPP

#include <deque>
#include <memory>
#include <random>
#include <sstream>

#include "apps/samphiresail/gateway/usageduty.hpp"
#include "components/frontend/signal.hpp"

namespace samphiresail::duties::testing {

/// A fleet of entries that report usage, over a store, a network and an interface of the
/// platform in memory, on one clock that the test advances. The real UsageDuty and
/// Leadership run; what a process may suffer is brought about by the members.
class World
{
public:
  static constexpr std::chrono::milliseconds kWindow{ 5000 };
  static constexpr timing::Duration kTick = std::chrono::milliseconds(40);

  explicit World(std::size_t aEntries, unsigned aSeed = 1);
  ~World();

  void Run(timing::Duration aTime);
  /// The entry whose name is in the leader's record; 0 if there is none.
  std::size_t Leader() const;
  void Kill(std::size_t aEntry);
  /// Starts the entry anew under the same name.
  void Restart(std::size_t aEntry);
  void Freeze(std::size_t aEntry, bool aFrozen);
  /// Creates the record of a window with a count, without any entry seeing it.
  void RecordUnseen(Window aWindow, std::uint64_t aCount);
  void SetWallClockForward(std::size_t aEntry, timing::Duration aBy);

  /// Fraction of the store's responses to transactions, and of datagrams, that are lost.
  double mStoreLoss{ 0.0 };
  double mDatagramLoss{ 0.0 };
  /// Two entries that do not get each other's datagrams.
  std::pair<std::size_t, std::size_t> mCutOff;
  /// Until when calls of the platform take no effect; they take effect then, although
  /// their senders have given them up.
  timing::Instant mApiSlowUntil{};
  /// Called before a report's record is created; with true, the writer is killed once the
  /// record is there.
  bool mKillAfterRecord{ false };

  /// Faults against the rules that were seen: two different reports of a window, a token
  /// of two holders, a holder that acts again within the lease after another.
  std::string mFaults;
  std::size_t mRejections{ 0 };
  struct Report
  {
    std::uint64_t mCount;
    std::chrono::milliseconds mAfterEnd;
  };
  std::map<Window, Report> mReports;
  /// Requests that ran, by window of the true time.
  std::map<Window, std::uint64_t> mTruth;
  /// Windows that ended before aBefore the present and were not reported in time, or
  /// whose count deviates by more than the fraction.
  std::string Wrong(double aTolerance, timing::Duration aBefore) const;

private:
  struct Entry;
  struct Record
  {
    std::string mValue;
    std::int64_t mCreated{ 0 };
    std::int64_t mLease{ 0 };
  };
  struct Call
  {
    timing::Instant mEffectAt;
    std::int64_t mToken;
    std::string mHolder;
    std::string mBody;
  };

  std::chrono::milliseconds TrueTime() const;
  frontend::asio::awaitable<void> WaitUntil(const Entry& aEntry, timing::Instant aTime);
  store::StoreReply Apply(const store::TransactionRequest& aRequest);
  void Put(const std::string& aKey, const std::optional<Record>& aRecord);
  ReportOutcome Take(const Call& aCall);
  void Lead(Entry& aEntry);
  void Step();
  bool Chance(double aProbability);

  // Before all that waits on it.
  frontend::asio::io_context mIo{ 1 };
  frontend::Signal mStepped{ mIo };
  timing::Instant mNow{ std::chrono::hours(1) };
  std::mt19937 mRandom;
  std::ostringstream mLog;
  logging::Logger mLogger;
  std::map<std::string, Record> mRecords;
  std::int64_t mRevision{ 10 };
  std::map<std::int64_t, timing::Instant> mLeases;
  std::vector<Call> mCalls;
  std::int64_t mHighestToken{ 0 };
  std::map<std::int64_t, std::string> mHolders;
  std::vector<std::pair<timing::Instant, std::string>> mActs;
  std::vector<std::unique_ptr<Entry>> mEntries;
  /// Kept, since coroutines of killed processes refer to them.
  std::vector<std::unique_ptr<Entry>> mDead;
};

}

#endif
