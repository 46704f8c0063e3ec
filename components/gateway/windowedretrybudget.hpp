#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_WINDOWEDRETRYBUDGET_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_WINDOWEDRETRYBUDGET_HPP

#include <unordered_map>

#include "components/gateway/slidingwindow.hpp"
#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

struct WindowedRetryBudgetLimits
{
  timing::Duration mWindow{ std::chrono::seconds(10) };
  /// Retries allowed for each first attempt, over all entries.
  double mRatio{ 0.2 };
  /// Retries allowed in each window in addition, over all entries.
  double mSlack{ 0.0 };
};

/// Workload: failing endpoints, where retries would multiply the traffic. Limits the
/// retries to each service in any window to a fraction of its first attempts. Every entry
/// counts its own first attempts and uses an equal share of mSlack, so that the sum over
/// all entries stays within the bound without any message between them.
class WindowedRetryBudget
{
public:
  /// Fraction of the bound that is used; the rest covers requests whose first attempt and
  /// retries are counted in different windows.
  static constexpr double kUsedFraction = 0.75;

  void SetLimits(const WindowedRetryBudgetLimits& aLimits) { mLimits = aLimits; }

  void RecordFirstAttempt(const ids::ServiceId& aService, timing::Instant aNow);
  /// Spends one retry; returns false if this entry, one of aEntries, has none left.
  bool TrySpend(const ids::ServiceId& aService,
                std::size_t aEntries,
                timing::Instant aNow);

private:
  struct Traffic
  {
    SlidingWindow mFirstAttempts;
    SlidingWindow mRetries;
  };
  Traffic& TrafficOf(const ids::ServiceId& aService);

  WindowedRetryBudgetLimits mLimits;
  std::unordered_map<ids::ServiceId, Traffic> mTraffic;
};

}

#endif
