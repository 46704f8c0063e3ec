#include "apps/standins/common/httpprogram.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <thread>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace samphiresail::standins {

namespace {

constexpr char kHost[] = "127.0.0.1";
constexpr std::size_t kKeepAliveRequests = 1'000'000;
constexpr time_t kKeepAliveSeconds = 300;

sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

bool HasPeerPort(int aDescriptor, int aPort)
{
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  if (getpeername(aDescriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
    return false;
  }
  return peer.sin_family == AF_INET && ntohs(peer.sin_port) == aPort;
}

}

HttpProgram::HttpProgram(std::uint16_t aPort, std::size_t aThreads)
  : mPort(aPort)
{
  auto signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  (void)std::signal(SIGPIPE, SIG_IGN);
  mServer.new_task_queue = [aThreads] { return new httplib::ThreadPool(aThreads); };
  mServer.set_keep_alive_max_count(kKeepAliveRequests);
  mServer.set_keep_alive_timeout(kKeepAliveSeconds);
  mServer.set_tcp_nodelay(true);
}

std::uint16_t HttpProgram::Bind()
{
  if (mPort == 0) {
    const auto port = mServer.bind_to_any_port(kHost);
    if (port <= 0) {
      throw std::runtime_error("no free port");
    }
    mPort = static_cast<std::uint16_t>(port);
  } else if (!mServer.bind_to_port(kHost, mPort)) {
    throw std::runtime_error("port " + std::to_string(mPort) + " is taken");
  }
  return mPort;
}

void HttpProgram::Run(const std::string& aExtra)
{
  std::thread([this] { mServer.listen_after_bind(); }).detach();
  std::cout << "ready " << mPort << aExtra << std::endl;
  const auto signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(EXIT_SUCCESS);
}

void DropConnection(const httplib::Request& aRequest)
{
  const auto limit = static_cast<int>(sysconf(_SC_OPEN_MAX));
  for (int it = STDERR_FILENO + 1; it < limit; ++it) {
    if (HasPeerPort(it, aRequest.remote_port)) {
      shutdown(it, SHUT_RDWR);
      return;
    }
  }
}

void Answer(httplib::Response& aResponse, const nlohmann::json& aBody, int aStatus)
{
  aResponse.status = aStatus;
  aResponse.set_content(aBody.dump(), "application/json");
}

void PostJson(
  httplib::Server& aServer,
  const std::string& aPattern,
  std::function<void(const httplib::Request&, const nlohmann::json&, httplib::Response&)>
    aHandler)
{
  aServer.Post(aPattern,
               [handler = std::move(aHandler)](const httplib::Request& aRequest,
                                               httplib::Response& aResponse) {
                 try {
                   const auto body = aRequest.body.empty()
                                       ? nlohmann::json::object()
                                       : nlohmann::json::parse(aRequest.body);
                   handler(aRequest, body, aResponse);
                 } catch (const nlohmann::json::exception& ec) {
                   Answer(aResponse, { { "error", ec.what() } }, 400);
                 }
               });
}

}
