#ifndef SAMPHIRESAIL_COMPONENTS_RANDOM_RENDEZVOUS_HPP
#define SAMPHIRESAIL_COMPONENTS_RANDOM_RENDEZVOUS_HPP

#include <cstdint>
#include <string_view>

namespace samphiresail::random {

/// Returns the weight of a node for a topic in rendezvous hashing; the node with the
/// largest weight is preferred. All processes compute the same value.
constexpr std::uint64_t RendezvousWeight(std::string_view aNode, std::string_view aTopic)
{
  constexpr std::uint64_t kOffset = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffset;
  const auto mix = [&](std::string_view aText) {
    for (const char c : aText) {
      hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
    }
    hash = (hash ^ 0xffU) * kPrime;
  };
  mix(aNode);
  mix(aTopic);
  // Spreads the low entropy of short names over all bits.
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return hash;
}

}

#endif
