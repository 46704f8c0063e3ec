#include <array>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string>

#include <unistd.h>

#include <CLI/CLI.hpp>

#include "apps/fuzz/decoders.hpp"
#include "apps/fuzz/mutator.hpp"

namespace {

using namespace samphiresail::fuzz;

constexpr unsigned kInputSeconds = 5;
constexpr unsigned kByteMask = 0xff;

std::string Hex(const std::string& aBytes)
{
  std::ostringstream text;
  text << std::hex << std::setfill('0');
  for (const char it : aBytes) {
    text << std::setw(2) << (static_cast<unsigned>(it) & kByteMask);
  }
  return text.str();
}

std::string InputAt(const Decoder& aDecoder, std::uint64_t aSeed, std::uint64_t aIndex)
{
  Mutator mutator(aDecoder.mSeeds, aSeed);
  auto input = mutator.Next();
  for (std::uint64_t it = 0; it < aIndex; ++it) {
    input = mutator.Next();
  }
  return input;
}

volatile std::uint64_t sInput = 0;

/// Ends the program at an input that keeps its decoder busy.
void OnInputTimeout(int)
{
  std::array<char, 64> buf{};
  const int n = std::snprintf(buf.data(),
                              buf.size(),
                              "input %llu takes too long\n",
                              static_cast<unsigned long long>(sInput));
  if (write(STDOUT_FILENO, buf.data(), static_cast<std::size_t>(n)) != n) {
    _exit(EXIT_FAILURE);
  }
  _exit(EXIT_FAILURE);
}

/// Runs the decoder on derived inputs and returns whether it met no fault.
bool RunInputs(const Decoder& aDecoder, std::uint64_t aSeed, std::uint64_t aRuns)
{
  for (const auto& seed : aDecoder.mSeeds) {
    aDecoder.mRun(seed);
  }
  Mutator mutator(aDecoder.mSeeds, aSeed);
  for (std::uint64_t it = 0; it < aRuns; ++it) {
    const auto input = mutator.Next();
    sInput = it;
    alarm(kInputSeconds);
    try {
      aDecoder.mRun(input);
    } catch (const std::exception& ec) {
      std::cout << aDecoder.mName << ": seed " << aSeed << " input " << it << ": "
                << ec.what() << "\n  bytes " << Hex(input) << '\n';
      return false;
    }
  }
  std::cout << aDecoder.mName << ": seed " << aSeed << ", " << aRuns
            << " inputs without a fault\n";
  return true;
}

}

int main(int argc, char** argv)
{
  CLI::App app("Feeds decoders of outside bytes with inputs derived from a seed");
  std::string name;
  std::uint64_t seed = 1;
  std::uint64_t runs = 10'000;
  bool show = false;
  app.add_option("--decoder", name, "Name of the decoder")->required();
  app.add_option("--seed", seed, "Seed of the inputs");
  app.add_option("--runs", runs, "Number of inputs");
  app.add_flag("--show", show, "Print only the last of the inputs");
  CLI11_PARSE(app, argc, argv);
  (void)std::signal(SIGALRM, OnInputTimeout);
  try {
    if (show) {
      std::cout << InputAt(FindDecoder(name), seed, runs);
      return EXIT_SUCCESS;
    }
    return RunInputs(FindDecoder(name), seed, runs) ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& ec) {
    std::cerr << "samphiresail-fuzz: " << ec.what() << '\n';
    return EXIT_FAILURE;
  }
}
