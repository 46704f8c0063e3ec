#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_GATEWAYCOMMAND_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_GATEWAYCOMMAND_HPP

#include <cstdint>
#include <string>

namespace samphiresail::gatewayapp {

struct GatewayOptions
{
  /// Path of the settings file; if empty, the platform's environment variable names it.
  std::string mSettings;
  /// Port on which /metrics is served; 0 disables it.
  std::uint16_t mMetricsPort{ 0 };
  std::string mLogLevel{ "info" };
};

/// Runs an entry on the platform until it receives a stop signal. Returns the exit
/// status.
int RunGateway(const GatewayOptions& aOptions);

}

#endif
