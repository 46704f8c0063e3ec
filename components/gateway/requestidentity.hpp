#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_REQUESTIDENTITY_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_REQUESTIDENTITY_HPP

#include <cstdint>
#include <string_view>

#include "components/gateway/requestmetadata.hpp"

namespace samphiresail::gateway {

/// What an endpoint gets to see of a request, besides its metadata.
struct RequestContent
{
  std::string_view mMethod;
  /// Path and query.
  std::string_view mTarget;
  std::string_view mBody;
};

/// Returns a digest by which requests that ask an endpoint for the same are recognised,
/// whoever sends them and under whatever identifier: of method, host, path, query, model,
/// adapter, prompt parts and body. It leaves out what each attempt or caller has of its
/// own: the identifier, the key, the time limit, the event after which a stream
/// continues, and all further headers. Never 0. Throws std::runtime_error if the library
/// has no such digest.
std::uint64_t RequestIdentity(const RequestContent& aContent,
                              const RequestMetadata& aMetadata);

}

#endif
