#ifndef SAMPHIRESAIL_COMPONENTS_TIMING_CLOCK_HPP
#define SAMPHIRESAIL_COMPONENTS_TIMING_CLOCK_HPP

#include <chrono>

namespace samphiresail::timing {

/// Point on a monotonic clock of one process.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
/// Point on the wall clock; used for logs and the timeline, never where safety depends on
/// it.
using WallTime = std::chrono::system_clock::time_point;

/// Source of time that is passed into everything that depends on time.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

/// Clock of the operating system.
class SystemClock final : public Clock
{
public:
  Instant Now() const override { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

/// Clock for tests that changes only through Advance.
class ManualClock final : public Clock
{
public:
  Instant Now() const override { return mNow; }
  WallTime WallNow() const override
  {
    return WallTime(
      std::chrono::duration_cast<WallTime::duration>(mNow.time_since_epoch()));
  }
  void Advance(Duration aStep) { mNow += aStep; }

private:
  Instant mNow{ std::chrono::hours(1) };
};

}

#endif
