#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_GATEWAYCOMMAND_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_GATEWAY_GATEWAYCOMMAND_HPP

#include <cstdint>
#include <string>

namespace samphiresail::gatewayapp {

struct GatewayOptions
{
  /// Path of the settings file; empty to take it from the platform's variable.
  std::string mSettings;
  /// Port of the metrics; 0 serves none.
  std::uint16_t mMetricsPort{ 0 };
  std::string mLogLevel{ "info" };
};

/// Runs an entry on the platform until it is told to stop. Returns the exit status.
int RunGateway(const GatewayOptions& aOptions);

}

#endif
