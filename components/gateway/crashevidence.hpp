#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_CRASHEVIDENCE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_CRASHEVIDENCE_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "components/gateway/requestmetadata.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// A possible reason why an engine ended that had not answered a request: a part of the
/// request's prompt, or the request itself.
struct Suspect
{
  /// Identifier of the part, or RequestIdentity() for the request itself.
  std::uint64_t mCause{ 0 };
  /// RequestIdentity() of the request.
  std::uint64_t mRequest{ 0 };

  bool IsWholeRequest() const { return mCause == mRequest; }
  bool operator==(const Suspect&) const = default;
};

/// Returns what can be suspected of a request: itself, unless its identity was not
/// determined, and each part of its prompt.
std::vector<Suspect> SuspectsOf(const RequestMetadata& aRequest);

/// Decides which cause ends engines, from the ends of engines over the whole fleet and
/// from the requests that were answered. An engine that ends takes sound requests with
/// it, so a cause is blamed only if it was there each time, no request with it was
/// answered meanwhile, and no other cause explains the same ends as well. A request that
/// comes again explains its ends by itself; a part is blamed under different requests
/// only. Engines have ended under a cause only if they were several: one that ends again
/// and again is itself the reason.
class CrashEvidence
{
public:
  /// Ends of engines under a cause that is blamed, and different engines among them.
  static constexpr std::size_t kMinCrashes = 3;
  static constexpr std::size_t kMinEngines = 2;
  /// Different requests that had a part which is blamed, and ends under it that no other
  /// blamed cause explains. Requests that are blamed themselves do not count.
  static constexpr std::size_t kMinRequests = 2;
  static constexpr std::size_t kMinUnexplained = 2;
  /// With this many ends, causes that cannot be told apart are all blamed; requests
  /// sooner than parts, which other requests share.
  static constexpr std::size_t kMaxTiedCrashes = 5;
  static constexpr std::size_t kMaxTiedRequestCrashes = 4;
  /// Reports of the same engine within this time are of one crash; it takes longer to
  /// start again.
  static constexpr timing::Duration kSameCrash = std::chrono::milliseconds(1500);
  /// An answered request excuses its causes for crashes up to this much later: many
  /// engines can end at the same moment without any request being the cause.
  static constexpr timing::Duration kSoundTime = std::chrono::milliseconds(2000);
  /// The crashes of a cause that is blamed are spread over this time, as engines that end
  /// together have another one; over the longer time if it was sound before.
  static constexpr timing::Duration kMinSpread = std::chrono::milliseconds(200);
  static constexpr timing::Duration kMinSpreadIfSound = std::chrono::milliseconds(1000);
  /// How long crashes are remembered.
  static constexpr timing::Duration kMemory = std::chrono::minutes(10);
  static constexpr std::size_t kMaxCrashes = 128;
  static constexpr std::size_t kMaxSuspectsPerCrash = 128;
  /// Of these, those that can be parts of prompts, so that long prompts leave room for
  /// other requests.
  static constexpr std::size_t kMaxPartsPerCrash = 80;
  static constexpr std::size_t kMaxSoundCauses = 40000;

  /// Records that a request with the cause was answered beyond its first event.
  void RecordSound(std::uint64_t aCause, timing::Instant aAt);
  /// Returns when a request with the cause was last answered.
  std::optional<timing::Instant> LastSound(std::uint64_t aCause) const;

  /// Records that an engine ended while it had these suspects. Returns false if that was
  /// known.
  bool RecordCrash(std::uint64_t aEndpointHash,
                   const std::vector<Suspect>& aSuspects,
                   timing::Instant aAt);

  /// Number of recorded crashes that speak against the cause.
  std::size_t CrashesOf(std::uint64_t aCause) const;
  /// Number of recorded crashes that the cause was in, excused or not.
  std::size_t CrashesWith(std::uint64_t aCause) const;
  /// Engines of the recorded crashes that speak against the cause, each once.
  std::vector<std::uint64_t> EnginesOf(std::uint64_t aCause) const;
  bool HasCrashes() const { return !mCrashes.empty(); }

  /// Adds aSuspects to aAll, whose size stays below kMaxSuspectsPerCrash; a part is added
  /// for the first requests only, since more of them say nothing more.
  static void AddSuspects(std::vector<Suspect>& aAll,
                          const std::vector<Suspect>& aSuspects);

  /// Returns the causes that are to blame in addition to aKnown, which explain the
  /// crashes that they were in.
  std::vector<std::uint64_t> Blame(std::set<std::uint64_t> aKnown) const;

  /// Erases crashes older than kMemory, and the causes that were sound longest ago if
  /// there are more than kMaxSoundCauses.
  void Tick(timing::Instant aNow);

private:
  struct Crash
  {
    std::uint64_t mEndpointHash{ 0 };
    timing::Instant mAt{};
    std::vector<Suspect> mSuspects;
  };
  /// What speaks against one cause.
  struct Suspicion
  {
    bool mWholeRequest{ false };
    std::size_t mCrashes{ 0 };
    /// Of these, those that no blamed request explains.
    std::size_t mUnexplained{ 0 };
    timing::Instant mFirst{};
    timing::Instant mLast{};
    std::set<std::uint64_t> mEngines;
    /// Different requests that are not blamed, up to kMinRequests.
    std::set<std::uint64_t> mRequests;
  };
  using Suspicions = std::unordered_map<std::uint64_t, Suspicion>;

  static bool Has(const Crash& aCrash, std::uint64_t aCause);
  /// True if no answered request excuses the cause for the crash.
  bool Counts(std::uint64_t aCause, const Crash& aCrash) const;
  /// Adds what the crash says against its suspects. A crash that a blamed part explains
  /// says nothing; one that a blamed request explains speaks against its parts alone,
  /// which may be the reason why other requests end engines as well.
  void AddCrash(const Crash& aCrash,
                const std::set<std::uint64_t>& aKnown,
                Suspicions& aSuspicions) const;
  /// True if the suspicion suffices unless another cause explains the crashes better.
  bool Suffices(std::uint64_t aCause, const Suspicion& aSuspicion) const;
  /// Returns the causes that explain most of the crashes that aKnown does not explain.
  std::vector<std::uint64_t> MostSuspect(const std::set<std::uint64_t>& aKnown) const;

  std::deque<Crash> mCrashes;
  std::unordered_map<std::uint64_t, timing::Instant> mSound;
};

}

#endif
