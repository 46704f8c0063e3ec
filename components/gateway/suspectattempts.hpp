#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_SUSPECTATTEMPTS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_SUSPECTATTEMPTS_HPP

#include <cstdint>
#include <vector>

#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

/// Attempts in progress of requests under which engines have ended. While it is open
/// which request is the reason, they are kept apart: two that are at the same engine
/// again could not be told apart by its end, and would end one engine together where the
/// sound one could have been answered elsewhere.
class SuspectAttempts
{
public:
  /// Records the begin and the end of an attempt of a request with this identity.
  void Begin(const ids::EndpointId& aEndpoint, std::uint64_t aIdentity);
  void End(const ids::EndpointId& aEndpoint, std::uint64_t aIdentity);

  /// True if an attempt of such a request is in progress.
  bool IsInProgress(std::uint64_t aIdentity) const;
  /// Returns the endpoints with attempts of other requests.
  std::vector<ids::EndpointId> EndpointsOfOthers(std::uint64_t aIdentity) const;

private:
  struct Row
  {
    ids::EndpointId mEndpoint;
    std::uint64_t mIdentity{ 0 };

    bool operator==(const Row&) const = default;
  };

  std::vector<Row> mRows;
};

}

#endif
