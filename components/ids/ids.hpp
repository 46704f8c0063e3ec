#ifndef SAMPHIRESAIL_COMPONENTS_IDS_IDS_HPP
#define SAMPHIRESAIL_COMPONENTS_IDS_IDS_HPP

#include "components/ids/strongid.hpp"

namespace samphiresail::ids {

/// Name of a client account in the catalogue.
using ClientAccountId = StrongId<struct ClientAccountTag>;
/// Name of a model or of an adapter in the catalogue.
using ModelId = StrongId<struct ModelTag>;
/// Name of an endpoint, unique in the fleet.
using EndpointId = StrongId<struct EndpointTag>;
/// Name of a pool of similar endpoints in the catalogue.
using PoolId = StrongId<struct PoolTag>;
/// Name of a plain service in the catalogue.
using ServiceId = StrongId<struct ServiceTag>;
/// Name of an availability zone in the catalogue.
using AvailabilityZoneId = StrongId<struct AvailabilityZoneTag>;
/// Name of a VM in the platform's list.
using VmId = StrongId<struct VmTag>;
/// Name of a process of the system, from its settings.
using ProcessId = StrongId<struct ProcessTag>;
/// Identifier of a caller's request, unique in the fleet.
using RequestId = StrongId<struct RequestTag>;
/// Identifier of one attempt to run a request at one endpoint.
using AttemptId = StrongId<struct AttemptTag>;
/// Identifier of an order to load or unload a model.
using OrderId = StrongId<struct OrderTag>;
/// Hexadecimal SHA-256 digest of a client account's key.
using KeyHash = StrongId<struct KeyHashTag>;

}

#endif
