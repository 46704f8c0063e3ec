#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_PORTOPENING_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_PORTOPENING_HPP

#include <chrono>
#include <functional>
#include <string>

#include "components/frontend/http.hpp"
#include "components/logging/logger.hpp"
#include "components/settings/socketaddress.hpp"

namespace samphiresail::frontend {

/// A port that a process listens on.
struct PortOpening
{
  /// What the port is for, as log lines and errors name it.
  std::string mPurpose;
  settings::SocketAddress mAddress;
  /// How long a port that is in use is tried again.
  std::chrono::milliseconds mRetryTime;
  /// Opens the port; throws if that fails, boost::system::system_error if the system does
  /// not allow it.
  std::function<void()> mOpen;
  /// Called with the error if the port cannot be opened.
  std::function<void(const std::string&)> mOnFailure;
};

/// Opens a port. One that is in use, as by a process that is about to end or by a
/// connection to elsewhere, is tried again; any other error is final.
asio::awaitable<void> OpenPort(asio::io_context& aIo,
                               logging::Logger& aLogger,
                               PortOpening aPort);

}

#endif
