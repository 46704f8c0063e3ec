#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <random>

#include "components/gateway/loadspread.hpp"

using namespace samphiresail::gateway;

namespace {

constexpr std::size_t kEntries = 23;
constexpr std::size_t kEndpoints = 3;
constexpr int kSlots = 6;
/// Requests that an endpoint queues beyond its slots.
constexpr int kQueue = 4;
constexpr int kServiceMs = 60;
constexpr int kPeerReportMs = 575;
constexpr int kRunMs = 20000;
/// Requests a second over all entries: half of the endpoints' capacity.
constexpr double kPerSecond = 150.0;

/// Simulates endpoints that run requests in slots and reject those that exceed slots and
/// queue, and entries that receive each other's counts only with peer reports.
class Simulation
{
public:
  explicit Simulation(unsigned aSeed)
    : mRandom(aSeed)
  {
  }

  template<typename Choose>
  double RejectedFraction(Choose aChoose)
  {
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    int sent = 0;
    int rejected = 0;
    for (int now = 0; now < kRunMs; ++now) {
      Advance(now);
      if (draw(mRandom) >= kPerSecond / 1000.0) {
        continue;
      }
      const auto entry = static_cast<std::size_t>(draw(mRandom) * kEntries);
      const std::size_t to = aChoose(Candidates(entry), draw(mRandom));
      ++sent;
      auto& runs = mRuns[to];
      if (runs.size() >= kSlots + kQueue) {
        ++rejected;
        continue;
      }
      const int begin = runs.size() < kSlots ? now : runs[runs.size() - kSlots].mEnd;
      runs.push_back({ begin + kServiceMs, entry });
    }
    return static_cast<double>(rejected) / sent;
  }

private:
  struct Run
  {
    int mEnd;
    std::size_t mEntry;
  };
  using Counts = std::array<int, kEndpoints>;

  void Advance(int aNow)
  {
    for (auto& runs : mRuns) {
      std::erase_if(runs, [aNow](const Run& aRun) { return aRun.mEnd <= aNow; });
    }
    for (std::size_t entry = 0; entry < kEntries; ++entry) {
      if ((aNow + static_cast<int>(entry) * kPeerReportMs / static_cast<int>(kEntries)) %
            kPeerReportMs ==
          0) {
        mReported[entry] = Own(entry);
      }
    }
  }

  Counts Own(std::size_t aEntry) const
  {
    Counts counts{};
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      counts[i] = static_cast<int>(std::ranges::count(
        mRuns[i], aEntry, [](const Run& aRun) { return aRun.mEntry; }));
    }
    return counts;
  }

  std::vector<SpreadCandidate> Candidates(std::size_t aEntry) const
  {
    std::vector<SpreadCandidate> candidates(kEndpoints);
    const Counts own = Own(aEntry);
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      int load = own[i];
      for (std::size_t other = 0; other < kEntries; ++other) {
        load += other == aEntry ? 0 : mReported[other][i];
      }
      candidates[i] = { static_cast<double>(load) / kSlots, kSlots };
    }
    return candidates;
  }

  std::mt19937 mRandom;
  std::array<std::deque<Run>, kEndpoints> mRuns;
  std::array<Counts, kEntries> mReported{};
};

}

TEST_CASE("spread: a single request goes to the least loaded endpoint", "[gateway]")
{
  const std::vector<SpreadCandidate> candidates{ { 0.5, 64 }, { 0.1, 64 }, { 0.4, 64 } };
  for (const double draw : { 0.0, 0.5, 0.999 }) {
    CHECK(SpreadOver(candidates, 0.0, draw) == 1);
  }
}

TEST_CASE("spread: many unreported requests bring endpoints to one level", "[gateway]")
{
  // The first two have 10 and 4 requests; 14 more bring both to 14.
  const std::vector<SpreadCandidate> candidates{ { 1.0, 10 }, { 0.4, 10 }, { 5.0, 10 } };
  constexpr int kDraws = 1400;
  std::array<int, 3> taken{};
  for (int i = 0; i < kDraws; ++i) {
    ++taken[SpreadOver(candidates, 14.0, (i + 0.5) / kDraws)];
  }
  CHECK(taken == std::array<int, 3>{ 400, 1000, 0 });
}

TEST_CASE("spread: a larger endpoint gets more requests", "[gateway]")
{
  const std::vector<SpreadCandidate> candidates{ { 0.0, 1 }, { 0.0, 3 } };
  CHECK(SpreadOver(candidates, 4.0, 0.24) == 0);
  CHECK(SpreadOver(candidates, 4.0, 0.26) == 1);
}

TEST_CASE("spread: entries with a stale view do not all choose one endpoint", "[gateway]")
{
  const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U);
  CAPTURE(seed);
  const double unreported = kPerSecond * kPeerReportMs / 1000.0;
  const double spread = Simulation(seed).RejectedFraction(
    [unreported](const auto& aCandidates, double aDraw) {
      return SpreadOver(aCandidates, unreported, aDraw);
    });
  const double leastLoaded =
    Simulation(seed).RejectedFraction([](const auto& aCandidates, double aDraw) {
      return SpreadOver(aCandidates, 0.0, aDraw);
    });
  // Half of the capacity is free: hardly any request may be rejected.
  CHECK(spread < 0.02);
  CHECK(leastLoaded > 5 * spread);
}
