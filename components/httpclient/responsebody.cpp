#include "components/httpclient/responsebody.hpp"

#include <string>

#include <boost/asio/error.hpp>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace samphiresail::httpclient {

namespace {

constexpr int kTruncated = 1;

class ResponseCategory final : public boost::system::error_category
{
public:
  const char* name() const noexcept override { return "samphiresail.response"; }
  std::string message(int aError) const override
  {
    return aError == kTruncated
             ? "connection failed before the end of a response without a length"
             : "unknown error of a response";
  }
};

/// True if an error is pending or neither direction is open any more.
bool HasFailed(int aSocket)
{
  pollfd state{ aSocket, 0, 0 };
  return poll(&state, 1, 0) == 1 && (state.revents & (POLLERR | POLLHUP)) != 0;
}

/// True if bytes that were written are not acknowledged.
bool HasUnacknowledgedBytes(int aSocket)
{
  int n = 0;
  return ioctl(aSocket, SIOCOUTQ, &n) == 0 && n > 0;
}

}

ErrorCode TruncatedError()
{
  static const ResponseCategory category;
  return { kTruncated, category };
}

bool IsTruncated(const ErrorCode& aEc)
{
  return aEc == TruncatedError();
}

ErrorCode CheckEndOfConnection(int aSocket)
{
  if (aSocket < 0) {
    return boost::asio::error::operation_aborted;
  }
  if (HasFailed(aSocket) || HasUnacknowledgedBytes(aSocket)) {
    return TruncatedError();
  }
  return {};
}

}
