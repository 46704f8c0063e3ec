#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_GATEWAYCOMMAND_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_GATEWAYCOMMAND_HPP

#include <cstdint>
#include <string>

#include "components/concurrency/heldsignals.hpp"

namespace samphiresail::gatewayapp {

struct GatewayOptions
{
  /// Path of the settings file; if empty, the platform's environment variable names it.
  std::string mSettings;
  /// Port on which /metrics is served; 0 disables it.
  std::uint16_t mMetricsPort{ 0 };
  std::string mLogLevel{ "info" };
};

/// Runs an entry on the platform until it receives a stop signal. Releases the signals
/// once their handlers are installed. Returns the exit status.
int RunGateway(const GatewayOptions& aOptions, concurrency::HeldSignals& aSignals);

}

#endif
