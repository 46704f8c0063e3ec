#ifndef SAMPHIRESAIL_COMPONENTS_HTTPCLIENT_RESPONSEHEAD_HPP
#define SAMPHIRESAIL_COMPONENTS_HTTPCLIENT_RESPONSEHEAD_HPP

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace samphiresail::httpclient {

using ErrorCode = boost::system::error_code;

/// Checks what the parser accepts although RFC 9110 or RFC 9112 forbids it. Returns
/// http::error::bad_status for a status outside 100 to 599, bad_transfer_encoding for a
/// transfer coding other than a single chunked, which is all that a request without a TE
/// field allows and that the parser decodes, and no error for a sound head.
ErrorCode CheckResponseHead(const boost::beast::http::response_header<>& aHead);

/// True if both sides are sure to agree on where the response ends. A 204 that states a
/// length or a coding may be followed by a body although its status forbids one, and a
/// peer that speaks HTTP/1.0 may not know chunks.
bool HasUnambiguousEnd(const boost::beast::http::response_header<>& aHead);

/// True for the error of a response that breaks the grammar of HTTP, as opposed to a
/// connection that ended or a limit that was exceeded.
bool IsMalformed(const ErrorCode& aEc);

/// Reads and checks the head of a response. Every reader of responses calls this one, so
/// that none acts on a head that another one refuses. After an error nothing of the
/// parser may be used.
template<typename Stream, typename Buffer, typename Body>
boost::asio::awaitable<ErrorCode> ReadResponseHead(
  Stream& aStream,
  Buffer& aBuffer,
  boost::beast::http::response_parser<Body>& aParser)
{
  ErrorCode ec;
  co_await boost::beast::http::async_read_header(
    aStream,
    aBuffer,
    aParser,
    boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  co_return ec ? ec : CheckResponseHead(aParser.get().base());
}

/// True if the response is whole and its connection can carry another request.
template<typename Body>
bool IsConnectionReusable(const boost::beast::http::response_parser<Body>& aParser)
{
  return aParser.is_done() && !aParser.need_eof() && aParser.get().keep_alive() &&
         HasUnambiguousEnd(aParser.get().base());
}

}

#endif
