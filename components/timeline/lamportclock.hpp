#ifndef SAMPHIRESAIL_COMPONENTS_TIMELINE_LAMPORTCLOCK_HPP
#define SAMPHIRESAIL_COMPONENTS_TIMELINE_LAMPORTCLOCK_HPP

#include <atomic>
#include <cstdint>

namespace samphiresail::timeline {

/// Counter that orders an event before all events that it caused in any process. Safe
/// from any thread.
class LamportClock
{
public:
  /// Returns the stamp of a new event, above all stamps seen.
  std::uint64_t Next() { return mStamp.fetch_add(1, std::memory_order_relaxed) + 1; }

  /// Takes notice of the stamp on a message that arrived.
  void Observe(std::uint64_t aStamp)
  {
    std::uint64_t seen = mStamp.load(std::memory_order_relaxed);
    while (seen < aStamp &&
           !mStamp.compare_exchange_weak(seen, aStamp, std::memory_order_relaxed)) {
    }
  }

private:
  std::atomic<std::uint64_t> mStamp{ 0 };
};

}

#endif
