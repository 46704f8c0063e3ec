#include "components/gateway/promptcacheestimate.hpp"

#include <algorithm>

namespace samphiresail::gateway {

namespace {

constexpr timing::Duration kCleanUpInterval = std::chrono::seconds(5);

/// Combines the hash of the parts so far with the next part (64-bit finalizer of
/// MurmurHash3).
std::uint64_t Combine(std::uint64_t aHash, std::uint64_t aNext)
{
  std::uint64_t hash = (aHash * 0x9E3779B97F4A7C15ULL) ^ aNext;
  hash ^= hash >> 33U;
  hash *= 0xFF51AFD7ED558CCDULL;
  hash ^= hash >> 33U;
  hash *= 0xC4CEB9FE1A85EC53ULL;
  return hash ^ (hash >> 33U);
}

}

std::vector<std::uint64_t> PromptCacheEstimate::LeadingParts(
  std::uint64_t aModelAdapterHash,
  const std::vector<PromptPart>& aParts)
{
  std::vector<std::uint64_t> leading;
  leading.reserve(std::min(aParts.size(), kMaxLeadingParts));
  std::uint64_t hash = aModelAdapterHash;
  for (const PromptPart& part : aParts) {
    if (leading.size() == kMaxLeadingParts) {
      break;
    }
    hash = Combine(hash, part.mId);
    leading.push_back(hash);
  }
  return leading;
}

double PromptCacheEstimate::KeptTokens(std::uint64_t aEndpointHash,
                                       const std::vector<std::uint64_t>& aLeading,
                                       const std::vector<PromptPart>& aParts,
                                       double aMemoryTokens,
                                       std::size_t aEntries) const
{
  const auto engine = mEngines.find(aEndpointHash);
  if (engine == mEngines.end()) {
    return 0.0;
  }
  const double maxRead = kKeptMemoryFraction * aMemoryTokens /
                         static_cast<double>(std::max<std::size_t>(aEntries, 1));
  double kept = 0.0;
  for (std::size_t i = 0; i < aLeading.size(); ++i) {
    const auto part = engine->second.mParts.find(aLeading[i]);
    if (part == engine->second.mParts.end() ||
        engine->second.mTokensSent - part->second.mSentAt > maxRead) {
      break;
    }
    kept += static_cast<double>(aParts[i].mTokens);
  }
  return kept;
}

void PromptCacheEstimate::Record(std::uint64_t aEndpointHash,
                                 const std::vector<std::uint64_t>& aLeading,
                                 double aPromptTokens,
                                 timing::Instant aNow)
{
  Engine& engine = mEngines[aEndpointHash];
  engine.mTokensSent += aPromptTokens;
  for (const std::uint64_t hash : aLeading) {
    engine.mParts[hash] = { engine.mTokensSent, aNow };
  }
}

void PromptCacheEstimate::Tick(timing::Instant aNow)
{
  if (aNow < mNextCleanUp) {
    return;
  }
  mNextCleanUp = aNow + kCleanUpInterval;
  std::size_t parts = 0;
  for (auto& [hash, engine] : mEngines) {
    std::erase_if(engine.mParts, [aNow](const auto& aRow) {
      return aRow.second.mUsedAt + kLifetime < aNow;
    });
    parts += engine.mParts.size();
  }
  if (parts > kMaxParts) {
    mEngines.clear();
  }
}

}
