#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_HTTP_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_HTTP_HPP

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace samphiresail::frontend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Completion token for co_await that stores the error in aEc instead of throwing it.
inline auto RedirectError(ErrorCode& aEc)
{
  return asio::redirect_error(asio::use_awaitable, aEc);
}

/// Closes a socket; does nothing if it is already closed.
inline void CloseSocket(tcp::socket& aSocket)
{
  ErrorCode ec;
  aSocket.close(ec);
}

}

#endif
