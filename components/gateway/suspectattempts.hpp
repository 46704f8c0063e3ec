#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_SUSPECTATTEMPTS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_SUSPECTATTEMPTS_HPP

#include <cstdint>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Attempts in progress of requests under which, or under a part of which, engines have
/// ended. While it is open what the reason is, those with different causes are kept
/// apart: two that are at the same engine again could not be told apart by its end, and
/// would end one engine together where the sound one could have been answered elsewhere.
/// Those with the same cause go to the same engine, so that it ends one and not several,
/// and one that broke off waits for a moment if engines ended under a part of it more
/// than once, as the next end may show that it is the reason.
class SuspectAttempts
{
public:
  /// Ends under a part of a request from which on its attempts wait.
  static constexpr std::size_t kMinEndsToWait = 2;
  /// Longest wait, counted from its arrival and from the end of its last attempt.
  static constexpr timing::Duration kMaxWait = std::chrono::milliseconds(400);

  /// Records the begin and the end of an attempt of a request with this identity, which
  /// is suspected for the cause.
  void Begin(const ids::EndpointId& aEndpoint,
             std::uint64_t aIdentity,
             std::uint64_t aCause);
  void End(const ids::EndpointId& aEndpoint, std::uint64_t aIdentity);

  /// Records that an attempt of a request with this identity broke off unanswered.
  void RecordBreak(std::uint64_t aIdentity, timing::Instant aNow);
  /// True if the next attempt of a request waits for what others with the cause show,
  /// since endpoints ended under the cause this often: if one of it broke off just now,
  /// or if others are in progress and the request arrived just now.
  bool WaitsForOthers(std::uint64_t aIdentity,
                      std::uint64_t aCause,
                      std::size_t aEnds,
                      timing::Instant aArrived,
                      timing::Instant aNow) const;

  /// True if an attempt of such a request is in progress.
  bool IsInProgress(std::uint64_t aIdentity) const;
  /// Returns the endpoints with attempts of requests that are suspected for other causes.
  std::vector<ids::EndpointId> EndpointsOfOthers(std::uint64_t aCause) const;

private:
  struct Row
  {
    ids::EndpointId mEndpoint;
    std::uint64_t mIdentity{ 0 };
    std::uint64_t mCause{ 0 };
  };

  struct Break
  {
    std::uint64_t mIdentity{ 0 };
    timing::Instant mAt{};
  };

  std::vector<Row> mRows;
  /// Those of the last kMaxWait, in the order of their times.
  std::vector<Break> mBreaks;
};

}

#endif
