#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_ENDPOINTPROBE_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_ENDPOINTPROBE_HPP

#include "components/frontend/forwarder.hpp"

namespace samphiresail::frontend {

/// Opens a connection to an endpoint whose response broke off and reports whether it was
/// refused, since then the endpoint's process has ended. A silent address reports
/// nothing.
asio::awaitable<void> ProbeEndpoint(FrontendContext& aContext,
                                    ids::EndpointId aEndpoint,
                                    settings::SocketAddress aAddress);

}

#endif
