#include "apps/samphiresail/agent/agentcommand.hpp"

#include <stdexcept>

namespace samphiresail::agent {

int RunAgent(const std::string& aSettingsPath)
{
  throw std::runtime_error("no agent for " + aSettingsPath);
}

}
