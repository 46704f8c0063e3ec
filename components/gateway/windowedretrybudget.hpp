#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_WINDOWEDRETRYBUDGET_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_WINDOWEDRETRYBUDGET_HPP

#include <unordered_map>

#include "components/gateway/slidingwindow.hpp"
#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

struct WindowedRetryBudgetLimits
{
  timing::Duration mWindow{ std::chrono::seconds(10) };
  /// Repeats for each first send, over all entries.
  double mRatio{ 0.2 };
  /// Repeats in a window that are free, over all entries.
  double mSlack{ 0.0 };
};

/// Load answered: failing endpoints, where repeats would multiply the traffic. Limits the
/// repeats to each service in any window to a share of its first sends. Every entry uses
/// its own first sends and an equal part of the free repeats, so that the sum over all
/// entries keeps the bound without messages.
class WindowedRetryBudget
{
public:
  /// Part of the bound that is used; the rest covers requests that end a window apart
  /// from their repeats.
  static constexpr double kUsedFraction = 0.75;

  void SetLimits(const WindowedRetryBudgetLimits& aLimits) { mLimits = aLimits; }

  void RecordFirstAttempt(const ids::ServiceId& aService, timing::Instant aNow);
  /// Spends one repeat; returns false if there is none left for this entry of aEntries.
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
