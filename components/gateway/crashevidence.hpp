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
/// answered meanwhile, and no other cause explains the same ends as well. Causes that
/// explain the same ends are blamed together: what speaks against each of them is that
/// they were all there. A request that comes again explains its ends by itself; a part is
/// blamed under different requests only. Engines have ended under a cause only if they
/// were several: one that ends again and again is itself the reason.
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
  /// With this many ends, causes that cannot be told apart are blamed together; requests
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
  /// A crash speaks against parts after this time, within which the entries have told
  /// each other which requests the engine had.
  static constexpr timing::Duration kSettleTime = std::chrono::milliseconds(100);
  /// How long crashes are remembered.
  static constexpr timing::Duration kMemory = std::chrono::minutes(10);
  static constexpr std::size_t kMaxCrashes = 128;
  static constexpr std::size_t kMaxSuspectsPerCrash = 128;
  /// Of these, those that can be parts of prompts, so that long prompts leave room for
  /// other requests.
  static constexpr std::size_t kMaxPartsPerCrash = 80;
  static constexpr std::size_t kMaxSoundCauses = 40000;
  /// Causes that are blamed together; a request needs to have no more of them.
  static constexpr std::size_t kMaxCausesOfVerdict = 16;

  /// Causes in ascending order that are blamed together.
  using Causes = std::vector<std::uint64_t>;
  /// What is blamed already. A crash that had all causes of a verdict is explained by it.
  struct Known
  {
    void Add(const Causes& aVerdict);

    std::vector<Causes> mVerdicts;
    /// Index of the verdict that has the cause; verdicts have none in common.
    std::unordered_map<std::uint64_t, std::size_t> mVerdictOf;
    /// Causes that were blamed until another one explained more; crashes that a verdict
    /// explains still speak against them.
    std::set<std::uint64_t> mWatched;
  };

  /// Records that a request with the cause was answered beyond its first event.
  void RecordSound(std::uint64_t aCause, timing::Instant aAt);
  /// Returns when a request with the cause was last answered.
  std::optional<timing::Instant> LastSound(std::uint64_t aCause) const;

  /// Records that an engine ended at aAt while it had these suspects. Returns false if
  /// that was known.
  bool RecordCrash(std::uint64_t aEndpointHash,
                   const std::vector<Suspect>& aSuspects,
                   timing::Instant aAt,
                   timing::Instant aNow);
  /// False while a crash does not yet speak against parts.
  bool IsSettled(timing::Instant aNow) const;

  /// Number of recorded crashes that speak against the cause.
  std::size_t CrashesOf(std::uint64_t aCause) const;
  /// Number of recorded crashes that the cause was in, excused or not.
  std::size_t CrashesWith(std::uint64_t aCause) const;
  /// Engines of the recorded crashes that speak against all of the causes, each once.
  std::vector<std::uint64_t> EnginesOf(const Causes& aCauses) const;
  bool HasCrashes() const { return !mCrashes.empty(); }

  /// Adds aSuspects to aAll, whose size stays below kMaxSuspectsPerCrash; a part is added
  /// for the first requests only, since more of them say nothing more.
  static void AddSuspects(std::vector<Suspect>& aAll,
                          const std::vector<Suspect>& aSuspects);

  /// Returns the causes that are to blame in addition to aKnown.
  std::vector<Causes> Blame(Known aKnown, timing::Instant aNow) const;

  /// Returns those of the causes, blamed together at aSince, that were in all crashes
  /// since then which had some of them and which aOthers do not explain. Crashes that
  /// other requests may have caused tell only if there are two, of different engines.
  Causes Narrow(const Causes& aCauses,
                timing::Instant aSince,
                const std::vector<Causes>& aOthers,
                timing::Instant aNow) const;

  /// Erases crashes older than kMemory, and the causes that were sound longest ago if
  /// there are more than kMaxSoundCauses.
  void Tick(timing::Instant aNow);

private:
  struct Crash
  {
    std::uint64_t mEndpointHash{ 0 };
    timing::Instant mAt{};
    /// When this process learnt of it.
    timing::Instant mKnownAt{};
    std::vector<Suspect> mSuspects;
  };
  /// What speaks against one cause.
  struct Suspicion
  {
    bool mWholeRequest{ false };
    std::size_t mCrashes{ 0 };
    /// Of these, those that nothing blamed explains.
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
  static bool HasAll(const Crash& aCrash, const Causes& aCauses);
  /// Returns those of the causes that the crash speaks against.
  Causes CountedIn(const Crash& aCrash, const Causes& aCauses) const;
  /// True if the engine had no unanswered request without any of the causes.
  bool IsIsolated(const Crash& aCrash, const Causes& aCauses) const;
  /// Returns the causes of the verdicts that explain the crash.
  static std::set<std::uint64_t> Explaining(const Crash& aCrash, const Known& aKnown);
  /// True if one of the verdicts that explain the crash has a part of a prompt.
  static bool IsExplainedByPart(const Crash& aCrash,
                                const std::set<std::uint64_t>& aExplaining);
  /// Adds what the crash says against its suspects. A crash that a blamed part explains
  /// says nothing but against watched causes; one that a blamed request explains speaks
  /// against its parts, which may be the reason why other requests end engines as well.
  void AddCrash(const Crash& aCrash,
                const Known& aKnown,
                timing::Instant aNow,
                Suspicions& aSuspicions) const;
  /// True if the suspicion suffices unless another cause explains the crashes better.
  bool Suffices(std::uint64_t aCause, const Suspicion& aSuspicion) const;
  /// Returns the causes that explain most of the crashes that aKnown does not explain.
  Causes MostSuspect(const Known& aKnown, timing::Instant aNow) const;

  std::deque<Crash> mCrashes;
  std::unordered_map<std::uint64_t, timing::Instant> mSound;
};

}

#endif
