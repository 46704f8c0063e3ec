#include "apps/tests/frontend/frontendfixture.hpp"

#include <array>
#include <atomic>
#include <limits>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace samphiresail::frontend::testing {

namespace {

const tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);
const ids::ServiceId kService("s");

/// Returns a currently unused port of the loopback address.
std::uint16_t FreePort(asio::io_context& aIo)
{
  const tcp::acceptor acceptor(aIo, kLoopback);
  return acceptor.local_endpoint().port();
}

gateway::Route MakeRoute(const std::string& aPrefix, gateway::RequestKind aKind)
{
  gateway::Route route;
  route.mName = aPrefix;
  route.mHost = "h.example";
  route.mPathPrefix = aPrefix;
  route.mKind = aKind;
  route.mResumable = aKind == gateway::RequestKind::Stream;
  route.mTimeout = std::chrono::seconds(20);
  route.mTargetLatency = std::chrono::seconds(1);
  route.mMaxAttempts = 2;
  route.mServices = { { kService, 1.0 } };
  return route;
}

std::shared_ptr<gateway::ServingConfiguration> Configuration()
{
  auto configuration = std::make_shared<gateway::ServingConfiguration>();
  configuration->mRoutes = { MakeRoute("/safe/", gateway::RequestKind::Idempotent),
                             MakeRoute("/once/", gateway::RequestKind::Irreversible),
                             MakeRoute("/slow/", gateway::RequestKind::Irreversible),
                             MakeRoute("/stream/", gateway::RequestKind::Stream) };
  configuration->mRoutes[2].mTargetLatency = std::chrono::seconds(6);
  gateway::Service service;
  service.mName = kService;
  configuration->mServices.push_back(service);
  gateway::ClientAccount account;
  account.mName = ids::ClientAccountId("club");
  account.mKeys = { "secret" };
  configuration->mAccounts.push_back(account);
  configuration->Index();
  return configuration;
}

}

std::string ResponseWithDigest(const std::string& aRequestId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + aRequestId +
         "\r\nResponse-Seal: s\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

ScriptedEndpoint::ScriptedEndpoint(asio::io_context& aIo,
                                   std::chrono::milliseconds aAcceptAfter)
  : mIo(aIo)
  , mAcceptor(aIo, kLoopback)
  , mPort(mAcceptor.local_endpoint().port())
{
  asio::co_spawn(
    mIo, [this, aAcceptAfter] { return Accept(aAcceptAfter); }, asio::detached);
}

asio::awaitable<void> ScriptedEndpoint::Accept(std::chrono::milliseconds aAcceptAfter)
{
  if (aAcceptAfter.count() > 0) {
    // The kernel drops attempts to connect while a queue of length 0 holds one.
    mAcceptor.listen(0);
    tcp::socket filler(mIo);
    filler.connect(mAcceptor.local_endpoint());
    asio::steady_timer timer(mIo, aAcceptAfter);
    co_await timer.async_wait(asio::use_awaitable);
  }
  for (;;) {
    ErrorCode ec;
    tcp::socket socket(mIo);
    co_await mAcceptor.async_accept(socket, RedirectError(ec));
    if (ec) {
      co_return;
    }
    ++mConnections;
    asio::co_spawn(mIo, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> ScriptedEndpoint::Serve(tcp::socket aSocket)
{
  beast::flat_buffer buffer;
  for (;;) {
    ErrorCode ec;
    http::request_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await http::async_read_header(aSocket, buffer, parser, RedirectError(ec));
    if (!ec && (mScripts.empty() || !mScripts.front().mBeforeBody)) {
      co_await http::async_read(aSocket, buffer, parser, RedirectError(ec));
    }
    if (ec || mScripts.empty()) {
      co_return;
    }
    std::ostringstream text;
    text << parser.get();
    mRequests.push_back(text.str());
    const Script script = mScripts.front();
    mScripts.pop_front();
    if (script.mSilent) {
      std::array<char, 1> byte{};
      co_await aSocket.async_read_some(asio::buffer(byte), RedirectError(ec));
      ++mDisconnects;
      co_return;
    }
    mBytesSent +=
      co_await asio::async_write(aSocket, asio::buffer(script.mBytes), RedirectError(ec));
    if (!script.mSecondPart.empty()) {
      asio::steady_timer timer(mIo, std::chrono::milliseconds(30));
      co_await timer.async_wait(RedirectError(ec));
      co_await asio::async_write(
        aSocket, asio::buffer(script.mSecondPart), RedirectError(ec));
    }
    if (!ec && !script.mLater.empty()) {
      ec = co_await SendLater(aSocket, script);
    }
    if (script.mResetAfterEnd) {
      aSocket.shutdown(tcp::socket::shutdown_send, ec);
      asio::steady_timer timer(mIo, *script.mResetAfterEnd);
      if (script.mResetAfterEnd->count() > 0) {
        co_await timer.async_wait(RedirectError(ec));
      }
    }
    if (script.mReset || script.mResetAfterEnd) {
      // The destructor would close it without a reset.
      aSocket.set_option(asio::socket_base::linger(true, 0), ec);
      aSocket.close(ec);
      co_return;
    }
    if (script.mCrash) {
      mAcceptor.close(ec);
      co_return;
    }
    if (ec || script.mClose) {
      co_return;
    }
  }
}

asio::awaitable<ErrorCode> ScriptedEndpoint::SendLater(tcp::socket& aSocket,
                                                       const Script& aScript)
{
  ErrorCode ec;
  for (const auto& [pause, bytes] : aScript.mLater) {
    const timing::Instant at = mClock->Now() + pause;
    while (mClock->Now() < at) {
      co_await mTick->Wait();
    }
    co_await asio::async_write(aSocket, asio::buffer(bytes), RedirectError(ec));
  }
  co_return ec;
}

Fixture::Fixture()
  : mContext{ mIo,
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
              mSignal,
              [this](const gateway::RequestMetadata& aMetadata) {
                if (mOnWaitingForAdapter) {
                  mOnWaitingForAdapter(aMetadata);
                }
              } }
  , mPort(FreePort(mIo))
{
  mContext.mOnRan = [this](const ids::ClientAccountId& aAccount, timing::Instant aBegan) {
    mRan.emplace_back(aAccount, aBegan);
  };
  mControl.SetConfiguration(Configuration(), mClock.Now());
  mControl.mStoreFreshness.ConfirmUpTo(mClock.Now());
  mControl.mRetryBudget.SetLimits({ std::chrono::seconds(10), 0.2, 50.0 });
  mListener = std::make_unique<CallerListener>(
    mContext, settings::SocketAddress{ "127.0.0.1", mPort }, kMaxCallers);
  mListener->Start();
  mStop = std::make_unique<PlannedStop>(mContext, *mListener);
}

bool Fixture::Tick()
{
  const timing::Instant now = mClock.Now();
  mExchanges.Tick(now, [&](const Exchange& aExchange) {
    return mControl.IsStalled(aExchange.mAdmission, aExchange.mCurrent->mAttempt, now);
  });
  mExchanges.RecordLongRuns(now, kLongRun);
  mListener->Tick(now);
  mControl.Tick(now);
  mSignal.Notify();
  return mStop->IsOver(now);
}

bool Fixture::BeginStop(std::chrono::milliseconds aGrace)
{
  return mStop->Begin(mClock.Now(), aGrace);
}

bool Fixture::Pass(std::chrono::milliseconds aTime, const std::function<bool()>& aUntil)
{
  constexpr std::chrono::milliseconds kTick{ 40 };
  for (auto passed = kTick; passed <= aTime; passed += kTick) {
    mClock.Advance(kTick);
    if (Tick()) {
      return true;
    }
    mIo.run_for(std::chrono::milliseconds(1));
    if (aUntil && aUntil()) {
      return false;
    }
  }
  return false;
}

ScriptedEndpoint& Fixture::AddEndpoint(const std::string& aId,
                                       const std::string& aZone,
                                       std::chrono::milliseconds aAcceptAfter)
{
  mEndpoints.push_back(std::make_unique<ScriptedEndpoint>(mIo, aAcceptAfter));
  mEndpoints.back()->MeasurePausesBy(mClock, mSignal);
  gateway::EndpointReport report;
  report.mId = ids::EndpointId(aId);
  report.mIncarnation = 1;
  report.mService = kService;
  report.mAddress = { "127.0.0.1", mEndpoints.back()->Port() };
  report.mZone = ids::AvailabilityZoneId(aZone);
  report.mSlots = 4;
  mControl.mDirectory.Update(report, mClock.Now());
  return *mEndpoints.back();
}

void Fixture::StartTicks(std::chrono::milliseconds aStep)
{
  asio::co_spawn(
    mIo, [this, aStep] { return TickLoop(aStep); }, asio::detached);
}

asio::awaitable<void> Fixture::TickLoop(std::chrono::milliseconds aStep)
{
  asio::steady_timer timer(mIo);
  for (;;) {
    ErrorCode ec;
    timer.expires_after(kTickPause);
    co_await timer.async_wait(RedirectError(ec));
    mClock.Advance(aStep - kTickPause);
    mControl.mStoreFreshness.ConfirmUpTo(mClock.Now());
    Tick();
  }
}

void Fixture::RunAfter(timing::Duration aTime, const std::function<void()>& aChange)
{
  asio::co_spawn(
    mIo,
    [this, at = mClock.Now() + aTime, aChange]() -> asio::awaitable<void> {
      while (mClock.Now() < at) {
        co_await mSignal.Wait();
      }
      aChange();
    },
    asio::detached);
}

void Fixture::RunAfterAdmission(timing::Duration aTime,
                                const std::function<void()>& aChange)
{
  asio::co_spawn(
    mIo,
    [this, aTime, aChange]() -> asio::awaitable<void> {
      while (mExchanges.Size() == 0) {
        co_await asio::post(mIo, asio::use_awaitable);
      }
      RunAfter(aTime, aChange);
    },
    asio::detached);
}

void Fixture::ChangeConfiguration(
  const std::function<void(gateway::ServingConfiguration&)>& aChange)
{
  auto configuration =
    std::make_shared<gateway::ServingConfiguration>(*mControl.Configuration());
  ++configuration->mVersion;
  aChange(*configuration);
  configuration->Index();
  mControl.SetConfiguration(std::move(configuration), mClock.Now());
}

std::string Fixture::Call(const std::string& aBytes,
                          const std::function<bool(const std::string&)>& aIsComplete)
{
  return RunCaller(aBytes, std::chrono::milliseconds(0), aIsComplete);
}

std::string Fixture::CallAndReadLate(
  const std::string& aBytes,
  std::chrono::milliseconds aPause,
  const std::function<bool(const std::string&)>& aIsComplete)
{
  return RunCaller(aBytes, aPause, aIsComplete);
}

std::string Fixture::RunCaller(const std::string& aBytes,
                               std::chrono::milliseconds aPause,
                               const std::function<bool(const std::string&)>& aIsComplete)
{
  constexpr int kSmallBuffer = 4096;
  std::string received;
  std::atomic<bool> done = false;
  const auto caller = [&]() -> asio::awaitable<void> {
    ErrorCode ec;
    tcp::socket socket(mIo);
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), mPort);
    if (aPause.count() > 0) {
      socket.open(tcp::v4());
      socket.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
    }
    co_await socket.async_connect(endpoint, RedirectError(ec));
    co_await asio::async_write(socket, asio::buffer(aBytes), RedirectError(ec));
    if (aPause.count() > 0) {
      asio::steady_timer timer(mIo, aPause);
      co_await timer.async_wait(asio::use_awaitable);
    }
    std::array<char, 4096> bytes{};
    while (!ec && !aIsComplete(received)) {
      const std::size_t n =
        co_await socket.async_read_some(asio::buffer(bytes), RedirectError(ec));
      received.append(bytes.data(), n);
    }
    done = true;
  };
  asio::co_spawn(mIo, caller, asio::detached);
  while (!done) {
    mIo.run_one();
  }
  return received;
}

std::string Fixture::CallInParts(
  const std::vector<std::pair<timing::Duration, std::string>>& aParts,
  const std::function<bool(const std::string&)>& aIsComplete)
{
  std::string received;
  bool done = false;
  tcp::socket socket(mIo);
  const auto send = [&]() -> asio::awaitable<void> {
    ErrorCode ec;
    for (const auto& [pause, bytes] : aParts) {
      const timing::Instant at = mClock.Now() + pause;
      while (mClock.Now() < at && !done) {
        co_await mSignal.Wait();
      }
      co_await asio::async_write(socket, asio::buffer(bytes), RedirectError(ec));
    }
  };
  const auto caller = [&]() -> asio::awaitable<void> {
    ErrorCode ec;
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), mPort);
    co_await socket.async_connect(endpoint, RedirectError(ec));
    asio::co_spawn(mIo, send, asio::detached);
    std::array<char, 4096> bytes{};
    while (!ec && !aIsComplete(received)) {
      const std::size_t n =
        co_await socket.async_read_some(asio::buffer(bytes), RedirectError(ec));
      received.append(bytes.data(), n);
    }
    done = true;
  };
  asio::co_spawn(mIo, caller, asio::detached);
  while (!done) {
    mIo.run_one();
  }
  // Lets the sender see that the call is over.
  mIo.run_for(std::chrono::milliseconds(20));
  return received;
}

void Fixture::RunDuringCall(const std::function<void()>& aChange)
{
  asio::co_spawn(
    mIo,
    [this, aChange]() -> asio::awaitable<void> {
      while (mExchanges.Size() == 0) {
        co_await asio::post(mIo, asio::use_awaitable);
      }
      aChange();
      mSignal.Notify();
    },
    asio::detached);
}

void Fixture::CallAndDisconnect(const std::string& aBytes,
                                const std::function<bool()>& aDone)
{
  const auto caller = [&]() -> asio::awaitable<void> {
    ErrorCode ec;
    tcp::socket socket(mIo);
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), mPort);
    co_await socket.async_connect(endpoint, RedirectError(ec));
    co_await asio::async_write(socket, asio::buffer(aBytes), RedirectError(ec));
    while (mEndpoints.front()->Requests().empty()) {
      co_await mSignal.Wait();
    }
  };
  asio::co_spawn(mIo, caller, asio::detached);
  while (!aDone()) {
    mIo.run_one();
    mSignal.Notify();
  }
}

}
