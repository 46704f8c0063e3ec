#ifndef SAMPHIRESAIL_APPS_FUZZ_MUTATOR_HPP
#define SAMPHIRESAIL_APPS_FUZZ_MUTATOR_HPP

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace samphiresail::fuzz {

/// Derives inputs from well-formed ones; the same seed gives the same inputs.
class Mutator
{
public:
  Mutator(std::vector<std::string> aSeeds, std::uint64_t aSeed);

  std::string Next();

private:
  std::size_t Below(std::size_t aBound);
  void Mutate(std::string& aBytes);

  std::vector<std::string> mSeeds;
  std::mt19937_64 mRandom;
};

}

#endif
