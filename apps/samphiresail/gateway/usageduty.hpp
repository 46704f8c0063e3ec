#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_USAGEDUTY_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_USAGEDUTY_HPP

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "components/duties/truetime.hpp"
#include "components/duties/usagecounter.hpp"
#include "components/duties/usageledger.hpp"
#include "components/duties/usageport.hpp"
#include "components/duties/usagereporter.hpp"
#include "components/frontend/http.hpp"
#include "components/gateway/leadership.hpp"
#include "components/gateway/peertable.hpp"
#include "components/logging/logger.hpp"
#include "components/metrics/registry.hpp"
#include "components/store/asyncstore.hpp"

namespace samphiresail::gatewayapp {

/// The duty of reporting usage at one entry: counts the requests that endpoints began to
/// run for each client account, sends the counts to the leader and to two other entries,
/// and reports the sums while this entry is the leader.
class UsageDuty
{
public:
  /// Longest time by which the begin of a request lies before the instant at which it is
  /// counted. Until then no window is declared complete.
  static constexpr std::chrono::milliseconds kMaxBackdating =
    duties::UsageReporter::kSettleTime;
  /// Time after which a request without a response is counted, some ticks earlier.
  static constexpr std::chrono::milliseconds kLongRun =
    kMaxBackdating - std::chrono::milliseconds(150);

  using SendDatagram =
    std::function<void(const std::string&, const settings::SocketAddress&)>;

  /// What the duty uses of its process.
  struct Context
  {
    frontend::asio::io_context& mIo;
    const timing::Clock& mClock;
    logging::Logger& mLogger;
    metrics::Registry& mRegistry;
    store::AsyncStore& mStore;
    duties::UsagePort& mPort;
    const gateway::PeerTable& mPeers;
    gateway::Leadership& mLeadership;
    SendDatagram mSend;
  };

  UsageDuty(Context aContext,
            duties::UsageTerms aTerms,
            ids::ProcessId aOwn,
            std::uint64_t aIncarnation);

  /// Counts a request of an account that an endpoint began to run at an instant.
  void Count(const ids::ClientAccountId& aAccount, timing::Instant aBegan);
  /// Processes the time and the counts in a message of another entry.
  void OnReport(const gateway::PeerReport& aReport, timing::Instant aNow);
  /// Processes a record of this system in the store; ignores those of other kinds.
  void OnRecord(const std::string& aKey, const std::optional<std::string>& aValue);
  /// Processes the keys of this system's records in a complete read of the store.
  /// The store was restored from a backup: records of reports may be lost.
  void OnStoreRestored(timing::Duration aDelay, timing::Instant aNow)
  {
    mReporter.OnStoreRestored(aDelay, aNow);
  }
  void RetainRecords(const std::set<std::string>& aKeys);
  /// aLeader is the leader according to the store. aStopping is true once this process
  /// has given up its lease.
  void Tick(timing::Instant aNow, const ids::ProcessId& aLeader, bool aStopping);
  /// Sends the counts before the process ends.
  void SendLast(timing::Instant aNow, const ids::ProcessId& aLeader);
  /// Time since the Unix epoch, for the reports to other entries.
  std::chrono::milliseconds TimeAt(timing::Instant aNow) const { return mTime.At(aNow); }

private:
  void SampleTime(timing::Instant aNow);
  /// Forgets the counts of windows that are reported or too old to be.
  void ForgetFixed(timing::Instant aNow);
  /// Adds this entry's own counts to the ledger.
  void MergeOwn(timing::Instant aNow);
  void SendCounts(timing::Instant aNow, const ids::ProcessId& aLeader);
  /// Sends rows in messages of a bounded size.
  void SendRows(const std::vector<duties::UsageRow>& aRows,
                timing::Instant aNow,
                const settings::SocketAddress& aTo);
  /// Entries whose counts a report waits for.
  std::vector<ids::ProcessId> Awaited(timing::Instant aNow) const;
  void Hold(timing::Instant aNow, bool aStopping);
  void Execute(duties::UsageReporter::Action aAction, std::int64_t aToken);
  frontend::asio::awaitable<void> Fix(duties::UsageReporter::Action aAction);
  frontend::asio::awaitable<void> Read(duties::Window aWindow);
  frontend::asio::awaitable<void> Send(duties::UsageReporter::Action aAction,
                                       std::int64_t aToken);
  std::int64_t SumIn(const std::string& aBody) const;

  Context mContext;
  duties::UsageTerms mTerms;
  ids::ProcessId mOwn;
  std::uint64_t mIncarnation;
  duties::TrueTime mTime;
  duties::UsageCounter mCounter;
  duties::UsageLedger mLedger;
  duties::UsageReporter mReporter;
  /// Entries that were missing when the report of a window was made.
  std::map<duties::Window, std::string> mMissing;
  timing::Instant mNextSend{};
  std::optional<std::int64_t> mToken;
  metrics::Counter mFixed;
  metrics::Counter mSent;
  metrics::Counter mLate;
  metrics::Counter mGivenUp;
};

}

#endif
