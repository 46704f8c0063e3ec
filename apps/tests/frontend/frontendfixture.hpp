#ifndef SAMPHIRESAIL_APPS_TESTS_FRONTEND_FRONTENDFIXTURE_HPP
#define SAMPHIRESAIL_APPS_TESTS_FRONTEND_FRONTENDFIXTURE_HPP

#include <deque>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "components/frontend/listener.hpp"
#include "components/logging/logger.hpp"
#include "components/metrics/registry.hpp"
#include "platform/dialect.hpp"

namespace samphiresail::frontend::testing {

/// Endpoint on the loopback address that answers each request with the next script and
/// keeps what it was sent.
class ScriptedEndpoint
{
public:
  struct Script
  {
    std::string mBytes;
    /// Ends the connection after the bytes; otherwise it waits for the next request.
    bool mClose{ false };
    /// Sends nothing and waits for the caller's end of the connection.
    bool mSilent{ false };
  };

  explicit ScriptedEndpoint(asio::io_context& aIo);

  void Expect(const Script& aScript) { mScripts.push_back(aScript); }
  std::uint16_t Port() const { return mAcceptor.local_endpoint().port(); }
  /// Heads and bodies of the requests that came.
  const std::vector<std::string>& Requests() const { return mRequests; }
  /// Connections that the other side ended while a silent script waited.
  int Abandoned() const { return mAbandoned; }

private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(tcp::socket aSocket);

  asio::io_context& mIo;
  tcp::acceptor mAcceptor;
  std::deque<Script> mScripts;
  std::vector<std::string> mRequests;
  int mAbandoned{ 0 };
};

/// The whole front of an entry on the loopback address, with one service of scripted
/// endpoints.
class Fixture
{
public:
  Fixture();

  /// Adds an endpoint; the first ones are preferred, being in the entry's own zone.
  ScriptedEndpoint& AddEndpoint(const std::string& aId, const std::string& aZone = "z1");
  /// Sends bytes as one caller and returns all that comes back until the connection ends
  /// or aEnough holds.
  std::string Call(const std::string& aBytes,
                   const std::function<bool(const std::string&)>& aEnough);
  /// Sends bytes as a caller that leaves at once, and runs until aDone holds.
  void CallAndLeave(const std::string& aBytes, const std::function<bool()>& aDone);

  /// Does something while a call is under way, as the tick would.
  void Later(const std::function<void()>& aChange);

  gateway::TrafficControl mControl{ ids::AvailabilityZoneId("z1"), 11 };

private:
  asio::io_context mIo{ 1 };
  timing::SystemClock mClock;
  std::ostringstream mLog;
  logging::Logger mLogger{ "test", logging::Level::Info, mLog };
  metrics::Registry mRegistry;
  GatewayMetrics mMetrics{ mRegistry };
  platform::PlatformDialect mDialect;
  BackendPool mBackends{ mIo };
  ExchangeTable mExchanges;
  Signal mSignal{ mIo };
  FrontendContext mContext;
  std::unique_ptr<CallerListener> mListener;
  std::uint16_t mPort;
  std::vector<std::unique_ptr<ScriptedEndpoint>> mEndpoints;
};

/// Returns the answer of an endpoint with its identifier and digest.
std::string Sealed(const std::string& aRequestId, const std::string& aBody);

}

#endif
