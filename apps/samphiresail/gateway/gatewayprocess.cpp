#include "apps/samphiresail/gateway/gatewayprocess.hpp"

#include <algorithm>
#include <csignal>
#include <random>
#include <stdexcept>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apps/samphiresail/gateway/recordkeys.hpp"
#include "components/frontend/requestlog.hpp"
#include "components/httpclient/responsebody.hpp"
#include "components/limits/descriptorlimit.hpp"

namespace samphiresail::gatewayapp {

namespace asio = boost::asio;
using asio::ip::udp;
using frontend::ErrorCode;
using frontend::RedirectError;
using std::chrono::milliseconds;

namespace {

/// Interval of Tick, and so the resolution of every deadline.
constexpr milliseconds kTickInterval{ 40 };
constexpr milliseconds kPlacementInterval{ 200 };
constexpr milliseconds kMaintenanceInterval{ 1000 };
/// Longest time for which a signal is assumed to have waited for the event loop.
constexpr milliseconds kMaxSignalDelay{ 300 };
/// Time that a new leader waits after the orders of an earlier one have expired.
constexpr milliseconds kOrderExpiryMargin{ 300 };
/// Time for which a port that is in use is tried again before the process ends.
constexpr std::chrono::seconds kPortRetryTime{ 10 };
/// The same for the port of the metrics, without which the process goes on.
constexpr std::chrono::hours kMetricsPortRetryTime{ 24 };
/// File descriptors reserved for connections to endpoints and the store, and for files.
constexpr std::size_t kReservedDescriptors = 1200;

/// Shares of the process's memory for the buffers of connections, for the bodies of
/// requests and for responses that are held. The rest is for records of the store and the
/// program itself.
constexpr double kConnectionMemoryShare = 0.2;
constexpr double kRequestMemoryShare = 0.3;
constexpr double kResponseMemoryShare = 0.2;

std::size_t ShareOf(std::size_t aMemory, double aShare)
{
  return static_cast<std::size_t>(static_cast<double>(aMemory) * aShare);
}

std::uint64_t RandomSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// Returns the shortest time between two calls that keeps all limits, each in calls a
/// second; 0 is no limit.
milliseconds CallInterval(std::initializer_list<double> aRates)
{
  constexpr double kMsPerSecond = 1000.0;
  double longest = 0.0;
  for (const double rate : aRates) {
    longest = std::max(longest, rate > 0.0 ? kMsPerSecond / rate : 0.0);
  }
  return milliseconds(static_cast<std::int64_t>(longest));
}

std::uint64_t WallClockMilliseconds(const timing::Clock& aClock)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(aClock.WallNow().time_since_epoch())
      .count());
}

}

GatewayProcess::GatewayProcess(const GatewayOptions& aOptions,
                               std::string aSettingsPath,
                               platform::Settings aSettings,
                               const timing::Clock& aClock)
  : mOptions(aOptions)
  , mSettingsPath(std::move(aSettingsPath))
  , mSettings(std::move(aSettings))
  , mSettingsWatch(mSettingsPath)
  , mClock(aClock)
  , mLogOutput(STDOUT_FILENO)
  , mLogStream(&mLogOutput)
  , mLogger(mSettings.mName.Str(), logging::ParseLevel(aOptions.mLogLevel), mLogStream)
  , mMetrics(mRegistry)
  , mLag(kTickInterval)
  , mConnectionBytes(ShareOf(mSettings.mMaxMemory, kConnectionMemoryShare))
  , mRequestBytes(ShareOf(mSettings.mMaxMemory, kRequestMemoryShare))
  , mResponseBytes(ShareOf(mSettings.mMaxMemory, kResponseMemoryShare))
  , mIncarnation(WallClockMilliseconds(aClock))
  , mRandom(RandomSeed())
  , mMaxDescriptors(limits::RaiseDescriptorLimit(mSettings.mMaxDescriptors))
  , mControl(mSettings.mZone, RandomSeed())
  , mPeers(mSettings.mName, aClock.Now(), mSettings.mZone, mSettings.mCores)
  , mLeadership(mSettings.mOrderLease + kOrderExpiryMargin,
                mSettings.mFirstStart,
                mSettings.mName,
                mIncarnation)
  , mClient(mIo, aClock)
  , mStore(mClient, mSettings.mStoreAddress)
  , mEngines(mClient,
             mSettings.mName,
             [this](const auto& aEndpoint) { OnEndpointLeaving(aEndpoint); })
  , mStoreWatcher(mIo, mStore, *this, aClock, mLogger, RandomSeed())
  , mBackends(mIo, mConnectionBytes)
  , mPlacementChanged(mIo)
  , mFrontend{ mIo,
               mClock,
               mDialect,
               mControl,
               mBackends,
               mExchanges,
               mLogger,
               mMetrics,
               mLag,
               mUnsentLines,
               mConnectionBytes,
               mRequestBytes,
               mResponseBytes,
               mPlacementChanged,
               [this](const auto& aMetadata) { RequestAdapter(aMetadata); } }
  , mCallers(mFrontend,
             mSettings.mCallerListenAddress,
             mMaxDescriptors > 2 * kReservedDescriptors
               ? mMaxDescriptors - kReservedDescriptors
               : mMaxDescriptors / 2)
  , mStop(mFrontend, mCallers)
  , mReadiness(mIo,
               mClock,
               mLogger,
               mSettings.mStatusListenAddress,
               [this](std::string_view) { return Readiness(); })
  , mPeerSocket(mIo)
  , mSignals(mIo, SIGTERM, SIGHUP, SIGINT)
{
  mClient.SetFaultHandler([this](const auto& aAddress, const auto& aError) {
    const bool truncated = httpclient::IsTruncated(aError);
    (truncated ? mMetrics.mTruncatedAnswers : mMetrics.mMalformedAnswers).Increment();
    mLogger.Warn(truncated ? "truncated answer" : "malformed answer",
                 { { "address", aAddress.mHost + ":" + std::to_string(aAddress.mPort) },
                   { "error", aError.message() } });
  });
  mStore.SetRestoreHandler([this] { OnStoreRestored(); });
  ApplySettings();
  CreateUsageDuty();
  if (mOptions.mMetricsPort != 0) {
    mMetricsListener = std::make_unique<frontend::StatusListener>(
      mIo,
      mClock,
      mLogger,
      settings::SocketAddress{ mSettings.mIp, mOptions.mMetricsPort },
      [this](std::string_view) {
        return frontend::StatusListener::Response{ 200, mRegistry.Text() };
      });
  }
}

void GatewayProcess::CreateUsageDuty()
{
  if (!mSettings.mCloudApi || !mSettings.mCloudApi->mReportsUsage) {
    return;
  }
  const platform::Settings::CloudApi& api = *mSettings.mCloudApi;
  mDutyCalls =
    std::make_unique<platform::DutyCalls>(mClient, api.mAddress, mSettings.mName);
  mUsageDuty = std::make_unique<UsageDuty>(
    UsageDuty::Context{
      mIo,
      mClock,
      mLogger,
      mRegistry,
      mStore,
      *mDutyCalls,
      mPeers,
      mLeadership,
      [this](const auto& aBytes, const auto& aTo) { SendDatagram(aBytes, aTo); } },
    duties::UsageTerms{ mSettings.mReportWindow,
                        mSettings.mReportLate,
                        CallInterval({ api.mRate, api.mDutyRate }) },
    mSettings.mName,
    mIncarnation);
  mFrontend.mOnRan = [this](const auto& aAccount, timing::Instant aBegan) {
    mUsageDuty->Count(aAccount, aBegan);
  };
}

void GatewayProcess::OpenPeerSocket()
{
  udp::socket socket(mIo);
  socket.open(udp::v4());
  socket.bind({ asio::ip::make_address_v4(mSettings.mIp), mSettings.mFirstPeerPort });
  socket.non_blocking(true);
  mPeerSocket = std::move(socket);
  asio::co_spawn(
    mIo, [this] { return ReceivePeerReports(); }, asio::detached);
}

void GatewayProcess::OpenPorts()
{
  const auto open = [this](std::string aPurpose,
                           settings::SocketAddress aAddress,
                           std::function<void()> aOpen) {
    const auto onFailure = [this](const std::string& aError) {
      mFailure = aError;
      mIo.stop();
    };
    frontend::PortOpening port{ std::move(aPurpose),
                                std::move(aAddress),
                                kPortRetryTime,
                                std::move(aOpen),
                                onFailure };
    asio::co_spawn(
      mIo, frontend::OpenPort(mIo, mLogger, std::move(port)), asio::detached);
  };
  open("callers", mSettings.mCallerListenAddress, [this] { mCallers.Start(); });
  open("readiness", mSettings.mStatusListenAddress, [this] { mReadiness.Start(); });
  open("messages between entries", { mSettings.mIp, mSettings.mFirstPeerPort }, [this] {
    OpenPeerSocket();
  });
  if (mMetricsListener) {
    const auto onFailure = [this](const std::string& aError) {
      mLogger.Error("metrics are not served", { { "error", aError } });
    };
    frontend::PortOpening port{ "metrics",
                                { mSettings.mIp, mOptions.mMetricsPort },
                                kMetricsPortRetryTime,
                                [this] { mMetricsListener->Start(); },
                                onFailure };
    asio::co_spawn(
      mIo, frontend::OpenPort(mIo, mLogger, std::move(port)), asio::detached);
  }
}

void GatewayProcess::ApplySettings()
{
  mControl.mRetryBudget.SetLimits({ mSettings.mRetryBudgetWindow,
                                    mSettings.mRetryBudgetRatio,
                                    mSettings.mRetryBudgetSlack });
  mControl.mStoreFreshness.SetBounds(mSettings.mConfigurationTime,
                                     mSettings.mRevocationTime);
  mControl.mCold.SetTolerance(mSettings.mColdOverage, mSettings.mColdSlack);
  mControl.mQuotas.SetTerms(
    { mSettings.mQuotaWindow, mSettings.mQuotaOverage, mSettings.mQuotaSlack });
}

void GatewayProcess::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
  mLogger.Info("start",
               { { "zone", mSettings.mZone.Str() },
                 { "first_start", mSettings.mFirstStart },
                 { "incarnation", mIncarnation },
                 { "descriptors", mMaxDescriptors },
                 { "descriptors_wanted", mSettings.mMaxDescriptors },
                 { "memory", mSettings.mMaxMemory } });
  OpenPorts();
  asio::co_spawn(
    mIo, [this] { return mStoreWatcher.Run(); }, asio::detached);
  asio::co_spawn(
    mIo, [this] { return LeadershipLoop(); }, asio::detached);
  asio::co_spawn(
    mIo, [this] { return HandleSignals(); }, asio::detached);
  asio::co_spawn(
    mIo, [this] { return TickLoop(); }, asio::detached);
  mIo.run();
  frontend::LogLeftOutLines(mFrontend, mClock.Now() + logging::LineLimiter::kWindow);
  mLogger.Info("stop",
               { { "requests_left", mExchanges.Size() }, { "failure", mFailure } });
  mLogOutput.Flush();
  if (!mFailure.empty()) {
    throw std::runtime_error(mFailure);
  }
}

asio::awaitable<void> GatewayProcess::TickLoop()
{
  asio::steady_timer timer(mIo);
  while (!mStopped) {
    ErrorCode ec;
    timer.expires_after(kTickInterval);
    mLag.ExpectTick(mClock.Now() + kTickInterval);
    co_await timer.async_wait(RedirectError(ec));
    mLag.OnTick(mClock.Now());
    try {
      Tick(mClock.Now());
    } catch (const std::exception& error) {
      // Without the tick no deadline and no stop would be kept.
      mLogger.Error("tick failed", { { "error", std::string(error.what()) } });
    }
    mStopped = mStop.IsOver(mClock.Now());
  }
  if (mUsageDuty) {
    mUsageDuty->SendLast(mClock.Now(), mLeader);
  }
  mIo.stop();
}

void GatewayProcess::Tick(timing::Instant aNow)
{
  mLastTick = aNow;
  mExchanges.Tick(aNow, [&](const frontend::Exchange& aExchange) {
    return mControl.IsStalled(aExchange.mAdmission, aExchange.mCurrent->mAttempt, aNow);
  });
  mCallers.Tick(aNow);
  mReadiness.Tick(aNow);
  if (mMetricsListener) {
    mMetricsListener->Tick(aNow);
  }
  mControl.Tick(aNow);
  mPeers.Tick(aNow);
  mPlacementChanged.Notify();
  if (aNow >= mNextPeerReport) {
    mNextPeerReport = aNow + PeerReportInterval(aNow);
    UpdateShares(aNow);
    SendPeerReport(aNow);
  } else if (mPeerLoadsChanged) {
    UpdatePeersLoad(aNow);
  }
  if (aNow >= mNextNotice) {
    SendNotice(aNow);
  }
  if (aNow >= mNextPlacement) {
    mNextPlacement = aNow + kPlacementInterval;
    PlaceModels(aNow);
  }
  if (mUsageDuty) {
    mExchanges.RecordLongRuns(aNow, UsageDuty::kLongRun);
    mUsageDuty->Tick(aNow, mLeader, mStop.Begun());
  }
  ReportFindings(aNow);
  UpdateQuarantineRecords(aNow);
  mLogOutput.Flush();
  if (aNow >= mNextMaintenance) {
    mNextMaintenance = aNow + kMaintenanceInterval;
    mBackends.Tick(aNow);
    if (const std::size_t dropped = mLogOutput.ResetDroppedLines()) {
      mLogger.Warn("log lines dropped", { { "lines", dropped } });
    }
    EndAwaitedRegistrations(aNow);
    StoreEntryCount();
    StoreKeyRequirement(aNow);
    if (mSettingsWatch.Changed()) {
      Reload();
    }
  }
}

asio::awaitable<void> GatewayProcess::HandleSignals()
{
  for (;;) {
    ErrorCode ec;
    const int signal = co_await mSignals.async_wait(RedirectError(ec));
    if (ec) {
      co_return;
    }
    if (signal == SIGHUP) {
      Reload();
    } else {
      BeginStop();
    }
  }
}

void GatewayProcess::BeginStop()
{
  // The signal came after the last tick; a tick that is long past was late itself.
  const timing::Instant now = mClock.Now();
  const timing::Instant signal = std::max(mLastTick, now - kMaxSignalDelay);
  if (!mStop.Begin(signal, mSettings.mStopGracePeriod)) {
    return;
  }
  mLogger.Info("stop begins", { { "requests", mExchanges.Size() } });
  if (mLeadership.Lease() != 0) {
    asio::co_spawn(
      mIo,
      [this]() -> asio::awaitable<void> {
        store::StoreRequest request = store::LeaseRevokeRequest{ mLeadership.Lease() };
        co_await mStore.Execute(std::move(request), kStoreTimeout);
      },
      asio::detached);
  }
}

void GatewayProcess::Reload()
{
  try {
    mSettings = platform::LoadSettings(mSettingsPath);
    ApplySettings();
    mLogger.Info("reload", { { "settings", mSettingsPath } });
  } catch (const std::exception& error) {
    mLogger.Error("reload failed; the old settings stay in force",
                  { { "error", std::string(error.what()) } });
  }
}

bool GatewayProcess::Ready(timing::Instant aNow) const
{
  return !mStop.Begun() && mCallers.IsOpen() && mControl.Configuration() &&
         mEndpointsRead && mControl.mStoreFreshness.IsReady(aNow);
}

frontend::StatusListener::Response GatewayProcess::Readiness() const
{
  return Ready(mClock.Now()) ? frontend::StatusListener::Response{ 200, "ready\n" }
                             : frontend::StatusListener::Response{ 503, "not ready\n" };
}

}
