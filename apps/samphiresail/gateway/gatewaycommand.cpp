#include "apps/samphiresail/gateway/gatewaycommand.hpp"

#include <cstdlib>
#include <stdexcept>

#include "apps/samphiresail/gateway/gatewayprocess.hpp"
#include "components/timing/bootclock.hpp"
#include "platform/names.hpp"
#include "platform/settings.hpp"

namespace samphiresail::gatewayapp {

int RunGateway(const GatewayOptions& aOptions, concurrency::HeldSignals& aSignals)
{
  std::string path = aOptions.mSettings;
  if (path.empty()) {
    const char* variable = std::getenv(platform::names::kSettingsFileVariable);
    if (variable == nullptr) {
      throw std::runtime_error("no settings file is named");
    }
    path = variable;
  }
  const platform::Settings settings = platform::LoadSettings(path);
  const timing::BootClock clock;
  GatewayProcess process(aOptions, path, settings, clock);
  aSignals.Release();
  process.Run();
  return EXIT_SUCCESS;
}

}
