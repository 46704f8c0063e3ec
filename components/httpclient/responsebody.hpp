#ifndef SAMPHIRESAIL_COMPONENTS_HTTPCLIENT_RESPONSEBODY_HPP
#define SAMPHIRESAIL_COMPONENTS_HTTPCLIENT_RESPONSEBODY_HPP

#include <cstddef>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace samphiresail::httpclient {

using ErrorCode = boost::system::error_code;

/// Returns the error of a response that has neither a length nor chunks and may be only a
/// part, as its connection failed or ended before the peer had received the request.
ErrorCode TruncatedError();

/// True for that error, which neither the connection nor the parser reports.
bool IsTruncated(const ErrorCode& aEc);

/// Checks the connection of a response without a length once its end was read. The end of
/// the peer's sending direction alone does not show that the response is whole: the
/// operating system reports the same after a reset whose error a write has consumed, and
/// after a reset that follows the end. Returns TruncatedError() if the connection has
/// failed, or if the peer's system has not acknowledged all of the request: the segment
/// that ends its direction acknowledges all that it had received by then. What is
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

#endif
