#include "components/gateway/promptpart.hpp"

#include <array>
#include <charconv>

namespace samphiresail::gateway {

namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kMaxDigits = 16;

}

std::string PartName(std::uint64_t aPart)
{
  std::array<char, kMaxDigits> digits{};
  const auto [end, ec] =
    std::to_chars(digits.data(), digits.data() + digits.size(), aPart, kHexadecimal);
  return { digits.data(), end };
}

std::string PartNames(const std::vector<std::uint64_t>& aParts)
{
  std::string names;
  for (const std::uint64_t part : aParts) {
    names += (names.empty() ? "" : ",") + PartName(part);
  }
  return names;
}

std::optional<std::uint64_t> ParsePartName(std::string_view aName)
{
  std::uint64_t part = 0;
  const char* last = aName.data() + aName.size();
  const auto [end, ec] = std::from_chars(aName.data(), last, part, kHexadecimal);
  return ec == std::errc{} && end == last ? std::optional(part) : std::nullopt;
}

}
