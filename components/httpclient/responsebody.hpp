#ifndef SAMPHIRESAIL_COMPONENTS_HTTPCLIENT_RESPONSEBODY_HPP
#define SAMPHIRESAIL_COMPONENTS_HTTPCLIENT_RESPONSEBODY_HPP

#include <cstddef>
#include <type_traits>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace samphiresail::httpclient {

using ErrorCode = boost::system::error_code;

/// Errors of responses that neither the connection nor the parser reports.
enum class ResponseError
{
  /// The response has neither a length nor chunks, and its connection failed or ended
  /// before the peer had received the request, so that it may be only a part.
  Truncated = 1,
};

ErrorCode make_error_code(ResponseError aError);

/// Checks the connection of a response without a length once its end was read. The end of
/// the peer's sending direction alone does not show that the response is whole: the
/// operating system reports the same after a reset whose error a write has consumed, and
/// after a reset that follows the end. Returns ResponseError::Truncated if the connection
/// has failed, or if the peer's system has not acknowledged all of the request: the
/// segment that ends its direction acknowledges all that it had received by then. What is
/// acknowledged may still be unread. aSocket is the native handle; if this side has
/// closed the socket meanwhile, the error is boost::asio::error::operation_aborted.
ErrorCode CheckEndOfConnection(int aSocket);

/// Reads some of a response's body and returns the number of bytes read, framing
/// included. Every reader of responses calls this one, so that none takes the bytes
/// before a failure of the connection for a whole response.
template<typename Stream, typename Buffer, typename Body>
boost::asio::awaitable<std::size_t> ReadResponseBody(
  Stream& aStream,
  Buffer& aBuffer,
  boost::beast::http::response_parser<Body>& aParser,
  ErrorCode& aEc)
{
  const std::size_t n = co_await boost::beast::http::async_read_some(
    aStream,
    aBuffer,
    aParser,
    boost::asio::redirect_error(boost::asio::use_awaitable, aEc));
  if (!aEc && aParser.is_done() && aParser.need_eof()) {
    aEc = CheckEndOfConnection(aStream.lowest_layer().native_handle());
  }
  co_return n;
}

}

template<>
struct boost::system::is_error_code_enum<samphiresail::httpclient::ResponseError>
  : std::true_type
{
};

#endif
