#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_SUSPECTEDCAUSE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_SUSPECTEDCAUSE_HPP

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "components/gateway/requestmetadata.hpp"

namespace samphiresail::gateway {

/// Returns the cause of the request under which most engines ended, as aEndsUnder counts
/// them for a cause; none if none ended. Requests that share the reason of an end and
/// little else have to agree on it: of causes with as many ends it is the part furthest
/// into the prompt, but the last one only if no other part has as many, as it is mostly
/// the request's own, and the request as a whole if no part has any.
template<std::invocable<std::uint64_t> EndsUnder>
std::optional<std::uint64_t> SuspectedCause(const RequestMetadata& aRequest,
                                            EndsUnder aEndsUnder)
{
  std::optional<std::uint64_t> cause;
  std::size_t most = 0;
  const auto consider = [&](std::uint64_t aCause, bool aWinsTie) {
    const std::size_t ends = aEndsUnder(aCause);
    if (ends > most || (aWinsTie && ends == most && ends > 0)) {
      most = ends;
      cause = aCause;
    }
  };
  const auto& parts = aRequest.mPromptParts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    consider(parts[i].mId, true);
  }
  if (!parts.empty()) {
    consider(parts.back().mId, false);
  }
  if (aRequest.mIdentity != 0) {
    consider(aRequest.mIdentity, false);
  }
  return cause;
}

}

#endif
