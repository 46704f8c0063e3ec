#include "components/frontend/portopening.hpp"

#include <exception>

#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>

namespace samphiresail::frontend {

namespace {

constexpr std::chrono::milliseconds kRetryPause{ 100 };

std::string FailureText(const std::string& aAddress,
                        const std::string& aPurpose,
                        const std::string& aReason)
{
  return "port " + aAddress + " for " + aPurpose + ": " + aReason;
}

}

asio::awaitable<void> OpenPort(asio::io_context& aIo,
                               logging::Logger& aLogger,
                               PortOpening aPort)
{
  const std::string address =
    aPort.mAddress.mHost + ":" + std::to_string(aPort.mAddress.mPort);
  std::chrono::milliseconds waited{ 0 };
  for (;;) {
    ErrorCode failure;
    std::string reason;
    try {
      aPort.mOpen();
      if (waited.count() > 0) {
        aLogger.Info("port opened after a wait",
                     { { "purpose", aPort.mPurpose },
                       { "address", address },
                       { "waited_ms", waited.count() } });
      }
      co_return;
    } catch (const boost::system::system_error& error) {
      failure = error.code();
      reason = failure.message();
    } catch (const std::exception& error) {
      reason = error.what();
    }
    if (failure != asio::error::address_in_use || waited >= aPort.mRetryTime) {
      aPort.mOnFailure(FailureText(address, aPort.mPurpose, reason));
      co_return;
    }
    if (waited.count() == 0) {
      aLogger.Warn("port is in use; it is tried again",
                   { { "purpose", aPort.mPurpose },
                     { "address", address },
                     { "retry_ms", aPort.mRetryTime.count() } });
    }
    asio::steady_timer timer(aIo, kRetryPause);
    ErrorCode ec;
    co_await timer.async_wait(RedirectError(ec));
    waited += kRetryPause;
  }
}

}
