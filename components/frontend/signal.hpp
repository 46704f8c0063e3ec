#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_SIGNAL_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_SIGNAL_HPP

#include "components/frontend/http.hpp"

#include <boost/asio/steady_timer.hpp>

namespace samphiresail::frontend {

/// Wakes all coroutines that wait for a change. Each waiter must check its condition
/// again.
class Signal
{
public:
  explicit Signal(asio::io_context& aIo)
    : mTimer(aIo, asio::steady_timer::time_point::max())
  {
  }

  asio::awaitable<void> Wait()
  {
    ErrorCode ec;
    co_await mTimer.async_wait(RedirectError(ec));
  }
  void Notify() { mTimer.cancel(); }

private:
  asio::steady_timer mTimer;
};

}

#endif
