#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_GATEWAYPROCESS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_GATEWAYPROCESS_HPP

#include <array>
#include <memory>
#include <ostream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "apps/samphiresail/gateway/gatewaycommand.hpp"
#include "components/frontend/listener.hpp"
#include "components/gateway/leadership.hpp"
#include "components/gateway/ordertracker.hpp"
#include "components/gateway/peertable.hpp"
#include "components/gateway/platformport.hpp"
#include "components/gateway/trafficcontrol.hpp"
#include "components/logging/boundedoutput.hpp"
#include "components/logging/logger.hpp"
#include "components/metrics/registry.hpp"
#include "components/settings/filewatch.hpp"
#include "platform/dialect.hpp"
#include "platform/enginecalls.hpp"
#include "platform/settings.hpp"
#include "platform/storewatcher.hpp"

namespace samphiresail::gatewayapp {

/// An entry on the platform: one event loop that carries the callers' requests and runs
/// the decision cores on a coarse tick.
class GatewayProcess final : public gateway::PlatformListener
{
public:
  GatewayProcess(const GatewayOptions& aOptions,
                 std::string aSettingsPath,
                 platform::Settings aSettings,
                 const timing::Clock& aClock);

  /// Runs until the process was told to stop and its last request is answered.
  void Run();

  void OnConfiguration(
    std::shared_ptr<gateway::ServingConfiguration> aConfiguration) override;
  void OnZoneOut(const ids::AvailabilityZoneId& aZone, bool aOut) override;
  void OnEndpoint(gateway::EndpointReport aReport) override;
  void OnEndpointGone(const ids::EndpointId& aId) override;
  void OnFullReading(const gateway::FullReading& aReading) override;
  void OnOwnRecord(const std::string& aKey,
                   const std::optional<std::string>& aValue,
                   std::int64_t aCreateRevision,
                   std::int64_t aLease) override;
  void OnAnswered(timing::Instant aBegan) override;
  void OnConfirmed(timing::Instant aAsOf) override;
  void OnContactLost(const std::string& aReason) override;

private:
  frontend::asio::awaitable<void> TickLoop();
  void Tick(timing::Instant aNow);
  /// How long this entry leaves a vacant leadership to others.
  std::chrono::milliseconds LeadershipYield(timing::Instant aNow) const;
  frontend::asio::awaitable<void> LeaseLoop();
  frontend::asio::awaitable<void> TakeLeaseStep(gateway::Leadership::Step aStep);
  frontend::asio::awaitable<void> ReceivePeerReports();
  void SendPeerReport(timing::Instant aNow);
  void SendDatagram(const std::string& aBytes, const settings::SocketAddress& aTo);
  /// Tells the leader that a request waits for an adapter.
  void AskForAdapter();
  /// Brings the next report forward, within kMinPeerReportInterval of the last one.
  void SendPeerReportSoon();
  void NoteLoaded(const ids::EndpointId& aEndpoint, const gateway::EngineOrder& aOrder);
  /// Pause between two reports when nothing hurries them.
  std::chrono::milliseconds PeerReportInterval(timing::Instant aNow) const;
  void UpdateShares(timing::Instant aNow);
  /// Takes the other entries' requests in flight from their latest reports.
  void UpdateLoads(timing::Instant aNow);
  /// Records in the store how many entries there are, if they are more than ever.
  void RecordEntries();
  void PlaceModels(timing::Instant aNow);
  frontend::asio::awaitable<void> Act(gateway::EngineAction aAction,
                                      gateway::EndpointReport aEndpoint,
                                      std::int64_t aToken);
  frontend::asio::awaitable<void> HandleSignals();
  void BeginStop();
  void Reload();
  bool Ready(timing::Instant aNow) const;
  frontend::StatusListener::Response Readiness() const;
  void ApplySettings();

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
  boost::asio::io_context mIo{ 1 };
  std::uint64_t mIncarnation;
  gateway::TrafficControl mControl;
  gateway::PeerTable mPeers;
  gateway::Leadership mLeadership;
  gateway::OrderTracker mOrders;
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
  frontend::StatusListener mReadiness;
  std::unique_ptr<frontend::StatusListener> mMetricsListener;
  boost::asio::ip::udp::socket mPeerSocket;
  boost::asio::signal_set mSignals;
  std::array<char, 65536> mDatagram{};
  std::uint64_t mPeerReportSequence{ 0 };
  timing::Instant mNextPeerReport{};
  timing::Instant mLastPeerReport{};
  /// Adapters that were loaded by this leader's orders, with when.
  std::vector<std::pair<timing::Instant, gateway::LoadedAdapter>> mLoaded;
  timing::Instant mNextPlacement{};
  timing::Instant mNextUpkeep{};
  timing::Instant mStopBegan{ timing::Instant::max() };
  bool mLeading{ false };
  /// The next report says that a request waits for an adapter.
  bool mAdapterWanted{ false };
  /// Holder of the leader's record.
  ids::ProcessId mLeader;
  /// Reports came since the loads were last updated.
  bool mPeersChanged{ false };
  bool mEndpointsRead{ false };
  bool mStopped{ false };
};

}

#endif
