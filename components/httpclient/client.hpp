#ifndef SAMPHIRESAIL_COMPONENTS_HTTPCLIENT_CLIENT_HPP
#define SAMPHIRESAIL_COMPONENTS_HTTPCLIENT_CLIENT_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "components/httpclient/baseurl.hpp"

namespace samphiresail::httpclient {

struct Request
{
  std::string mMethod{ "GET" };
  /// Path and query.
  std::string mTarget{ "/" };
  std::string mBody;
  /// Media type of the body; empty if none is stated.
  std::string mContentType;
  std::vector<std::pair<std::string, std::string>> mFields;
};

struct Timeouts
{
  std::chrono::milliseconds mConnect;
  std::chrono::milliseconds mWrite;
  /// Until the head of the response is received, and between two parts of its body.
  std::chrono::milliseconds mRead;
  /// Until the response is complete; not bounded if it is not set.
  std::optional<std::chrono::milliseconds> mTotal{};
};

enum class Outcome
{
  /// The response is whole.
  Answered,
  /// No connection could be opened, so nothing was sent.
  Unreachable,
  /// No connection was open in time, so nothing was sent.
  ConnectTimeout,
  /// The request may have run: the connection broke, was silent or was cancelled, or the
  /// response was too large or in a content coding.
  Broken,
  /// The request may have run: the response breaks the grammar of HTTP.
  Malformed,
  /// The request may have run: the connection failed before the end of a response without
  /// a length.
  Truncated,
};

/// True if the server has received no byte of the request.
constexpr bool IsNotSent(Outcome aOutcome)
{
  return aOutcome == Outcome::Unreachable || aOutcome == Outcome::ConnectTimeout;
}

struct Head
{
  /// 0 if no sound head was received.
  unsigned mStatus{ 0 };
  std::string mContentType;
};

struct Reply
{
  Outcome mOutcome{ Outcome::Unreachable };
  Head mHead;
  /// Whole body of an answer that was not handed over in parts.
  std::string mBody;
  /// What is wrong with a malformed or truncated response.
  std::string mFault;
};

/// Receives a response while it arrives. A malformed response may already have brought
/// a sound head and parts of its body.
struct ResponseHandlers
{
  std::function<void(const Head&)> mOnHead;
  std::function<void(std::string_view)> mOnPart;
};

/// HTTP client that runs one call at a time on the calling thread and keeps its
/// connection for the next call. A connection is closed after anything but a whole sound
/// response, and before a call if bytes have arrived on it that belong to none.
class Client
{
public:
  /// Most bytes of a body that is not handed over in parts.
  static constexpr std::uint64_t kMaxBodyBytes = 64U << 20U;

  /// Takes a base URL such as http://127.0.0.1:2379. With another text each call is
  /// unreachable. The certificate of an https server is checked against the authorities
  /// that the system trusts.
  Client(const std::string& aUrl, Timeouts aTimeouts);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void SetTimeouts(Timeouts aTimeouts) { mTimeouts = aTimeouts; }

  /// Runs one call. A stop request from any thread ends it, as unreachable before it is
  /// connected and as broken later.
  Reply Call(const Request& aRequest,
             const ResponseHandlers& aHandlers = {},
             const std::stop_token& aStop = {});

private:
  class Session;

  const std::optional<BaseUrl> mUrl;
  Timeouts mTimeouts;
  std::unique_ptr<Session> mSession;
};

}

#endif
