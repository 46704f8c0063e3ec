#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTLIMITS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ENDPOINTLIMITS_HPP

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Recent responses of an endpoint, with older ones counting less.
struct EndpointOutcomes
{
  /// Responses that ended.
  double mEnded{ 0.0 };
  /// Those among them that were late: after their target, or with a pause beyond it.
  double mLate{ 0.0 };

  EndpointOutcomes& operator+=(const EndpointOutcomes& aOther);
  /// Fraction of late responses.
  double LateFraction() const { return mEnded > 0 ? mLate / mEnded : 0.0; }
};

/// Input of a step of the limits: an endpoint of a service, identified by HashName.
struct LimitedEndpoint
{
  std::uint64_t mHash{ 0 };
  /// Requests that it can process at the same time.
  unsigned mSlots{ 1 };
  /// Requests in flight there, of all entries.
  unsigned mRequests{ 0 };
  /// Outcomes that the other entries reported.
  EndpointOutcomes mReported;
};

/// A limit that has changed by a noticeable amount.
struct LimitChange
{
  std::uint64_t mEndpoint{ 0 };
  double mLimit{ 0.0 };
  unsigned mSlots{ 1 };
  /// What the limit rests on: the outcomes of all entries.
  EndpointOutcomes mOutcomes;
};

/// Workload: endpoints of one service that differ in speed, some of which slow down long
/// before their slots are full. Learns how many requests each takes well, by additive
/// increase and multiplicative decrease: an endpoint whose responses are late more often
/// than those of the whole service gets a smaller limit, down to a floor, and grows back
/// to its slots while it is not. All entries exchange their outcomes, so that each comes
/// to about the same limits although it sees few responses itself. If all endpoints are
/// late alike, the load is to blame and no limit changes.
class EndpointLimits
{
public:
  /// Time in which an outcome counts half as much.
  static constexpr timing::Duration kHalfLife = std::chrono::milliseconds(1000);
  /// Fraction of late responses that is always accepted.
  static constexpr double kAcceptedLateFraction = 0.05;
  /// Change of a limit, as a fraction of the slots, that is reported.
  static constexpr double kReportedChange = 0.25;
  /// Smallest limit, as a fraction of the slots.
  static constexpr double kFloorFraction = 0.125;

  /// Records the end of a response to this entry. A response that failed is late, so that
  /// failing fast earns no credit.
  void Record(std::uint64_t aEndpoint, bool aLate, timing::Instant aNow);
  /// Returns this entry's outcomes, for its reports to the others.
  EndpointOutcomes Own(std::uint64_t aEndpoint, timing::Instant aNow) const;
  /// Changes the limits of the endpoints of one service.
  void Step(const std::vector<LimitedEndpoint>& aEndpoints, timing::Instant aNow);
  /// Returns the limit of an endpoint, at most aSlots.
  double Limit(std::uint64_t aEndpoint, unsigned aSlots) const;
  /// Returns the limits that have changed by kReportedChange since each was returned
  /// last.
  std::vector<LimitChange> TakeChanges() { return std::exchange(mChanges, {}); }
  /// Number of endpoints whose limit is below their slots.
  std::size_t Reduced() const;
  /// Erases what is known of an endpoint that has ended or restarted.
  void Forget(std::uint64_t aEndpoint) { mRows.erase(aEndpoint); }

private:
  struct Row
  {
    EndpointOutcomes mOwn;
    timing::Instant mUpdatedAt{};
    /// Limit as a fraction of the slots.
    double mFraction{ 1.0 };
    timing::Instant mSteppedAt{};
    timing::Instant mDecreasedAt{};
    /// The fraction that was reported last.
    double mReportedFraction{ 1.0 };
  };
  static EndpointOutcomes Decayed(const Row& aRow, timing::Instant aNow);

  std::unordered_map<std::uint64_t, Row> mRows;
  std::vector<LimitChange> mChanges;
};

}

#endif
