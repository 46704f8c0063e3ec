#ifndef SAMPHIRESAIL_APPS_STANDINS_COMMON_RATELIMIT_HPP
#define SAMPHIRESAIL_APPS_STANDINS_COMMON_RATELIMIT_HPP

#include <algorithm>
#include <chrono>

#include "components/timing/clock.hpp"

namespace samphiresail::standins {

/// Allows a number of calls per second with a burst of one second. Not thread-safe.
class RateLimit
{
public:
  /// Sets the calls per second; 0 allows all.
  void SetRate(double aPerSecond)
  {
    mPerSecond = aPerSecond;
    mCredit = aPerSecond;
  }

  /// Counts a call and returns whether it is within the rate.
  bool Allow(timing::Instant aNow)
  {
    if (mPerSecond <= 0.0) {
      return true;
    }
    const std::chrono::duration<double> elapsed = aNow - mLast;
    mLast = aNow;
    mCredit = std::min(mPerSecond, mCredit + elapsed.count() * mPerSecond);
    if (mCredit < 1.0) {
      return false;
    }
    mCredit -= 1.0;
    return true;
  }

private:
  double mPerSecond{ 0.0 };
  double mCredit{ 0.0 };
  timing::Instant mLast{};
};

}

#endif
