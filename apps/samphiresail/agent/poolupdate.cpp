#include "apps/samphiresail/agent/poolupdate.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "components/catalogue/configurationcodec.hpp"

namespace samphiresail::agent {

namespace {

std::optional<catalogue::Configuration> Decode(AgentState& aState,
                                               const std::string& aDocument)
{
  try {
    return catalogue::DecodeConfiguration(aDocument);
  } catch (const catalogue::ConfigurationError& error) {
    aState.mOutbox.Record("bad-pool-document", error.what());
    return std::nullopt;
  }
}

}

bool AdoptPool(AgentState& aState, const std::string& aDocument)
{
  auto configuration = Decode(aState, aDocument);
  if (!configuration || configuration->mVersion <= aState.mPool.mVersion) {
    return false;
  }
  aState.mPool = *std::move(configuration);
  aState.mVersionSeen = std::max(aState.mVersionSeen, aState.mPool.mVersion);
  if (const catalogue::EndpointPool* pool = aState.FindPool()) {
    aState.mGate.Configure(*pool);
    aState.mLedger.Configure({ .mCapacity = pool->mMemory,
                               .mChecksFencing = pool->mChecksFencing,
                               .mLongestOrder = pool->mLongestOrder });
  }
  aState.mOutbox.Record("adopt-pool", std::to_string(aState.mPool.mVersion.Count()));
  return true;
}

}
