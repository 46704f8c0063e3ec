#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENDPOINTREPORTS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENDPOINTREPORTS_HPP

#include <vector>

#include "components/routing/endpointtable.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

/// Translates an agent's load into the row of the endpoint table.
routing::EndpointLoad ReadLoad(const wire::Load& aLoad);

/// Translates the models of an agent's report.
std::vector<routing::ModelPresence> ReadModels(const wire::LoadReport& aReport);

}

#endif
