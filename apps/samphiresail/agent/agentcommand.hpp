#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTCOMMAND_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTCOMMAND_HPP

#include <string>

namespace samphiresail::agent {

/// Runs the agent role until SIGTERM. Returns the exit status; throws for bad settings.
int RunAgent(const std::string& aSettingsPath);

}

#endif
