#ifndef SAMPHIRESAIL_COMPONENTS_TIMING_BOOTCLOCK_HPP
#define SAMPHIRESAIL_COMPONENTS_TIMING_BOOTCLOCK_HPP

#include <ctime>

#include "components/timing/clock.hpp"

namespace samphiresail::timing {

/// Clock that includes the time during which the VM was suspended, so that the staleness
/// of data received before a suspension is not underestimated.
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
