#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTSHELL_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTSHELL_HPP

#include <memory>

#include "components/settings/processsettings.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::agent {

/// Runs an AgentCore on a control thread and carries its messages.
class AgentShell
{
public:
  /// Binds the peer address and starts the threads; throws if the address is taken.
  AgentShell(const settings::AgentSettings& aSettings, const timing::Clock& aClock);
  ~AgentShell();

  /// Begins a planned stop.
  void Leave();

  /// Returns true once the planned stop is complete; waits up to the given time.
  bool WaitForExit(std::chrono::milliseconds aTimeout);

private:
  class Carrier;
  std::unique_ptr<Carrier> mCarrier;
};

}

#endif
