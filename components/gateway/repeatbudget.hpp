#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_REPEATBUDGET_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_REPEATBUDGET_HPP

#include <unordered_map>

#include "components/gateway/slidingwindow.hpp"
#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

struct RepeatBudgetLimits
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
class RepeatBudget
{
public:
  /// Part of the bound that is used; the rest covers requests that end a window apart
  /// from their repeats.
  static constexpr double kUsedPart = 0.75;

  void SetLimits(const RepeatBudgetLimits& aLimits) { mLimits = aLimits; }

  void RecordFirst(const ids::ServiceId& aService, timing::Instant aNow);
  /// Spends one repeat; returns false if there is none left for this entry of aEntries.
  bool TrySpend(const ids::ServiceId& aService,
                std::size_t aEntries,
                timing::Instant aNow);

private:
  struct Traffic
  {
    SlidingWindow mFirst;
    SlidingWindow mRepeats;
  };
  Traffic& Of(const ids::ServiceId& aService);

  RepeatBudgetLimits mLimits;
  std::unordered_map<ids::ServiceId, Traffic> mTraffic;
};

}

#endif
