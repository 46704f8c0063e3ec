#ifndef SAMPHIRESAIL_APPS_TESTS_FRONTEND_FRONTENDFIXTURE_HPP
#define SAMPHIRESAIL_APPS_TESTS_FRONTEND_FRONTENDFIXTURE_HPP

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "components/frontend/plannedstop.hpp"
#include "components/logging/logger.hpp"
#include "components/metrics/registry.hpp"
#include "platform/dialect.hpp"

namespace samphiresail::frontend::testing {

/// Endpoint on the loopback address that responds to each request with the next script
/// and records the requests.
class ScriptedEndpoint
{
public:
  struct Script
  {
    std::string mBytes;
    /// Closes the connection after the bytes; otherwise waits for the next request.
    bool mClose{ false };
    /// Sends nothing and waits until the peer closes the connection.
    bool mSilent{ false };
    /// Ends the endpoint after the bytes: all its connections close, and new ones are
    /// refused.
    bool mCrash{ false };
    /// Further bytes, sent a little later.
    std::string mSecondPart;
    /// Bytes that follow, each after a pause; needs MeasurePausesBy().
    std::vector<std::pair<timing::Duration, std::string>> mLater;
    /// Resets the connection where it would otherwise be closed.
    bool mReset{ false };
    /// Ends the sending direction after the bytes, and resets the connection after that
    /// time of the operating system's clock.
    std::optional<std::chrono::milliseconds> mResetAfterEnd{};
    /// Sends the bytes once the head of the request is read, and never reads its body.
    bool mBeforeBody{ false };
  };

  /// With aAcceptAfter, attempts to connect get no response for that time, of the
  /// operating system's clock; the kernel repeats them after a second.
  explicit ScriptedEndpoint(asio::io_context& aIo,
                            std::chrono::milliseconds aAcceptAfter = {});

  /// Pauses in responses end at the first tick after their time by the clock.
  void MeasurePausesBy(const timing::Clock& aClock, Signal& aTick)
  {
    mClock = &aClock;
    mTick = &aTick;
  }

  void AddScript(const Script& aScript) { mScripts.push_back(aScript); }
  std::uint16_t Port() const { return mPort; }
  /// Bytes that the peers' system has taken of the scripts' first parts.
  std::size_t BytesSent() const { return mBytesSent; }
  /// Heads and bodies of the received requests.
  const std::vector<std::string>& Requests() const { return mRequests; }
  /// Connections that the peer closed while a silent script waited.
  int Disconnects() const { return mDisconnects; }
  int Connections() const { return mConnections; }
  bool Crashed() const { return !mAcceptor.is_open(); }

private:
  asio::awaitable<void> Accept(std::chrono::milliseconds aAcceptAfter);
  asio::awaitable<void> Serve(tcp::socket aSocket);

  asio::awaitable<ErrorCode> SendLater(tcp::socket& aSocket, const Script& aScript);

  asio::io_context& mIo;
  const timing::Clock* mClock{ nullptr };
  Signal* mTick{ nullptr };
  tcp::acceptor mAcceptor;
  std::uint16_t mPort;
  std::deque<Script> mScripts;
  std::vector<std::string> mRequests;
  int mDisconnects{ 0 };
  int mConnections{ 0 };
  std::size_t mBytesSent{ 0 };
};

/// Clock of the operating system, moved ahead by the test.
class ShiftedClock final : public timing::Clock
{
public:
  timing::Instant Now() const override { return mClock.Now() + mShift; }
  timing::WallTime WallNow() const override { return mClock.WallNow(); }
  void Advance(timing::Duration aStep) { mShift += aStep; }

private:
  timing::SystemClock mClock;
  timing::Duration mShift{ 0 };
};

/// The HTTP front end of an entry on the loopback address, with one service of scripted
/// endpoints.
class Fixture
{
public:
  Fixture();

  /// Most connections of callers.
  static constexpr std::size_t kMaxCallers = 100;
  /// Memory for the bodies of requests, and for responses.
  static constexpr std::size_t kMemoryOfBudget = 48U << 20U;
  /// Time after which a request without a response is counted as run.
  static constexpr timing::Duration kLongRun = std::chrono::milliseconds(850);

  /// Adds an endpoint; those in z1, the availability zone of the entry, are preferred.
  ScriptedEndpoint& AddEndpoint(const std::string& aId,
                                const std::string& aZone = "z1",
                                std::chrono::milliseconds aAcceptAfter = {});
  /// Sends bytes as one caller and returns all bytes received until the connection ends
  /// or aIsComplete returns true.
  std::string Call(const std::string& aBytes,
                   const std::function<bool(const std::string&)>& aIsComplete);
  /// The same as a caller with a small buffer that begins to read after a while.
  std::string CallAndReadLate(const std::string& aBytes,
                              std::chrono::milliseconds aPause,
                              const std::function<bool(const std::string&)>& aIsComplete);
  /// The same as a caller that sends its bytes in parts, each after a pause; needs
  /// StartTicks().
  std::string CallInParts(
    const std::vector<std::pair<timing::Duration, std::string>>& aParts,
    const std::function<bool(const std::string&)>& aIsComplete);
  /// Sends bytes as a caller that disconnects once the endpoint has the request, and runs
  /// until aDone returns true.
  void CallAndDisconnect(const std::string& aBytes, const std::function<bool()>& aDone);

  /// Lets time pass between calls.
  void RunFor(std::chrono::milliseconds aTime) { mIo.run_for(aTime); }

  /// Runs a change while a call is in progress and then notifies waiting requests, as the
  /// tick does.
  void RunDuringCall(const std::function<void()>& aChange);

  /// Runs the periodic tick during calls. The clock is faster than the time of the test.
  void StartTicks() { StartTicks(kFastTickStep); }
  /// The same in the time of the test.
  void StartTicksInRealTime() { StartTicks(kTickPause); }

  /// Runs a change once the time has passed by the clock; needs StartTicks().
  void RunAfter(timing::Duration aTime, const std::function<void()>& aChange);

  /// The same, once a request has been admitted and then the time has passed.
  void RunAfterAdmission(timing::Duration aTime, const std::function<void()>& aChange);

  /// Replaces the configuration by one that aChange has changed.
  void ChangeConfiguration(
    const std::function<void(gateway::ServingConfiguration&)>& aChange);

  std::string Log() const { return mLog.str(); }
  std::string MetricsText() const { return mRegistry.Text(); }
  timing::Instant Now() const { return mClock.Now(); }
  /// Runs what a process does on each tick. Returns true if a planned stop is over.
  bool Tick();
  /// Moves the clock ahead without running anything.
  void Advance(std::chrono::milliseconds aTime) { mClock.Advance(aTime); }
  bool BeginStop(std::chrono::milliseconds aGrace);
  /// Lets the clock advance, and runs what becomes ready, until the condition is true or
  /// the time has passed. Returns true if a planned stop is over, which ends the time.
  bool Pass(std::chrono::milliseconds aTime, const std::function<bool()>& aUntil = {});

  std::uint16_t Port() const { return mPort; }
  std::size_t Exchanges() const { return mExchanges.Size(); }

  /// Called while a request waits for an adapter.
  std::function<void(const gateway::RequestMetadata&)> mOnWaitingForAdapter;
  /// Requests that were counted as run, by account, with the instant at which each began.
  std::vector<std::pair<ids::ClientAccountId, timing::Instant>> mRan;
  /// Is told of no ticks by itself, so that the entry is not behind.
  timing::EventLoopLag mLag{ std::chrono::milliseconds(40) };
  logging::LineLimiter mUnsentLines;
  limits::ByteBudget mConnectionBytes{ kMemoryOfBudget };
  limits::ByteBudget mRequestBytes{ kMemoryOfBudget };
  limits::ByteBudget mResponseBytes{ kMemoryOfBudget };
  gateway::TrafficControl mControl{ ids::AvailabilityZoneId("z1"), 11 };
  asio::io_context mIo{ 1 };

private:
  /// Time between two ticks, by the fixture's clock and in real time.
  static constexpr std::chrono::milliseconds kFastTickStep{ 20 };
  static constexpr std::chrono::milliseconds kTickPause{ 1 };

  void StartTicks(std::chrono::milliseconds aStep);
  asio::awaitable<void> TickLoop(std::chrono::milliseconds aStep);
  std::string RunCaller(const std::string& aBytes,
                        std::chrono::milliseconds aPause,
                        const std::function<bool(const std::string&)>& aIsComplete);

  ShiftedClock mClock;
  std::ostringstream mLog;
  logging::Logger mLogger{ "test", logging::Level::Info, mLog };
  metrics::Registry mRegistry;
  GatewayMetrics mMetrics{ mRegistry };
  platform::PlatformDialect mDialect;
  BackendPool mBackends{ mIo, mConnectionBytes };
  ExchangeTable mExchanges;
  Signal mSignal{ mIo };
  FrontendContext mContext;
  std::unique_ptr<CallerListener> mListener;
  std::unique_ptr<PlannedStop> mStop;
  std::uint16_t mPort;
  std::vector<std::unique_ptr<ScriptedEndpoint>> mEndpoints;
};

/// Returns a successful response of an endpoint with the request's identifier and a
/// digest.
std::string ResponseWithDigest(const std::string& aRequestId, const std::string& aBody);

}

#endif
