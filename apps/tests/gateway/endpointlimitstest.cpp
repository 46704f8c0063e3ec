#include <algorithm>
#include <cmath>
#include <random>
#include <unordered_map>
#include <vector>

#include <catch2/catch.hpp>

#include "components/gateway/endpointlimits.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using gateway::EndpointLimits;
using gateway::EndpointOutcomes;
using gateway::LimitedEndpoint;

namespace {

constexpr unsigned kSlots = 32;
const timing::Instant kStart{ 1h };

/// Entries that each see a part of the responses of some endpoints. A response is late
/// with a probability that the test sets for each endpoint.
class Fleet
{
public:
  Fleet(std::size_t aEntries, std::size_t aEndpoints)
    : mLimits(aEntries)
    , mLateProbability(aEndpoints, 0.0)
  {
  }

  std::vector<double> mLateProbability;

  /// Plays 200 ms at a time: each endpoint ends two responses, at entries drawn at
  /// random; then all entries exchange their outcomes and change their limits.
  void Play(timing::Duration aTime)
  {
    const timing::Instant end = mNow + aTime;
    while (mNow < end) {
      mNow += 200ms;
      for (std::size_t i = 0; i < mLateProbability.size(); ++i) {
        for (int n = 0; n < 2; ++n) {
          const bool late = std::bernoulli_distribution(mLateProbability[i])(mRandom);
          mLimits[mRandom() % mLimits.size()].Record(i, late, mNow);
        }
      }
      for (std::size_t entry = 0; entry < mLimits.size(); ++entry) {
        Step(entry);
      }
    }
  }
  double Limit(std::size_t aEndpoint, std::size_t aEntry = 0) const
  {
    return mLimits[aEntry].Limit(aEndpoint, kSlots);
  }

private:
  void Step(std::size_t aEntry)
  {
    std::vector<LimitedEndpoint> endpoints;
    for (std::size_t i = 0; i < mLateProbability.size(); ++i) {
      EndpointOutcomes others;
      for (std::size_t other = 0; other < mLimits.size(); ++other) {
        if (other != aEntry) {
          others += mLimits[other].Own(i, mNow);
        }
      }
      const auto used = static_cast<unsigned>(mLimits[aEntry].Limit(i, kSlots));
      endpoints.push_back({ i, kSlots, used, others });
    }
    mLimits[aEntry].Step(endpoints, mNow);
  }

  std::vector<EndpointLimits> mLimits;
  timing::Instant mNow{ kStart };
  std::mt19937 mRandom{ 7 };
};

}

TEST_CASE("endpoint limits: one that is late often gets less, at all entries alike",
          "[gateway]")
{
  Fleet fleet(8, 6);
  fleet.mLateProbability[2] = 0.7;
  fleet.Play(3s);
  for (std::size_t entry = 0; entry < 8; ++entry) {
    CAPTURE(entry);
    CHECK(fleet.Limit(2, entry) < 0.6 * kSlots);
    CHECK(fleet.Limit(2, entry) >= EndpointLimits::kFloorFraction * kSlots);
    CHECK(fleet.Limit(0, entry) == kSlots);
  }
  SECTION("a recovery is followed within 5 s")
  {
    fleet.mLateProbability[2] = 0.0;
    fleet.Play(5s);
    CHECK(fleet.Limit(2) > 0.9 * kSlots);
  }
  SECTION("it is never shut out")
  {
    fleet.mLateProbability[2] = 1.0;
    fleet.Play(60s);
    CHECK(fleet.Limit(2) == Approx(EndpointLimits::kFloorFraction * kSlots));
  }
}

TEST_CASE("endpoint limits: if all are late alike, none is blamed", "[gateway]")
{
  Fleet fleet(4, 6);
  std::ranges::fill(fleet.mLateProbability, 0.9);
  fleet.Play(10s);
  for (std::size_t i = 0; i < 6; ++i) {
    CAPTURE(i);
    CHECK(fleet.Limit(i) > 0.8 * kSlots);
  }
}

TEST_CASE("endpoint limits: a disturbance of some hundred milliseconds moves no load",
          "[gateway]")
{
  Fleet fleet(4, 6);
  fleet.Play(3s);
  fleet.mLateProbability[1] = 0.5;
  fleet.Play(400ms);
  fleet.mLateProbability[1] = 0.0;
  fleet.Play(400ms);
  CHECK(fleet.Limit(1) > 0.8 * kSlots);
}

TEST_CASE("endpoint limits: an entry without outcomes takes over those of the others",
          "[gateway]")
{
  EndpointLimits limits;
  const std::vector<LimitedEndpoint> endpoints{ { 1, kSlots, 20, { 20.0, 12.0 } },
                                                { 2, kSlots, 20, { 20.0, 0.5 } },
                                                { 3, kSlots, 20, { 20.0, 0.0 } } };
  for (auto now = kStart; now < kStart + 2s; now += 200ms) {
    limits.Step(endpoints, now);
  }
  CHECK(limits.Limit(1, kSlots) < 0.5 * kSlots);
  CHECK(limits.Limit(2, kSlots) == kSlots);
  const auto changes = limits.TakeChanges();
  REQUIRE_FALSE(changes.empty());
  CHECK(changes.front().mEndpoint == 1);
  CHECK(changes.front().mOutcomes.LateFraction() == Approx(0.6));
  CHECK(limits.TakeChanges().empty());
  CHECK(limits.Reduced() == 1);
  limits.Forget(1);
  CHECK(limits.Limit(1, kSlots) == kSlots);
}
