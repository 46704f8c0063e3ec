#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_REQUESTLOG_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_REQUESTLOG_HPP

#include "components/frontend/forwarder.hpp"

namespace samphiresail::frontend {

/// Logs that a request was answered by this entry before it was admitted.
void LogRefusal(FrontendContext& aContext,
                const gateway::RequestMetadata& aFacts,
                const gateway::Refusal& aRefusal);

/// Logs the outcome of an admitted request.
void LogRequest(FrontendContext& aContext,
                const Exchange& aExchange,
                const Forwarder& aForwarder);

}

#endif
