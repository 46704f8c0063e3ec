#ifndef SAMPHIRESAIL_COMPONENTS_LIMITS_BUDGETALLOCATOR_HPP
#define SAMPHIRESAIL_COMPONENTS_LIMITS_BUDGETALLOCATOR_HPP

#include <cstddef>
#include <memory>
#include <stdexcept>

#include "components/limits/bytebudget.hpp"

namespace samphiresail::limits {

/// Allocator for the buffers of connections, charged to a budget that must outlive them.
/// While the budget is short, a buffer above kSmallBuffer is refused with
/// std::length_error, which Beast reports as an overflow of the buffer.
template<typename T>
class BudgetAllocator
{
public:
  using value_type = T;

  /// Size up to which a buffer is granted even while the budget is short, in bytes; room
  /// for a usual head.
  static constexpr std::size_t kSmallBuffer = 4U << 10U;

  explicit BudgetAllocator(ByteBudget& aBudget)
    : mBudget(&aBudget)
  {
  }
  template<typename U>
  explicit BudgetAllocator(const BudgetAllocator<U>& aOther)
    : mBudget(aOther.Budget())
  {
  }

  // The standard names the functions of an allocator.
  // NOLINTBEGIN(readability-identifier-naming)
  T* allocate(std::size_t aCount)
  {
    const std::size_t bytes = aCount * sizeof(T);
    if (!mBudget->TryTake(bytes, kSmallBuffer)) {
      throw std::length_error("no memory for the buffer of a connection");
    }
    try {
      return std::allocator<T>().allocate(aCount);
    } catch (...) {
      mBudget->Return(bytes);
      throw;
    }
  }
  void deallocate(T* aPointer, std::size_t aCount) noexcept
  {
    std::allocator<T>().deallocate(aPointer, aCount);
    mBudget->Return(aCount * sizeof(T));
  }
  // NOLINTEND(readability-identifier-naming)

  ByteBudget* Budget() const { return mBudget; }
  friend bool operator==(const BudgetAllocator&, const BudgetAllocator&) = default;

private:
  ByteBudget* mBudget;
};

}

#endif
