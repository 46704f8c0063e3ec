#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_CRASHEVIDENCE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_CRASHEVIDENCE_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "components/gateway/promptpart.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// A part of a prompt whose request an engine had when it ended, and that may be why.
struct SuspectPart
{
  std::uint64_t mPart{ 0 };
  /// Distinguishes the request from others with the part: the last part of its prompt.
  std::uint64_t mRequest{ 0 };

  bool operator==(const SuspectPart&) const = default;
};

/// Returns the parts of a prompt that can be suspected: all but the last one, which no
/// other request shares.
std::vector<SuspectPart> SuspectsOf(const std::vector<PromptPart>& aParts);

/// Decides which part of a prompt crashes engines, from the ends of engines over the
/// whole fleet and from the requests that were answered. An engine that ends takes sound
/// requests with it, so a part is blamed only if it was there each time, no request with
/// it was answered meanwhile, and no other part explains the same ends as well.
class CrashEvidence
{
public:
  /// Engines that must have ended under a part, and different requests among those that
  /// had it.
  static constexpr std::size_t kMinCrashes = 3;
  static constexpr std::size_t kMinRequests = 2;
  /// With this many, parts that cannot be told apart are all blamed.
  static constexpr std::size_t kMaxTiedCrashes = 5;
  /// Reports of the same engine within this time are of one crash; it takes longer to
  /// start again.
  static constexpr timing::Duration kSameCrash = std::chrono::milliseconds(1500);
  /// An answered request excuses its parts for crashes up to this much later: many
  /// engines can end at the same moment without any request being the cause.
  static constexpr timing::Duration kSoundTime = std::chrono::milliseconds(2000);
  /// The crashes of a part that is blamed are spread over this time, as engines that end
  /// together have another cause; over the longer one if the part was sound before.
  static constexpr timing::Duration kMinSpread = std::chrono::milliseconds(200);
  static constexpr timing::Duration kMinSpreadIfSound = std::chrono::milliseconds(1000);
  /// How long crashes are remembered.
  static constexpr timing::Duration kMemory = std::chrono::minutes(10);
  static constexpr std::size_t kMaxCrashes = 128;
  static constexpr std::size_t kMaxSuspectsPerCrash = 128;
  static constexpr std::size_t kMaxSoundParts = 20000;

  /// Records that a request with the part was answered beyond its first event.
  void RecordSound(std::uint64_t aPart, timing::Instant aAt);
  /// Returns when a request with the part was last answered.
  std::optional<timing::Instant> LastSound(std::uint64_t aPart) const;

  /// Records that an engine ended while these parts were in it. Returns false if that was
  /// known.
  bool RecordCrash(std::uint64_t aEndpointHash,
                   const std::vector<SuspectPart>& aSuspects,
                   timing::Instant aAt);

  /// Number of recorded crashes that speak against the part.
  std::size_t CrashesOf(std::uint64_t aPart) const;
  /// Number of recorded crashes that the part was in, excused or not.
  std::size_t CrashesWith(std::uint64_t aPart) const;

  /// Returns the parts that are to blame in addition to aKnown, which explain the crashes
  /// that they were in.
  std::vector<std::uint64_t> Blame(std::set<std::uint64_t> aKnown) const;

  /// Erases crashes older than kMemory, and the parts that were sound longest ago if
  /// there are more than kMaxSoundParts.
  void Tick(timing::Instant aNow);

private:
  struct Crash
  {
    std::uint64_t mEndpointHash{ 0 };
    timing::Instant mAt{};
    std::vector<SuspectPart> mSuspects;
  };
  /// What speaks against one part.
  struct Suspicion
  {
    std::size_t mCrashes{ 0 };
    timing::Instant mFirst{};
    timing::Instant mLast{};
    std::set<std::uint64_t> mRequests;
  };

  static bool Has(const Crash& aCrash, std::uint64_t aPart);
  /// True if no answered request excuses the part for the crash.
  bool Counts(std::uint64_t aPart, const Crash& aCrash) const;
  std::unordered_map<std::uint64_t, Suspicion> Suspicions(
    const std::set<std::uint64_t>& aKnown) const;
  /// True if the suspicion suffices unless another part explains the crashes better.
  bool Suffices(std::uint64_t aPart, const Suspicion& aSuspicion) const;
  /// Returns the parts that explain most of the crashes that aKnown does not explain.
  std::vector<std::uint64_t> MostSuspect(const std::set<std::uint64_t>& aKnown) const;

  std::deque<Crash> mCrashes;
  std::unordered_map<std::uint64_t, timing::Instant> mSound;
};

}

#endif
