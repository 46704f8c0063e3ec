#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_PROMPTCACHEESTIMATE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_PROMPTCACHEESTIMATE_HPP

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "components/gateway/requestmetadata.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Workload: requests that share the first parts of their prompts. Engines keep the parts
/// that they read last and do not read them again. Estimates from the requests that this
/// entry sent which parts an engine still keeps: those after which the engine has read
/// less than its memory holds.
class PromptCacheEstimate
{
public:
  /// Fraction of an engine's memory that is assumed to hold kept parts; running requests
  /// take the rest.
  static constexpr double kKeptMemoryFraction = 0.5;
  /// How long a part that no request repeats is remembered.
  static constexpr timing::Duration kLifetime = std::chrono::seconds(60);
  /// Maximum number of remembered parts over all engines.
  static constexpr std::size_t kMaxParts = 20000;

  /// Number of leading parts that are considered; requests rarely share more.
  static constexpr std::size_t kMaxLeadingParts = 16;

  /// Returns the hashes of the prompt's leading parts: element i identifies the parts up
  /// to the i-th together with the model and adapter (aModelAdapterHash).
  static std::vector<std::uint64_t> LeadingParts(std::uint64_t aModelAdapterHash,
                                                 const std::vector<PromptPart>& aParts);

  /// Returns how many tokens at the beginning of the prompt the engine, which has
  /// aMemoryTokens, is expected to keep. The aEntries entries are assumed to send it as
  /// much as this one.
  double KeptTokens(std::uint64_t aEndpointHash,
                    const std::vector<std::uint64_t>& aLeading,
                    const std::vector<PromptPart>& aParts,
                    double aMemoryTokens,
                    std::size_t aEntries) const;

  /// Records that a request with these parts was sent to the engine.
  void Record(std::uint64_t aEndpointHash,
              const std::vector<std::uint64_t>& aLeading,
              double aPromptTokens,
              timing::Instant aNow);

  /// Erases what is known of an engine that has restarted.
  void Forget(std::uint64_t aEndpointHash) { mEngines.erase(aEndpointHash); }
  void Tick(timing::Instant aNow);

private:
  struct Part
  {
    /// Engine::mTokensSent when the part was last sent.
    double mSentAt{ 0.0 };
    timing::Instant mUsedAt{};
  };
  struct Engine
  {
    /// Prompt tokens that this entry has sent to the engine.
    double mTokensSent{ 0.0 };
    std::unordered_map<std::uint64_t, Part> mParts;
  };

  std::unordered_map<std::uint64_t, Engine> mEngines;
  timing::Instant mNextCleanUp{};
};

}

#endif
