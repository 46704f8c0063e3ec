#include "components/gateway/suspectattempts.hpp"

#include <algorithm>

namespace samphiresail::gateway {

void SuspectAttempts::Begin(const ids::EndpointId& aEndpoint, std::uint64_t aIdentity)
{
  mRows.push_back({ aEndpoint, aIdentity });
}

void SuspectAttempts::End(const ids::EndpointId& aEndpoint, std::uint64_t aIdentity)
{
  const auto row = std::ranges::find(mRows, Row{ aEndpoint, aIdentity });
  if (row != mRows.end()) {
    mRows.erase(row);
  }
}

bool SuspectAttempts::IsInProgress(std::uint64_t aIdentity) const
{
  return std::ranges::count(mRows, aIdentity, &Row::mIdentity) > 0;
}

std::vector<ids::EndpointId> SuspectAttempts::EndpointsOfOthers(
  std::uint64_t aIdentity) const
{
  std::vector<ids::EndpointId> endpoints;
  for (const Row& row : mRows) {
    if (row.mIdentity != aIdentity) {
      endpoints.push_back(row.mEndpoint);
    }
  }
  return endpoints;
}

}
