#ifndef SAMPHIRESAIL_COMPONENTS_TIMING_BOOTCLOCK_HPP
#define SAMPHIRESAIL_COMPONENTS_TIMING_BOOTCLOCK_HPP

#include <ctime>

#include "components/timing/clock.hpp"

namespace samphiresail::timing {

/// Clock that also counts the time during which the VM was suspended, so that evidence
/// gathered before a suspension is as old as it really is.
class BootClock final : public Clock
{
public:
  Instant Now() const override
  {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
  }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

}

#endif
