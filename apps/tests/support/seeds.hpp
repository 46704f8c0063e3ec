#ifndef SAMPHIRESAIL_APPS_TESTS_SUPPORT_SEEDS_HPP
#define SAMPHIRESAIL_APPS_TESTS_SUPPORT_SEEDS_HPP

#include <cstdint>
#include <cstdlib>
#include <numeric>
#include <string>
#include <vector>

namespace samphiresail::tests {

/// Returns the seeds 1 to aCount, or only the one that the environment variable
/// SAMPHIRESAIL_SEED names, to replay a failure.
inline std::vector<std::uint64_t> Seeds(std::size_t aCount)
{
  if (const char* seed = std::getenv("SAMPHIRESAIL_SEED")) {
    return { std::stoull(seed) };
  }
  std::vector<std::uint64_t> seeds(aCount);
  std::iota(seeds.begin(), seeds.end(), 1);
  return seeds;
}

}

#endif
