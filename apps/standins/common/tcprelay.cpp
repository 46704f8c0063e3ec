#include "apps/standins/common/tcprelay.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <system_error>
#include <thread>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace samphiresail::standins {

namespace {

constexpr int kBacklog = 256;
constexpr int kPollMilliseconds = 100;
constexpr std::size_t kBufferBytes = 16U << 10U;
constexpr std::chrono::milliseconds kSilentStep{ 100 };

sockaddr_in SocketAddress(const TcpAddress& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  if (inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr) != 1) {
    throw std::invalid_argument("not an IP address: " + aAddress.mHost);
  }
  return address;
}

[[noreturn]] void ThrowSystemError(const std::string& aText)
{
  throw std::system_error(errno, std::generic_category(), aText);
}

void SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int Connect(const TcpAddress& aTarget)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = SocketAddress(aTarget);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  SetNoDelay(fd);
  return fd;
}

bool SendAll(int aSocket, const char* aData, std::size_t aSize)
{
  while (aSize > 0) {
    const auto n = send(aSocket, aData, aSize, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    aData += n;
    aSize -= static_cast<std::size_t>(n);
  }
  return true;
}

/// Carries one direction until its end closes. A silent connection is held until it is
/// cut.
void Carry(const std::shared_ptr<RelayedConnection>& aConnection, int aFrom, int aTo)
{
  std::array<char, kBufferBytes> buf{};
  for (;;) {
    if (aConnection->mSilent) {
      std::this_thread::sleep_for(kSilentStep);
      if (aConnection->mOpenDirections == 0) {
        return;
      }
      continue;
    }
    pollfd ready{ .fd = aFrom, .events = POLLIN, .revents = 0 };
    if (poll(&ready, 1, kPollMilliseconds) == 0 || aConnection->mSilent) {
      continue;
    }
    const auto n = recv(aFrom, buf.data(), buf.size(), 0);
    if (aConnection->mSilent) {
      continue;
    }
    if (n <= 0 || !SendAll(aTo, buf.data(), static_cast<std::size_t>(n))) {
      break;
    }
  }
  shutdown(aTo, SHUT_WR);
  if (--aConnection->mOpenDirections > 0) {
    return;
  }
  shutdown(aFrom, SHUT_RDWR);
}

}

TcpAddress ParseAddress(const std::string& aText)
{
  TcpAddress address;
  const auto at = aText.rfind(':');
  if (at != std::string::npos) {
    address.mHost = aText.substr(0, at);
  }
  const auto port = std::stoul(at == std::string::npos ? aText : aText.substr(at + 1));
  if (port > UINT16_MAX) {
    throw std::invalid_argument("not a port: " + aText);
  }
  address.mPort = static_cast<std::uint16_t>(port);
  return address;
}

RelayedConnection::~RelayedConnection()
{
  if (mNear >= 0) {
    close(mNear);
  }
  if (mFar >= 0) {
    close(mFar);
  }
}

TcpRelay::TcpRelay(const TcpAddress& aListen, Choose aChoose)
  : mChoose(std::move(aChoose))
  , mListener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int on = 1;
  setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto address = SocketAddress(aListen);
  if (bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(mListener, kBacklog) != 0) {
    ThrowSystemError("cannot listen on " + aListen.Text());
  }
  socklen_t size = sizeof(address);
  getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
  mPort = ntohs(address.sin_port);
}

void TcpRelay::Run()
{
  for (;;) {
    const int near = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (near >= 0) {
      SetNoDelay(near);
      std::thread([this, near] { Start(near); }).detach();
    }
  }
}

void TcpRelay::Start(int aNear)
{
  auto connection = std::make_shared<RelayedConnection>();
  connection->mNear = aNear;
  connection->mSilent = mHoldNew.load();
  const auto target = mChoose();
  if (!target) {
    return;
  }
  connection->mTarget = *target;
  connection->mFar = Connect(*target);
  if (connection->mFar < 0) {
    return;
  }
  {
    const std::lock_guard lock(mMutex);
    connection->mNumber = ++mNext;
    std::erase_if(mConnections, [](const auto& aConnection) {
      return aConnection->mOpenDirections == 0;
    });
    mConnections.push_back(connection);
  }
  std::thread([connection] {
    Carry(connection, connection->mFar, connection->mNear);
  }).detach();
  Carry(connection, connection->mNear, connection->mFar);
}

std::vector<std::shared_ptr<RelayedConnection>> TcpRelay::Open()
{
  const std::lock_guard lock(mMutex);
  std::erase_if(mConnections, [](const auto& aConnection) {
    return aConnection->mOpenDirections == 0;
  });
  return mConnections;
}

std::size_t TcpRelay::Silence(std::optional<std::uint64_t> aNumber)
{
  std::size_t n = 0;
  for (const auto& connection : Open()) {
    if (!aNumber || connection->mNumber == *aNumber) {
      connection->mSilent = true;
      ++n;
    }
  }
  return n;
}

std::size_t TcpRelay::Cut(std::optional<std::uint64_t> aNumber)
{
  std::size_t n = 0;
  for (const auto& connection : Open()) {
    if (!aNumber || connection->mNumber == *aNumber) {
      connection->mSilent = false;
      shutdown(connection->mNear, SHUT_RDWR);
      shutdown(connection->mFar, SHUT_RDWR);
      ++n;
    }
  }
  return n;
}

}
