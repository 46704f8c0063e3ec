#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_SLIDINGSUM_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_SLIDINGSUM_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Sums amounts of the last aSpan in slots of equal length. An amount leaves the sum at
/// most one slot after aSpan, never before.
class SlidingSum
{
public:
  explicit SlidingSum(timing::Duration aSpan)
    : mSlot(std::max(aSpan / static_cast<std::int64_t>(kSlots - 1), timing::Duration(1)))
  {
  }

  void Add(double aAmount, timing::Instant aNow)
  {
    Advance(aNow);
    mAmounts[static_cast<std::size_t>(mLast) % kSlots] += aAmount;
    mSum += aAmount;
  }

  double Sum(timing::Instant aNow)
  {
    Advance(aNow);
    return mSum;
  }

private:
  static constexpr std::size_t kSlots = 81;

  void Advance(timing::Instant aNow)
  {
    const std::int64_t now = aNow.time_since_epoch() / mSlot;
    if (now - mLast >= static_cast<std::int64_t>(kSlots)) {
      mAmounts.fill(0.0);
      mSum = 0.0;
      mLast = now;
    }
    while (mLast < now) {
      double& amount = mAmounts[static_cast<std::size_t>(++mLast) % kSlots];
      mSum -= amount;
      amount = 0.0;
    }
  }

  timing::Duration mSlot;
  std::array<double, kSlots> mAmounts{};
  /// Number of the slot of the last call.
  std::int64_t mLast{ 0 };
  double mSum{ 0.0 };
};

}

#endif
