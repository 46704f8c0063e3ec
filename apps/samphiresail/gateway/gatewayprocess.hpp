#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_GATEWAYPROCESS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_GATEWAYPROCESS_HPP

#include <array>
#include <memory>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "apps/samphiresail/gateway/gatewaycommand.hpp"
#include "apps/samphiresail/gateway/usageduty.hpp"
#include "components/frontend/plannedstop.hpp"
#include "components/frontend/portopening.hpp"
#include "components/gateway/leadership.hpp"
#include "components/gateway/ordertracker.hpp"
#include "components/gateway/peertable.hpp"
#include "components/gateway/platformport.hpp"
#include "components/gateway/quarantinewriters.hpp"
#include "components/gateway/trafficcontrol.hpp"
#include "components/logging/boundedoutput.hpp"
#include "components/logging/logger.hpp"
#include "components/metrics/registry.hpp"
#include "components/settings/filewatch.hpp"
#include "platform/dialect.hpp"
#include "platform/dutycalls.hpp"
#include "platform/enginecalls.hpp"
#include "platform/settings.hpp"
#include "platform/storewatcher.hpp"

namespace samphiresail::gatewayapp {

/// An entry on the platform: one event loop that forwards the callers' requests and runs
/// the periodic decisions (load reports, placement, maintenance) on a coarse tick.
class GatewayProcess final : public gateway::PlatformListener
{
public:
  GatewayProcess(const GatewayOptions& aOptions,
                 std::string aSettingsPath,
                 platform::Settings aSettings,
                 const timing::Clock& aClock);

  /// Runs until a stop signal is received and the last request has finished, or until the
  /// grace period for the stop is nearly over. Throws std::runtime_error if a port that
  /// it needs cannot be opened.
  void Run();

  bool WantsEveryVersion() const override;
  void OnConfigurationVersion(const gateway::ConfigurationVersion& aVersion) override;
  void OnConfiguration(
    std::shared_ptr<gateway::ServingConfiguration> aConfiguration) override;
  void OnConfigurationUnreadable(
    std::shared_ptr<const gateway::ServingConfiguration> aReadable) override;
  void OnZoneOut(const ids::AvailabilityZoneId& aZone, bool aOut) override;
  void OnEndpoint(gateway::EndpointReport aReport) override;
  void OnEndpointGone(const ids::EndpointId& aId) override;
  /// Called if an endpoint says in a response to an order or report that it is leaving.
  void OnEndpointLeaving(const gateway::EndpointReport& aEndpoint);
  void OnHistory(gateway::StoreRevision aAfter, gateway::StoreRevision aThrough) override;
  std::optional<gateway::StoreRevision> TakeReplayStart() override;
  void OnFullReading(const gateway::FullReading& aReading) override;
  void OnOwnRecord(const gateway::OwnRecord& aRecord) override;
  void OnAnswered(timing::Instant aBegan) override;
  void OnConfirmed(timing::Instant aAsOf) override;
  void OnContactLost(const std::string& aReason) override;

private:
  frontend::asio::awaitable<void> TickLoop();
  void Tick(timing::Instant aNow);
  /// Returns how long this entry waits before it takes over a vacant leadership.
  std::chrono::milliseconds LeadershipTakeoverDelay(timing::Instant aNow) const;
  frontend::asio::awaitable<void> LeadershipLoop();
  frontend::asio::awaitable<void> ExecuteLeadershipStep(gateway::Leadership::Step aStep);
  frontend::asio::awaitable<void> ReceivePeerReports();
  void OnPeerReport(gateway::PeerReport aReport, std::string_view aBytes);
  gateway::PeerReport OwnReport(timing::Instant aNow);
  /// Adds the adapters that requests wait for, and those that this leader has loaded.
  void AddAdapters(gateway::PeerReport& aReport, timing::Instant aNow);
  /// Sends this entry's report and, if it is the aggregator, its zone's sums.
  void SendPeerReport(timing::Instant aNow);
  void SendZoneReport(const gateway::PeerReport& aOwnReport, timing::Instant aNow);
  /// Sends the awaited adapters to the leader, or, if this is the leader, the loaded ones
  /// to all entries.
  void SendNotice(timing::Instant aNow);
  /// Sends the findings on parts of prompts to all entries and logs what changed.
  void ReportFindings(timing::Instant aNow);
  /// Creates and deletes the store's records of the causes in quarantine; the leader
  /// takes those over whose writer has left.
  void UpdateQuarantineRecords(timing::Instant aNow);
  void SendDatagram(const std::string& aBytes, const settings::SocketAddress& aTo);
  /// Reports to the leader that a request waits for an adapter.
  void RequestAdapter(const gateway::RequestMetadata& aMetadata);
  /// Returns the adapters that requests of all entries wait for, by HashName of model and
  /// adapter.
  std::unordered_set<std::uint64_t> AwaitedAdapters(timing::Instant aNow);
  void ForgetOldAwaitedAdapters(timing::Instant aNow);
  /// Sends a notice now, or as soon as the minimum interval has passed since the last
  /// one.
  void SendNoticeSoon();
  /// Publishes that an order of this leader has loaded an adapter.
  void OnAdapterLoaded(const ids::EndpointId& aEndpoint,
                       const gateway::EngineOrder& aOrder);
  /// Returns the interval between two reports, unless one is sent early.
  std::chrono::milliseconds PeerReportInterval(timing::Instant aNow) const;
  /// Returns how old the loads of other entries are at most, without losses.
  std::chrono::milliseconds PeerReportAge(timing::Instant aNow) const;
  /// Updates what depends on the number of entries and on their reports: this entry's
  /// shares of limits and quotas, and the loads of endpoints.
  void UpdateShares(timing::Instant aNow);
  /// Compares engines by pace only where endpoints report that they share their machines
  /// with other work. Where they do not, engines are alike, and the queues alone serve
  /// more requests in time.
  void UpdateEnginePolicy();
  /// Logs the limits of endpoints that have changed, and updates their metric.
  void ReportLimits();
  /// Updates the other entries' load at each endpoint from their latest reports.
  void UpdatePeersLoad(timing::Instant aNow);
  void OnLeaderRecord(const gateway::LeaderRecord& aRecord);
  /// Gives up what rests on records of the store that a restore may have taken back.
  void OnStoreRestored();
  /// Ends the first complete reading of a restored store.
  void OnRestoredRead(const gateway::FullReading& aReading);
  /// Ends the registrations of entries without a record, once they had time to write it
  /// again.
  void RetainRegistrations(const gateway::FullReading& aReading, timing::Instant aNow);
  void EndAwaitedRegistrations(timing::Instant aNow);
  /// Compares what this process has read of the store with what other entries report.
  void CompareWithPeers(timing::Instant aNow);
  /// Takes the number of entries that the store's record states; none if there is none.
  void OnEntryCountRecord(std::optional<std::size_t> aEntries);
  /// Takes what a record says of the accounts of all versions; none if it is not there.
  void OnKeyRecord(std::string_view aKey, const std::optional<std::string>& aValue);
  /// Logs whether routes that are not public need a key, if that has changed.
  void LogKeyRequirement();
  /// Writes what is known of the accounts of all versions of the configuration, if the
  /// store lacks it: the leader at once, the others after a while.
  void StoreKeyRequirement(timing::Instant aNow);
  /// Writes the number of known entries to the store if it exceeds the recorded maximum.
  void StoreEntryCount();
  /// If this entry leads, plans loads and unloads and sends the orders that are due.
  void PlaceModels(timing::Instant aNow);
  /// Logs the models with the highest demand, with the engines that hold each.
  void LogPlacement(const gateway::Service& aService,
                    const gateway::DemandLookup& aDemand);
  /// Requests a report from an engine or sends it an order, and processes the outcome.
  frontend::asio::awaitable<void> ExecuteAction(gateway::EngineAction aAction,
                                                gateway::EndpointReport aEndpoint,
                                                std::int64_t aToken);
  frontend::asio::awaitable<void> HandleSignals();
  void BeginStop();
  void Reload();
  bool Ready(timing::Instant aNow) const;
  frontend::StatusListener::Response Readiness() const;
  void ApplySettings();
  /// Creates the duty of reporting usage, if the settings ask for it.
  void CreateUsageDuty();
  /// Opens the ports; one that is in use is tried again for a while. Only that of the
  /// metrics may fail.
  void OpenPorts();
  void OpenPeerSocket();

  GatewayOptions mOptions;
  std::string mSettingsPath;
  platform::Settings mSettings;
  settings::FileWatch mSettingsWatch;
  const timing::Clock& mClock;
  logging::BoundedOutput mLogOutput;
  std::ostream mLogStream;
  logging::Logger mLogger;
  metrics::Registry mRegistry;
  frontend::GatewayMetrics mMetrics;
  timing::EventLoopLag mLag;
  logging::LineLimiter mUnsentLines;
  // Before the event loop, which destroys the requests in progress with their shares.
  limits::ByteBudget mConnectionBytes;
  limits::ByteBudget mRequestBytes;
  limits::ByteBudget mResponseBytes;
  boost::asio::io_context mIo{ 1 };
  std::uint64_t mIncarnation;
  std::mt19937_64 mRandom;
  /// Descriptors that the process may have.
  std::size_t mMaxDescriptors;
  gateway::TrafficControl mControl;
  gateway::PeerTable mPeers;
  gateway::Leadership mLeadership;
  gateway::OrderTracker mOrderTracker;
  platform::PlatformDialect mDialect;
  platform::HttpClient mClient;
  platform::PlatformStore mStore;
  platform::EngineCalls mEngines;
  platform::StoreWatcher mStoreWatcher;
  frontend::BackendPool mBackends;
  frontend::ExchangeTable mExchanges;
  frontend::Signal mPlacementChanged;
  frontend::FrontendContext mFrontend;
  frontend::CallerListener mCallers;
  frontend::PlannedStop mStop;
  frontend::StatusListener mReadiness;
  std::unique_ptr<frontend::StatusListener> mMetricsListener;
  boost::asio::ip::udp::socket mPeerSocket;
  boost::asio::signal_set mSignals;
  /// Not set unless usage is reported.
  std::unique_ptr<platform::DutyCalls> mDutyCalls;
  std::unique_ptr<UsageDuty> mUsageDuty;
  std::array<char, 65536> mDatagram{};
  std::uint64_t mPeerReportSequence{ 0 };
  gateway::QuarantineWriters mQuarantineWriters;
  timing::Instant mNextPeerReport{};
  timing::Instant mLastNotice{};
  timing::Instant mNextNotice{ timing::Instant::max() };
  /// Quotas are shared with the other entries, rather than divided equally.
  bool mQuotasShared{ false };
  /// Adapters that this leader's orders have loaded recently, with the time of each.
  std::vector<std::pair<timing::Instant, gateway::LoadedAdapter>> mRecentAdapterLoads;
  timing::Instant mNextPlacement{};
  timing::Instant mNextPlacementLog{};
  timing::Instant mNextMaintenance{};
  /// Since when the store lacks what is known of the accounts of all versions; none if it
  /// does not.
  std::optional<timing::Instant> mKeyRecordLacks;
  /// The store was restored from a backup and not read completely since.
  bool mReadsRestored{ false };
  /// Entries that have not written their records again since a restore.
  std::set<ids::ProcessId> mAwaitedRegistrations;
  /// Revision at which the restored store was first read.
  gateway::StoreRevision mRestoredRevision{ 0 };
  /// Revision of the version of the configuration that was reported last.
  gateway::StoreRevision mReportedRevision{ 0 };
  /// What was logged last of the age of what was read.
  bool mLoggedOutdated{ false };
  /// A restore took the number of entries back that this entry knows.
  bool mEntryCountLost{ false };
  /// What was logged last of the need for keys.
  std::string_view mLoggedKeyRequirement;
  timing::Instant mLastTick{};
  bool mLeading{ false };
  /// Adapters that requests wait for, by HashName of model and adapter, with the instant
  /// at which a request for it last waited.
  std::unordered_map<std::uint64_t, timing::Instant> mAwaitedAdapters;
  /// Current leader according to the store; empty if there is none or it is not known.
  ids::ProcessId mLeader;
  /// Reports were received since the peers' loads were last updated.
  bool mPeerLoadsChanged{ false };
  /// The endpoints were read completely from the store at least once.
  bool mEndpointsRead{ false };
  bool mStopped{ false };
  /// The error for which the process ends; empty if there is none.
  std::string mFailure;
};

}

#endif
