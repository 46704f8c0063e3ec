#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_ATTEMPTREQUEST_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_ATTEMPTREQUEST_HPP

#include <string>

#include "components/frontend/dialect.hpp"
#include "components/frontend/exchange.hpp"

namespace samphiresail::frontend {

using CallerRequest = http::request<http::string_body>;

/// Returns the head of the caller's request as it is sent to an endpoint, before the
/// body: the caller's end-to-end headers without those that only this system may set, the
/// headers of the attempt, and the length of the body. A stream that has begun is resumed
/// after its last event.
std::string BuildAttemptHead(const Dialect& aDialect,
                             const CallerRequest& aRequest,
                             const Exchange& aExchange,
                             const ids::EndpointId& aEndpoint,
                             timing::Instant aNow);

}

#endif
