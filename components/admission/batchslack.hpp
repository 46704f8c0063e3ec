#ifndef SAMPHIRESAIL_COMPONENTS_ADMISSION_BATCHSLACK_HPP
#define SAMPHIRESAIL_COMPONENTS_ADMISSION_BATCHSLACK_HPP

#include <algorithm>
#include <cstdint>

namespace samphiresail::admission {

/// Occupied slots of an endpoint.
struct SlotUse
{
  std::uint32_t mInFlight{ 0 };
  std::uint32_t mBatchInFlight{ 0 };
  std::uint32_t mLimit{ 0 };
};

/// Returns true if a batch item may occupy a slot. The first one may whenever a slot is
/// free, further ones only while a quarter of the slots stays free for the other classes.
constexpr bool BatchFits(const SlotUse& aUse)
{
  if (aUse.mInFlight >= aUse.mLimit) {
    return false;
  }
  const std::uint32_t reserve = std::max<std::uint32_t>(aUse.mLimit / 4, 1);
  return aUse.mBatchInFlight == 0 || aUse.mInFlight + reserve < aUse.mLimit;
}

}

#endif
