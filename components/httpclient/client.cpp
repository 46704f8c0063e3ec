#include "components/httpclient/client.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <limits>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/ssl.hpp>

#include "components/httpclient/responsebody.hpp"
#include "components/httpclient/responsehead.hpp"

namespace samphiresail::httpclient {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Steady = std::chrono::steady_clock;

namespace {

constexpr unsigned kHttp11 = 11;
constexpr std::uint32_t kMaxHeadBytes = 16384;
/// Most bytes that were read but not yet parsed: a head, the line with the size of a
/// chunk, or the trailer.
constexpr std::size_t kMaxUnparsedBytes = 64U << 10U;
/// Most interim responses before the final one.
constexpr int kMaxInterimResponses = 8;

constexpr const char* kIdentity = "identity";

using Parser = http::response_parser<http::buffer_body>;

auto RedirectError(ErrorCode& aEc)
{
  return asio::redirect_error(asio::use_awaitable, aEc);
}

bool IsInterim(const Parser& aParser)
{
  return http::to_status_class(aParser.get().result_int()) ==
         http::status_class::informational;
}

/// True if the body is in a content coding, which the client neither asks for nor undoes.
bool IsContentCoded(const Parser& aParser)
{
  const auto coding = aParser.get()[http::field::content_encoding];
  return !coding.empty() && !boost::beast::iequals(coding, kIdentity);
}

http::request<http::string_body> BuildRequest(const Request& aRequest,
                                              const BaseUrl& aUrl)
{
  http::request<http::string_body> request;
  request.version(kHttp11);
  request.method_string(aRequest.mMethod);
  request.target(aRequest.mTarget);
  request.set(http::field::host, aUrl.mAuthority);
  request.set(http::field::accept, "*/*");
  request.set(http::field::accept_encoding, kIdentity);
  for (const auto& [name, value] : aRequest.mFields) {
    request.set(name, value);
  }
  if (!aRequest.mContentType.empty()) {
    request.set(http::field::content_type, aRequest.mContentType);
  }
  request.body() = aRequest.mBody;
  request.prepare_payload();
  return request;
}

}

/// The event loop of a client, its connection, and the call in progress.
class Client::Session
{
public:
  explicit Session(BaseUrl aUrl)
    : mUrl(std::move(aUrl))
  {
    if (mUrl.mTls) {
      mTls.emplace(asio::ssl::context::tls_client);
      ErrorCode ec;
      // Without authorities no certificate is accepted, and calls are unreachable.
      mTls->set_default_verify_paths(ec);
      mTls->set_verify_mode(asio::ssl::verify_peer);
    }
  }

  Reply Run(const Request& aRequest,
            const Timeouts& aTimeouts,
            const ResponseHandlers& aHandlers,
            const std::stop_token& aStop)
  {
    mTimeouts = aTimeouts;
    mEnd =
      aTimeouts.mTotal ? Steady::now() + *aTimeouts.mTotal : Steady::time_point::max();
    mHandlers = &aHandlers;
    mReply = {};
    mCancelled = false;
    std::exception_ptr failure;
    mIo.restart();
    {
      const std::stop_callback stop(aStop, [this] {
        asio::post(mIo, [this] {
          mCancelled = true;
          Interrupt();
        });
      });
      asio::co_spawn(
        mIo,
        [&]() -> asio::awaitable<void> { return Perform(aRequest); },
        [&](const std::exception_ptr& aError) {
          failure = aError;
          mTimer.cancel();
        });
      mIo.run();
    }
    // A stop request that came after the end must not reach the next call.
    mIo.restart();
    mIo.poll();
    if (failure) {
      mConnection.reset();
      std::rethrow_exception(failure);
    }
    return std::move(mReply);
  }

private:
  struct Connection
  {
    explicit Connection(asio::io_context& aIo)
      : mSocket(aIo)
    {
    }
    tcp::socket mSocket;
    std::optional<asio::ssl::stream<tcp::socket&>> mTls;
    boost::beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
  };

  /// Ends what the call waits for; the coroutine receives an error.
  void Interrupt()
  {
    mResolver.cancel();
    if (mConnection != nullptr) {
      ErrorCode ec;
      mConnection->mSocket.close(ec);
    }
  }

  void Expire(std::chrono::milliseconds aTime)
  {
    mTimer.expires_at(std::min(Steady::now() + aTime, mEnd));
    mTimer.async_wait([this](const ErrorCode& aEc) {
      if (!aEc && mTimer.expiry() <= Steady::now()) {
        mTimedOut = true;
        Interrupt();
      }
    });
  }

  /// True if nothing has arrived on the idle connection, not even its end.
  static bool IsReusable(Connection& aConnection)
  {
    char byte = 0;
    ErrorCode ec;
    aConnection.mSocket.receive(
      asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec == asio::error::would_block;
  }

  asio::awaitable<void> Perform(const Request& aRequest)
  {
    mTimedOut = false;
    if (mCancelled) {
      co_return;
    }
    if (mConnection == nullptr || !IsReusable(*mConnection)) {
      mConnection = std::make_unique<Connection>(mIo);
      const ErrorCode ec = co_await Connect();
      if (ec || mCancelled) {
        mReply.mOutcome = mTimedOut ? Outcome::ConnectTimeout : Outcome::Unreachable;
        mConnection.reset();
        co_return;
      }
    }
    bool keep = false;
    if (mConnection->mTls) {
      keep = co_await Transfer(*mConnection->mTls, aRequest);
    } else {
      keep = co_await Transfer(mConnection->mSocket, aRequest);
    }
    if (!keep) {
      mConnection.reset();
    }
  }

  asio::awaitable<ErrorCode> Connect()
  {
    Expire(mTimeouts.mConnect);
    ErrorCode ec;
    tcp::socket& socket = mConnection->mSocket;
    const auto address = asio::ip::make_address(mUrl.mHost, ec);
    const bool isName = static_cast<bool>(ec);
    if (!isName) {
      const auto port = static_cast<std::uint16_t>(std::stoul(mUrl.mPort));
      co_await socket.async_connect(tcp::endpoint(address, port), RedirectError(ec));
    } else {
      const auto found =
        co_await mResolver.async_resolve(mUrl.mHost, mUrl.mPort, RedirectError(ec));
      if (!ec) {
        co_await asio::async_connect(socket, found, RedirectError(ec));
      }
    }
    if (ec) {
      co_return ec;
    }
    socket.set_option(tcp::no_delay(true), ec);
    socket.non_blocking(true, ec);
    if (!ec && mTls) {
      auto& tls = mConnection->mTls.emplace(socket, *mTls);
      tls.set_verify_callback(asio::ssl::host_name_verification(mUrl.mHost));
      if (isName) {
        SSL_set_tlsext_host_name(tls.native_handle(), mUrl.mHost.c_str());
      }
      co_await tls.async_handshake(asio::ssl::stream_base::client, RedirectError(ec));
    }
    co_return ec;
  }

  /// Sends the request and reads the response. Returns true if the connection can carry
  /// another call.
  template<typename Stream>
  asio::awaitable<bool> Transfer(Stream& aStream, const Request& aRequest)
  {
    ErrorCode ec;
    mReply.mOutcome = Outcome::Broken;
    const auto request = BuildRequest(aRequest, mUrl);
    Expire(mTimeouts.mWrite);
    co_await http::async_write(aStream, request, RedirectError(ec));
    if (ec) {
      co_return false;
    }
    std::optional<Parser> parser;
    int interim = -1;
    do {
      parser.emplace();
      parser->header_limit(kMaxHeadBytes);
      parser->body_limit(std::numeric_limits<std::uint64_t>::max());
      Expire(mTimeouts.mRead);
      ec = co_await ReadResponseHead(aStream, mConnection->mBuffer, *parser);
    } while (!ec && IsInterim(*parser) && ++interim < kMaxInterimResponses);
    if (!ec && (IsInterim(*parser) || IsContentCoded(*parser))) {
      co_return false;
    }
    if (!ec) {
      mReply.mHead = { parser->get().result_int(),
                       std::string(parser->get()[http::field::content_type]) };
      if (mHandlers->mOnHead) {
        mHandlers->mOnHead(mReply.mHead);
      }
      ec = co_await ReadBody(aStream, *parser);
    }
    if (IsMalformed(ec)) {
      mReply.mOutcome = Outcome::Malformed;
      mReply.mFault = ec.message();
    } else if (IsTruncated(ec)) {
      mReply.mOutcome = Outcome::Truncated;
      mReply.mFault = ec.message();
    }
    const bool whole = !ec && !mCancelled;
    if (whole) {
      mReply.mOutcome = Outcome::Answered;
    }
    const bool reusable =
      whole && IsConnectionReusable(*parser) && mConnection->mBuffer.size() == 0;
    co_return reusable;
  }

  template<typename Stream>
  asio::awaitable<ErrorCode> ReadBody(Stream& aStream, Parser& aParser)
  {
    std::array<char, 8192> bytes{};
    ErrorCode ec;
    while (!ec && !aParser.is_done()) {
      auto& body = aParser.get().body();
      body.data = bytes.data();
      body.size = bytes.size();
      body.more = true;
      Expire(mTimeouts.mRead);
      co_await ReadResponseBody(aStream, mConnection->mBuffer, aParser, ec);
      if (ec == http::error::need_buffer) {
        ec = {};
      }
      TakePart({ bytes.data(), bytes.size() - body.size });
      if (mReply.mBody.size() > kMaxBodyBytes) {
        ec = http::error::body_limit;
      }
    }
    co_return ec;
  }

  void TakePart(std::string_view aPart)
  {
    if (mHandlers->mOnPart) {
      if (!aPart.empty()) {
        mHandlers->mOnPart(aPart);
      }
    } else {
      mReply.mBody.append(aPart);
    }
  }

  const BaseUrl mUrl;
  asio::io_context mIo{ 1 };
  asio::steady_timer mTimer{ mIo };
  tcp::resolver mResolver{ mIo };
  std::optional<asio::ssl::context> mTls;
  std::unique_ptr<Connection> mConnection;
  Timeouts mTimeouts{};
  Steady::time_point mEnd;
  const ResponseHandlers* mHandlers{ nullptr };
  Reply mReply;
  bool mCancelled{ false };
  bool mTimedOut{ false };
};

Client::Client(const std::string& aUrl, Timeouts aTimeouts)
  : mUrl(ParseBaseUrl(aUrl))
  , mTimeouts(aTimeouts)
{
}

Client::~Client() = default;

Reply Client::Call(const Request& aRequest,
                   const ResponseHandlers& aHandlers,
                   const std::stop_token& aStop)
{
  if (!mUrl) {
    return {};
  }
  if (mSession == nullptr) {
    try {
      mSession = std::make_unique<Session>(*mUrl);
    } catch (const boost::system::system_error&) {
      // The event loop needs descriptors, and the process has none left.
      return {};
    }
  }
  return mSession->Run(aRequest, mTimeouts, aHandlers, aStop);
}

}
