#ifndef REVIEW_STANDINS_2_NET_HPP
#define REVIEW_STANDINS_2_NET_HPP

// Sockets and HTTP/1.1 messages for the stand-ins of this review.

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;

inline double SecondsSince(Clock::time_point aStart)
{
  return std::chrono::duration<double>(Clock::now() - aStart).count();
}

/// Opens a listening socket on the loopback address; port 0 takes a free one.
inline int Listen(int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 256) != 0) {
    throw std::runtime_error("cannot listen on a loopback port");
  }
  return fd;
}

inline int PortOf(int aFd)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(aFd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// Returns a port that was free a moment ago, for TCP and UDP.
inline int FreePort()
{
  for (;;) {
    const int tcp = Listen(0);
    const int port = PortOf(tcp);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool free =
      bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(tcp);
    close(udp);
    if (free) {
      return port;
    }
  }
}

/// A connection with the bytes that were read and not used yet.
struct Connection
{
  int mFd{ -1 };
  std::string mBytes;

  explicit Connection(int aFd)
    : mFd(aFd)
  {
    const int on = 1;
    setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Close(); }

  void Close()
  {
    if (mFd >= 0) {
      close(mFd);
      mFd = -1;
    }
  }
  bool Send(const std::string& aText) const
  {
    std::size_t sent = 0;
    while (sent < aText.size()) {
      const ssize_t n =
        send(mFd, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  enum class Read
  {
    Data,
    End,
    Reset,
    Timeout
  };
  Read ReadMore(std::chrono::milliseconds aWait)
  {
    pollfd item{ mFd, POLLIN, 0 };
    const int ready = poll(&item, 1, static_cast<int>(std::max<std::int64_t>(aWait.count(), 0)));
    if (ready == 0) {
      return Read::Timeout;
    }
    char bytes[65536];
    const ssize_t n = recv(mFd, bytes, sizeof(bytes), 0);
    if (n == 0) {
      return Read::End;
    }
    if (n < 0) {
      return Read::Reset;
    }
    mBytes.append(bytes, static_cast<std::size_t>(n));
    return Read::Data;
  }
};

inline int Connect(int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline std::string Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return aText;
}

/// The first line, headers and body of a request or response.
struct Message
{
  std::string mFirstLine;
  /// Names in lower case; the first value of each.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  std::string Header(const std::string& aName) const
  {
    const auto it = mHeaders.find(aName);
    return it == mHeaders.end() ? std::string() : it->second;
  }
  /// The n-th word of the first line, from 0.
  std::string Word(int aIndex) const
  {
    std::size_t at = 0;
    for (int i = 0; i < aIndex && at != std::string::npos; ++i) {
      at = mFirstLine.find(' ', at);
      at = at == std::string::npos ? at : at + 1;
    }
    return at == std::string::npos ? std::string()
                                   : mFirstLine.substr(at, mFirstLine.find(' ', at) - at);
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

inline Message ParseHead(const std::string& aHead)
{
  Message message;
  std::size_t at = aHead.find("\r\n");
  message.mFirstLine = aHead.substr(0, at);
  while (at != std::string::npos && at + 2 < aHead.size()) {
    const std::size_t begin = at + 2;
    at = aHead.find("\r\n", begin);
    const std::string line = aHead.substr(begin, at == std::string::npos ? at : at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, std::min(value.find_first_not_of(" \t"), value.size()));
    message.mHeaders.emplace(Lower(line.substr(0, colon)), value);
  }
  return message;
}

/// Reads the head of a message; none if the connection ends or is silent for too long.
inline std::optional<Message> ReadHead(Connection& aConnection, std::chrono::milliseconds aWait)
{
  const auto end = Clock::now() + aWait;
  std::size_t at = 0;
  while ((at = aConnection.mBytes.find("\r\n\r\n")) == std::string::npos) {
    const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
    if (left.count() <= 0 || aConnection.ReadMore(left) != Connection::Read::Data) {
      return std::nullopt;
    }
  }
  Message message = ParseHead(aConnection.mBytes.substr(0, at));
  aConnection.mBytes.erase(0, at + 4);
  return message;
}

/// Reads a body of the stated length. Returns false if it does not arrive.
inline bool ReadBody(Connection& aConnection, Message& aMessage, std::chrono::milliseconds aWait)
{
  const std::size_t size =
    static_cast<std::size_t>(std::atoll(aMessage.Header("content-length").c_str()));
  const auto end = Clock::now() + aWait;
  while (aConnection.mBytes.size() < size) {
    const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
    if (left.count() <= 0 || aConnection.ReadMore(left) != Connection::Read::Data) {
      return false;
    }
  }
  aMessage.mBody = aConnection.mBytes.substr(0, size);
  aConnection.mBytes.erase(0, size);
  return true;
}

/// Decodes what has arrived of a chunked body. Returns true if its last chunk is there.
inline bool DecodeChunks(const std::string& aBytes, std::string& aBody)
{
  std::size_t at = 0;
  aBody.clear();
  for (;;) {
    const std::size_t line = aBytes.find("\r\n", at);
    if (line == std::string::npos) {
      return false;
    }
    const std::size_t size = std::strtoul(aBytes.c_str() + at, nullptr, 16);
    if (size == 0) {
      return aBytes.find("\r\n", line + 2) == line + 2;
    }
    if (aBytes.size() < line + 2 + size + 2) {
      return false;
    }
    aBody.append(aBytes, line + 2, size);
    at = line + 2 + size + 2;
  }
}

/// What a client got for one request.
struct Answer
{
  /// 0 if no head arrived.
  int mStatus{ 0 };
  Message mHead;
  std::string mBody;
  /// The body is whole by its framing.
  bool mWhole{ false };
  /// How the last read ended.
  const char* mEnd{ "" };
};

/// Reads one response on a connection, up to the given time.
inline Answer ReadAnswer(Connection& aConnection, std::chrono::milliseconds aWait)
{
  Answer answer;
  const auto end = Clock::now() + aWait;
  const auto head = ReadHead(aConnection, aWait);
  if (!head) {
    answer.mEnd = "no head";
    return answer;
  }
  answer.mHead = *head;
  answer.mStatus = head->Status();
  const bool chunked = Lower(head->Header("transfer-encoding")) == "chunked";
  const bool hasLength = head->mHeaders.count("content-length") > 0;
  const std::size_t length =
    static_cast<std::size_t>(std::atoll(head->Header("content-length").c_str()));
  for (;;) {
    if (chunked) {
      answer.mWhole = DecodeChunks(aConnection.mBytes, answer.mBody);
    } else if (hasLength) {
      answer.mBody = aConnection.mBytes.substr(0, length);
      answer.mWhole = aConnection.mBytes.size() >= length;
    } else {
      answer.mBody = aConnection.mBytes;
    }
    if (answer.mWhole) {
      answer.mEnd = "whole";
      if (hasLength && !chunked) {
        aConnection.mBytes.erase(0, length);
      } else {
        aConnection.mBytes.clear();
      }
      return answer;
    }
    const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
    const Connection::Read read =
      left.count() <= 0 ? Connection::Read::Timeout : aConnection.ReadMore(left);
    if (read != Connection::Read::Data) {
      answer.mEnd = read == Connection::Read::End     ? "connection closed"
                    : read == Connection::Read::Reset ? "connection reset"
                                                      : "time is over";
      answer.mWhole = read == Connection::Read::End && !chunked && !hasLength;
      return answer;
    }
  }
}

inline std::string Response(int aStatus, const std::string& aHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

}

#endif
