#include <catch2/catch.hpp>

#include "components/gateway/promptcacheestimate.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kNow{ 1h };
constexpr std::uint64_t kEngine = 5;
constexpr double kMemory = 10000.0;
const std::vector<PromptPart> kParts{ { 1, 500 }, { 2, 300 }, { 3, 700 } };

double Kept(const PromptCacheEstimate& aEstimate,
            const std::vector<PromptPart>& aParts,
            std::uint64_t aModel = 9,
            std::size_t aEntries = 1)
{
  return aEstimate.KeptTokens(kEngine,
                              PromptCacheEstimate::LeadingParts(aModel, aParts),
                              aParts,
                              kMemory,
                              aEntries);
}

}

TEST_CASE("prompt cache: parts count as kept only behind kept parts", "[gateway]")
{
  PromptCacheEstimate estimate;
  CHECK(Kept(estimate, kParts) == 0.0);
  estimate.Record(kEngine, PromptCacheEstimate::LeadingParts(9, kParts), 1500, kNow);
  CHECK(Kept(estimate, kParts) == 1500.0);
  CHECK(Kept(estimate, { { 1, 500 }, { 2, 300 }, { 4, 100 } }) == 800.0);
  CHECK(Kept(estimate, { { 2, 300 }, { 3, 700 } }) == 0.0);
  CHECK(Kept(estimate, kParts, 10) == 0.0);
  estimate.Forget(kEngine);
  CHECK(Kept(estimate, kParts) == 0.0);
}

TEST_CASE("prompt cache: parts are gone once the engine has read enough others",
          "[gateway]")
{
  PromptCacheEstimate estimate;
  estimate.Record(kEngine, PromptCacheEstimate::LeadingParts(9, kParts), 1500, kNow);
  for (std::uint64_t i = 100; i < 102; ++i) {
    const std::vector<PromptPart> other{ { i, 2000 } };
    estimate.Record(kEngine, PromptCacheEstimate::LeadingParts(9, other), 2000, kNow);
  }
  CHECK(Kept(estimate, kParts) == 1500.0);
  // The other entries are assumed to send as much.
  CHECK(Kept(estimate, kParts, 9, 2) == 0.0);
  estimate.Record(kEngine, {}, 2000, kNow);
  CHECK(Kept(estimate, kParts) == 0.0);
}

TEST_CASE("prompt cache: old parts are forgotten", "[gateway]")
{
  PromptCacheEstimate estimate;
  estimate.Record(kEngine, PromptCacheEstimate::LeadingParts(9, kParts), 1500, kNow);
  estimate.Tick(kNow + PromptCacheEstimate::kLifetime + 1s);
  CHECK(Kept(estimate, kParts) == 0.0);
}
