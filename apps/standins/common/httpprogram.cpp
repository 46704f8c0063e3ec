#include "apps/standins/common/httpprogram.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <thread>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "apps/standins/common/rawanswers.hpp"

namespace samphiresail::standins {

namespace {

constexpr char kHost[] = "127.0.0.1";
constexpr std::size_t kKeepAliveRequests = 1'000'000;
constexpr time_t kKeepAliveSeconds = 300;
constexpr std::chrono::milliseconds kTimeToReset{ 100 };

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

/// Returns the socket on which a request came; nothing if it is closed.
std::optional<int> SocketOf(const httplib::Request& aRequest)
{
  const auto limit = static_cast<int>(sysconf(_SC_OPEN_MAX));
  for (int it = STDERR_FILENO + 1; it < limit; ++it) {
    if (HasPeerPort(it, aRequest.remote_port)) {
      return it;
    }
  }
  return std::nullopt;
}

void SendRaw(const httplib::Request& aRequest, const std::string& aBytes)
{
  if (const auto socket = SocketOf(aRequest)) {
    send(*socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    shutdown(*socket, SHUT_RDWR);
  }
}

/// Sends the bytes and ends the sending direction; the connection is reset a little
/// later, as the body of the call was not read.
void SendRawBeforeBody(const httplib::Request& aRequest, const std::string& aBytes)
{
  if (const auto socket = SocketOf(aRequest)) {
    send(*socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    shutdown(*socket, SHUT_WR);
    std::this_thread::sleep_for(kTimeToReset);
  }
}

}

HttpProgram::HttpProgram(std::uint16_t aPort, std::size_t aThreads)
  : mRawAnswers(std::make_unique<RawAnswers>())
  , mPort(aPort)
{
  auto signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  (void)std::signal(SIGPIPE, SIG_IGN);
  mServer.new_task_queue = [aThreads] { return new httplib::ThreadPool(aThreads); };
  mServer.set_keep_alive_max_count(kKeepAliveRequests);
  mServer.set_keep_alive_timeout(kKeepAliveSeconds);
  mServer.set_tcp_nodelay(true);
  PostJson(mServer,
           "/raw-answers",
           [this](const httplib::Request&,
                  const nlohmann::json& aBody,
                  httplib::Response& aResponse) {
             mRawAnswers->Set(aBody.at("path"),
                              aBody.at("bytes"),
                              aBody.at("count"),
                              aBody.value("before_body", false)
                                ? RawAnswers::Moment::BeforeBody
                                : RawAnswers::Moment::AfterRun);
             Answer(aResponse, nlohmann::json::object());
           });
  mServer.set_post_routing_handler(
    [this](const httplib::Request& aRequest, httplib::Response&) {
      if (const auto bytes =
            mRawAnswers->Take(aRequest.path, RawAnswers::Moment::AfterRun)) {
        SendRaw(aRequest, *bytes);
      }
    });
  mServer.set_pre_routing_handler(
    [this](const httplib::Request& aRequest, httplib::Response&) {
      const auto bytes = mRawAnswers->Take(aRequest.path, RawAnswers::Moment::BeforeBody);
      if (bytes) {
        SendRawBeforeBody(aRequest, *bytes);
      }
      return bytes ? httplib::Server::HandlerResponse::Handled
                   : httplib::Server::HandlerResponse::Unhandled;
    });
}

HttpProgram::~HttpProgram() = default;

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
  if (const auto socket = SocketOf(aRequest)) {
    shutdown(*socket, SHUT_RDWR);
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
