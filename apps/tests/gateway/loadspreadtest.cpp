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
/// Requests beyond the slots that an endpoint takes.
constexpr int kQueue = 4;
constexpr int kServiceMs = 60;
constexpr int kPeerReportMs = 575;
constexpr int kRunMs = 20000;
/// Requests a second over all entries: half of what the endpoints can do.
constexpr double kPerSecond = 150.0;

/// Endpoints that run requests in slots and refuse what does not fit, and entries that
/// see each other's requests only at their digests.
class Play
{
public:
  explicit Play(unsigned aSeed)
    : mRandom(aSeed)
  {
  }

  template<typename Choose>
  double RefusedShare(Choose aChoose)
  {
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    int sent = 0;
    int refused = 0;
    for (int now = 0; now < kRunMs; ++now) {
      Advance(now);
      if (draw(mRandom) >= kPerSecond / 1000.0) {
        continue;
      }
      const auto entry = static_cast<std::size_t>(draw(mRandom) * kEntries);
      const std::size_t to = aChoose(Seen(entry), draw(mRandom));
      ++sent;
      auto& runs = mRuns[to];
      if (runs.size() >= kSlots + kQueue) {
        ++refused;
        continue;
      }
      const int begin = runs.size() < kSlots ? now : runs[runs.size() - kSlots].mEnd;
      runs.push_back({ begin + kServiceMs, entry });
    }
    return static_cast<double>(refused) / sent;
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
        mTold[entry] = Own(entry);
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

  std::vector<SpreadCandidate> Seen(std::size_t aEntry) const
  {
    std::vector<SpreadCandidate> candidates(kEndpoints);
    const Counts own = Own(aEntry);
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      int load = own[i];
      for (std::size_t other = 0; other < kEntries; ++other) {
        load += other == aEntry ? 0 : mTold[other][i];
      }
      candidates[i] = { static_cast<double>(load) / kSlots, kSlots };
    }
    return candidates;
  }

  std::mt19937 mRandom;
  std::array<std::deque<Run>, kEndpoints> mRuns;
  std::array<Counts, kEntries> mTold{};
};

}

TEST_CASE("spread: a request alone goes to the least loaded endpoint", "[gateway]")
{
  const std::vector<SpreadCandidate> candidates{ { 0.5, 64 }, { 0.1, 64 }, { 0.4, 64 } };
  for (const double draw : { 0.0, 0.5, 0.999 }) {
    CHECK(SpreadOver(candidates, 0.0, draw) == 1);
  }
}

TEST_CASE("spread: many unseen requests bring endpoints to one level", "[gateway]")
{
  // 10 and 4 requests are there; 14 more make it 14 each.
  const std::vector<SpreadCandidate> candidates{ { 1.0, 10 }, { 0.4, 10 }, { 5.0, 10 } };
  constexpr int kDraws = 1400;
  std::array<int, 3> taken{};
  for (int i = 0; i < kDraws; ++i) {
    ++taken[SpreadOver(candidates, 14.0, (i + 0.5) / kDraws)];
  }
  CHECK(taken == std::array<int, 3>{ 400, 1000, 0 });
}

TEST_CASE("spread: a larger endpoint takes more", "[gateway]")
{
  const std::vector<SpreadCandidate> candidates{ { 0.0, 1 }, { 0.0, 3 } };
  CHECK(SpreadOver(candidates, 4.0, 0.24) == 0);
  CHECK(SpreadOver(candidates, 4.0, 0.26) == 1);
}

TEST_CASE("spread: entries with an old picture do not rush to one endpoint", "[gateway]")
{
  const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U);
  CAPTURE(seed);
  const double unreported = kPerSecond * kPeerReportMs / 1000.0;
  const double spread =
    Play(seed).RefusedShare([unreported](const auto& aCandidates, double aDraw) {
      return SpreadOver(aCandidates, unreported, aDraw);
    });
  const double least = Play(seed).RefusedShare([](const auto& aCandidates, double aDraw) {
    return SpreadOver(aCandidates, 0.0, aDraw);
  });
  // Half of the places are free: hardly any caller may be turned away.
  CHECK(spread < 0.02);
  CHECK(least > 5 * spread);
}
