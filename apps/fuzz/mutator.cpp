#include "apps/fuzz/mutator.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace samphiresail::fuzz {

namespace {

constexpr std::size_t kMaxSteps = 6;
constexpr std::size_t kMaxRepeat = 64;
constexpr std::size_t kMaxBytes = 64U << 10U;
constexpr unsigned kBitsPerByte = 8;

/// Fragments that decoders treat specially.
constexpr std::array<std::string_view, 28> kFragments{
  "{",
  "}",
  "[",
  "]",
  "\"",
  ":",
  ",",
  "null",
  "true",
  "-1",
  "1e400",
  "9223372036854775808",
  "18446744073709551616",
  "0.5",
  "\n\n",
  "data: ",
  "[DONE]",
  "&a",
  "*a",
  "<<:",
  "\xff",
  "\\u0000",
  "\\ud800",
  "==",
  "\r\n",
  "- ",
  ": ",
  "\xc0\x80",
};

}

Mutator::Mutator(std::vector<std::string> aSeeds, std::uint64_t aSeed)
  : mSeeds(std::move(aSeeds))
  , mRandom(aSeed)
{
  mSeeds.emplace_back();
}

std::size_t Mutator::Below(std::size_t aBound)
{
  return static_cast<std::size_t>(mRandom() % std::max<std::size_t>(aBound, 1));
}

std::string Mutator::Next()
{
  auto bytes = mSeeds[Below(mSeeds.size())];
  const auto steps = 1 + Below(kMaxSteps);
  for (std::size_t it = 0; it < steps; ++it) {
    Mutate(bytes);
  }
  bytes.resize(std::min(bytes.size(), kMaxBytes));
  return bytes;
}

void Mutator::Mutate(std::string& aBytes)
{
  const auto at = Below(aBytes.size() + 1);
  const auto length = Below(std::min(aBytes.size() - at, kMaxRepeat) + 1);
  switch (Below(8)) {
    case 0:
      if (at < aBytes.size()) {
        aBytes[at] = static_cast<char>(aBytes[at] ^ (1U << Below(kBitsPerByte)));
      }
      break;
    case 1:
      if (at < aBytes.size()) {
        aBytes[at] = static_cast<char>(mRandom());
      }
      break;
    case 2:
      aBytes.erase(at, length);
      break;
    case 3:
      aBytes.insert(at, aBytes.substr(at, length));
      break;
    case 4:
      aBytes.resize(at);
      break;
    case 5:
      aBytes.insert(at, kFragments[Below(kFragments.size())]);
      break;
    case 6: {
      const std::string fragment(kFragments[Below(kFragments.size())]);
      std::string repeated;
      const auto n = Below(kMaxRepeat);
      for (std::size_t it = 0; it < n; ++it) {
        repeated += fragment;
      }
      aBytes.insert(at, repeated);
      break;
    }
    default: {
      const auto& other = mSeeds[Below(mSeeds.size())];
      aBytes.replace(at, std::string::npos, other.substr(Below(other.size() + 1)));
      break;
    }
  }
}

}
