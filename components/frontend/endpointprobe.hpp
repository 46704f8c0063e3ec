#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_ENDPOINTPROBE_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_ENDPOINTPROBE_HPP

#include "components/frontend/forwarder.hpp"

namespace samphiresail::frontend {

/// What a new connection says of an endpoint's process.
enum class ProbeOutcome
{
  Running,
  Ended,
  /// The address is silent.
  Unknown,
};

/// Opens a connection to an endpoint whose response broke off, or may have, and reports
/// whether it was refused, since then the endpoint's process has ended. A silent address
/// reports nothing.
asio::awaitable<ProbeOutcome> ProbeEndpoint(FrontendContext& aContext,
                                            ids::EndpointId aEndpoint,
                                            settings::SocketAddress aAddress);

}

#endif
