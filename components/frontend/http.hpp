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

#include "components/limits/budgetallocator.hpp"

namespace samphiresail::frontend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Bytes of a connection that were read but not yet parsed.
using ConnectionBuffer = beast::basic_flat_buffer<limits::BudgetAllocator<char>>;

/// True for the error of a buffer that there was no memory to enlarge, and not for that
/// of one that has its largest size.
inline bool IsWithoutMemory(const ErrorCode& aEc, const ConnectionBuffer& aBuffer)
{
  return aEc == http::error::buffer_overflow && aBuffer.size() < aBuffer.max_size();
}

/// Gives back the memory of an empty buffer, unless it is small.
inline void ShrinkIfEmpty(ConnectionBuffer& aBuffer)
{
  if (aBuffer.size() == 0 &&
      aBuffer.capacity() > limits::BudgetAllocator<char>::kSmallBuffer) {
    aBuffer.shrink_to_fit();
  }
}

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
