#include "components/frontend/listener.hpp"

#include <algorithm>
#include <exception>
#include <iterator>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "components/frontend/requestlog.hpp"

namespace samphiresail::frontend {

namespace {

/// Pause after a failed accept, which is usually caused by a lack of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryPause{ 50 };
constexpr int kListenBacklog = 512;
/// Largest request for a status, in bytes. The parser accepts a smaller head.
constexpr std::size_t kMaxStatusRequestBytes = 16U << 10U;

/// Opens an acceptor. Throws boost::system::system_error if the address is in use.
void Listen(tcp::acceptor& aAcceptor, const settings::SocketAddress& aAddress)
{
  const tcp::endpoint endpoint(asio::ip::make_address_v4(aAddress.mHost), aAddress.mPort);
  tcp::acceptor acceptor(aAcceptor.get_executor());
  acceptor.open(endpoint.protocol());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen(kListenBacklog);
  aAcceptor = std::move(acceptor);
}

asio::awaitable<void> PauseBeforeAcceptRetry(asio::io_context& aIo)
{
  asio::steady_timer timer(aIo, kAcceptRetryPause);
  ErrorCode ec;
  co_await timer.async_wait(RedirectError(ec));
}

}

CallerListener::CallerListener(FrontendContext& aContext,
                               const settings::SocketAddress& aAddress,
                               std::size_t aMaxSessions)
  : mContext(aContext)
  , mAddress(aAddress)
  , mAcceptor(aContext.mIo)
  , mMaxSessions(aMaxSessions)
{
}

void CallerListener::Start()
{
  Listen(mAcceptor, mAddress);
  asio::co_spawn(
    mContext.mIo, [this] { return Accept(); }, asio::detached);
}

asio::awaitable<void> CallerListener::Accept()
{
  for (;;) {
    ErrorCode ec;
    tcp::socket socket(mContext.mIo);
    if (mSessions.size() >= mMaxSessions) {
      co_await mAcceptor.async_wait(tcp::acceptor::wait_read, RedirectError(ec));
    }
    while (mSessions.size() >= mMaxSessions && !CloseLongestIdle()) {
      // The next connections wait to be accepted, rather than being closed.
      co_await PauseBeforeAcceptRetry(mContext.mIo);
    }
    co_await mAcceptor.async_accept(socket, RedirectError(ec));
    if (ec) {
      co_await PauseBeforeAcceptRetry(mContext.mIo);
      continue;
    }
    auto session = std::make_shared<CallerSession>(mContext, std::move(socket));
    if (mDraining) {
      session->Drain(mIdleDeadline);
    }
    mSessions.push_back(session);
    asio::co_spawn(
      mContext.mIo, [session] { return session->Run(); }, asio::detached);
  }
}

bool CallerListener::CloseLongestIdle()
{
  std::erase_if(mSessions, [](const auto& aSession) { return aSession.expired(); });
  if (mSessions.size() < mMaxSessions) {
    return true;
  }
  std::shared_ptr<CallerSession> longest;
  for (const auto& weak : mSessions) {
    const auto session = weak.lock();
    const bool idle = session != nullptr && session->IdleSince().has_value();
    if (idle && (longest == nullptr || session->IdleSince() < longest->IdleSince())) {
      longest = session;
    }
  }
  return longest != nullptr && longest->CloseIdle();
}

void CallerListener::Tick(timing::Instant aNow)
{
  LogLeftOutLines(mContext, aNow);
  std::erase_if(mSessions, [](const auto& aSession) { return aSession.expired(); });
  for (const auto& weak : mSessions) {
    if (const auto session = weak.lock()) {
      session->Tick(aNow);
    }
  }
}

void CallerListener::Drain(timing::Instant aIdleDeadline)
{
  mDraining = true;
  mIdleDeadline = aIdleDeadline;
  for (const auto& weak : mSessions) {
    if (const auto session = weak.lock()) {
      session->Drain(aIdleDeadline);
    }
  }
}

bool CallerListener::IsBusy(timing::Instant aNow) const
{
  return std::ranges::any_of(mSessions, [aNow](const auto& aSession) {
    const auto session = aSession.lock();
    return session != nullptr && session->IsBusy(aNow);
  });
}

StatusListener::StatusListener(asio::io_context& aIo,
                               const timing::Clock& aClock,
                               logging::Logger& aLogger,
                               const settings::SocketAddress& aAddress,
                               Handler aHandler)
  : mIo(aIo)
  , mClock(aClock)
  , mLogger(aLogger)
  , mAddress(aAddress)
  , mAcceptor(aIo)
  , mHandler(std::move(aHandler))
{
}

void StatusListener::Start()
{
  Listen(mAcceptor, mAddress);
  asio::co_spawn(
    mIo, [this] { return Accept(); }, asio::detached);
}

void StatusListener::Tick(timing::Instant aNow)
{
  for (Connection& connection : mConnections) {
    if (aNow >= connection.mDeadline) {
      CloseSocket(connection.mSocket);
    }
  }
}

asio::awaitable<void> StatusListener::Accept()
{
  for (;;) {
    ErrorCode ec;
    tcp::socket socket(mIo);
    co_await mAcceptor.async_accept(socket, RedirectError(ec));
    if (ec) {
      co_await PauseBeforeAcceptRetry(mIo);
      continue;
    }
    SetConnectionOptions(socket);
    if (mConnections.size() >= kMaxConnections) {
      const auto waiting = std::ranges::find_if(
        mConnections, [](const Connection& aIt) { return aIt.mSocket.is_open(); });
      if (waiting != mConnections.end()) {
        CloseSocket(waiting->mSocket);
      }
    }
    mConnections.push_back({ std::move(socket), mClock.Now() + kRequestTime });
    asio::co_spawn(mIo, Serve(std::prev(mConnections.end())), asio::detached);
  }
}

asio::awaitable<void> StatusListener::Serve(ConnectionList::iterator aConnection)
{
  try {
    co_await Converse(aConnection);
  } catch (const std::exception& error) {
    mLogger.Error("status request ended by an exception",
                  { { "error", std::string(error.what()) } });
  }
  mConnections.erase(aConnection);
}

asio::awaitable<void> StatusListener::Converse(ConnectionList::iterator aConnection)
{
  tcp::socket& socket = aConnection->mSocket;
  beast::flat_buffer buffer(kMaxStatusRequestBytes);
  bool keep = true;
  while (keep) {
    ErrorCode ec;
    http::request<http::empty_body> request;
    co_await http::async_read(socket, buffer, request, RedirectError(ec));
    if (ec) {
      co_return;
    }
    const Response result =
      mHandler({ request.target().data(), request.target().size() });
    http::response<http::string_body> response(http::int_to_status(result.mStatus),
                                               request.version());
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.keep_alive(request.keep_alive());
    response.body() = result.mBody;
    response.prepare_payload();
    aConnection->mDeadline = mClock.Now() + kResponseTime;
    co_await http::async_write(socket, response, RedirectError(ec));
    aConnection->mDeadline = mClock.Now() + kRequestTime;
    mConnections.splice(mConnections.end(), mConnections, aConnection);
    keep = !ec && request.keep_alive();
  }
}

}
