#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_REQUESTLOG_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_REQUESTLOG_HPP

#include "components/frontend/forwarder.hpp"

namespace samphiresail::frontend {

/// Logs that a request was answered by this entry before it was admitted. Lines of
/// requests that were not sent are bounded in number, see LogLeftOutLines().
void LogRefusal(FrontendContext& aContext,
                const gateway::RequestMetadata& aFacts,
                const gateway::Refusal& aRefusal);

/// Logs that the caller of a request left before it was admitted.
void LogCallerLeft(FrontendContext& aContext, const gateway::RequestMetadata& aFacts);

/// Logs the outcome of an admitted request.
void LogRequest(FrontendContext& aContext,
                const Exchange& aExchange,
                const Forwarder& aForwarder);

/// Logs, at most once a second, how many lines of requests that were not sent were left
/// out, by reason.
void LogLeftOutLines(FrontendContext& aContext, timing::Instant aNow);

}

#endif
