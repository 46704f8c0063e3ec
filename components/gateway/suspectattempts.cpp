#include "components/gateway/suspectattempts.hpp"

#include <algorithm>

namespace samphiresail::gateway {

void SuspectAttempts::Begin(const ids::EndpointId& aEndpoint,
                            std::uint64_t aIdentity,
                            std::uint64_t aCause)
{
  mRows.push_back({ aEndpoint, aIdentity, aCause });
}

void SuspectAttempts::End(const ids::EndpointId& aEndpoint, std::uint64_t aIdentity)
{
  const auto row = std::ranges::find_if(mRows, [&](const Row& aRow) {
    return aRow.mEndpoint == aEndpoint && aRow.mIdentity == aIdentity;
  });
  if (row != mRows.end()) {
    mRows.erase(row);
  }
}

void SuspectAttempts::RecordBreak(std::uint64_t aIdentity, timing::Instant aNow)
{
  std::erase_if(mBreaks,
                [aNow](const Break& aBreak) { return aBreak.mAt + kMaxWait <= aNow; });
  if (aIdentity != 0) {
    mBreaks.push_back({ aIdentity, aNow });
  }
}

bool SuspectAttempts::WaitsForOthers(std::uint64_t aIdentity,
                                     std::uint64_t aCause,
                                     std::size_t aEnds,
                                     timing::Instant aArrived,
                                     timing::Instant aNow) const
{
  if (aCause == aIdentity || aEnds < kMinEndsToWait) {
    return false;
  }
  const bool others =
    aNow < aArrived + kMaxWait && std::ranges::count(mRows, aCause, &Row::mCause) > 0;
  return others || std::ranges::any_of(mBreaks, [&](const Break& aBreak) {
           return aBreak.mIdentity == aIdentity && aNow < aBreak.mAt + kMaxWait;
         });
}

bool SuspectAttempts::IsInProgress(std::uint64_t aIdentity) const
{
  return std::ranges::count(mRows, aIdentity, &Row::mIdentity) > 0;
}

std::vector<ids::EndpointId> SuspectAttempts::EndpointsOfOthers(
  std::uint64_t aCause) const
{
  std::vector<ids::EndpointId> endpoints;
  for (const Row& row : mRows) {
    if (row.mCause != aCause) {
      endpoints.push_back(row.mEndpoint);
    }
  }
  return endpoints;
}

}
