#ifndef SAMPHIRESAIL_COMPONENTS_UNITS_QUANTITY_HPP
#define SAMPHIRESAIL_COMPONENTS_UNITS_QUANTITY_HPP

#include <compare>
#include <cstdint>

namespace samphiresail::units {

/// Number with a unit; only quantities of the same unit can be added and compared.
template<typename Tag, typename Rep>
class Quantity
{
public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(Rep aValue)
    : mValue(aValue)
  {
  }

  /// Returns the bare number in the unit of the type.
  constexpr Rep Count() const { return mValue; }

  constexpr auto operator<=>(const Quantity&) const = default;

  constexpr Quantity operator+(Quantity aOther) const
  {
    return Quantity(mValue + aOther.mValue);
  }
  constexpr Quantity operator-(Quantity aOther) const
  {
    return Quantity(mValue - aOther.mValue);
  }
  constexpr Quantity& operator+=(Quantity aOther)
  {
    mValue += aOther.mValue;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity aOther)
  {
    mValue -= aOther.mValue;
    return *this;
  }

private:
  Rep mValue{};
};

/// Tokens of prompt or output.
using Tokens = Quantity<struct TokensTag, std::int64_t>;
/// Tokens that a client account may use per second.
using TokensPerSecond = Quantity<struct TokensPerSecondTag, double>;
/// Accelerator memory.
using Bytes = Quantity<struct BytesTag, std::int64_t>;
/// Version of a record in the platform's store; only increases.
using Version = Quantity<struct VersionTag, std::uint64_t>;
/// Number drawn at the start of a process; a restarted process has another.
using Incarnation = Quantity<struct IncarnationTag, std::uint64_t>;
/// Number that increases with each order, so that an engine can reject an old one.
using FencingNumber = Quantity<struct FencingNumberTag, std::uint64_t>;

}

#endif
