#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENDPOINTCHOICE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENDPOINTCHOICE_HPP

#include <vector>

#include "apps/samphiresail/entry/callerrequest.hpp"
#include "apps/samphiresail/entry/entrycontext.hpp"
#include "components/ids/ids.hpp"
#include "components/routing/endpointtable.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::entry {

/// Chooses the endpoint for the next attempt of a request. Waits a little for one that
/// bears it, and asks for the model to be loaded if no endpoint holds it. Throws ApiError
/// if there is none before the deadline.
routing::EndpointDescription ChooseEndpoint(EntryContext& aContext,
                                            const CallerRequest& aRequest,
                                            const std::vector<ids::EndpointId>& aExcluded,
                                            timing::Instant aDeadline);

}

#endif
