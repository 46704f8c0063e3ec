#ifndef SAMPHIRESAIL_COMPONENTS_CONFIGURATIONCHECK_SERVINGDIFF_HPP
#define SAMPHIRESAIL_COMPONENTS_CONFIGURATIONCHECK_SERVINGDIFF_HPP

#include <vector>

#include "components/configurationcheck/finding.hpp"
#include "components/gateway/servingconfiguration.hpp"

namespace samphiresail::configurationcheck {

/// Returns what differs between two configurations by meaning: routes are matched by host
/// and path prefix, services and accounts by name, and the order of entries that do not
/// compete does not count. Both must be indexed.
std::vector<Difference> DiffServingConfigurations(
  const gateway::ServingConfiguration& aBefore,
  const gateway::ServingConfiguration& aAfter);

}

#endif
