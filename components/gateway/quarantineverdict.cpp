#include "components/gateway/quarantineverdict.hpp"

#include <algorithm>

namespace samphiresail::gateway {

std::uint64_t VerdictId(const CrashEvidence::Causes& aCauses)
{
  if (aCauses.size() == 1) {
    return aCauses.front();
  }
  // 64-bit FNV-1a.
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  constexpr int kBits = 64;
  constexpr int kBitsOfByte = 8;
  constexpr std::uint64_t kByte = 0xff;
  std::uint64_t hash = kOffset;
  for (const std::uint64_t cause : aCauses) {
    for (int shift = 0; shift < kBits; shift += kBitsOfByte) {
      hash = (hash ^ ((cause >> shift) & kByte)) * kPrime;
    }
  }
  return hash;
}

CrashEvidence::Causes SortedCauses(CrashEvidence::Causes aCauses)
{
  std::ranges::sort(aCauses);
  aCauses.erase(std::unique(aCauses.begin(), aCauses.end()), aCauses.end());
  return aCauses;
}

}
