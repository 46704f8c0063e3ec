#include <catch2/catch.hpp>

#include "components/store/restoredetector.hpp"

using namespace samphiresail;
using store::RestoreDetector;
using Verdict = RestoreDetector::Verdict;

TEST_CASE("restore: another generation, in any response, tells of it once", "[store]")
{
  RestoreDetector detector;
  CHECK(detector.OnResponse(detector.Begin(), 4, 100) == Verdict::Current);
  const auto before = detector.Begin();
  const auto late = detector.Begin();
  // The revision has passed the one that was known.
  CHECK(detector.OnResponse(before, 5, 200) == Verdict::Restored);
  CHECK(detector.Generation() == 5);
  CHECK(detector.OnResponse(detector.Begin(), 5, 200) == Verdict::Current);
  // Responses to calls from before it, of either store.
  CHECK(detector.OnResponse(late, 4, 101) == Verdict::Outdated);
  CHECK(detector.OnResponse(late, 5, 200) == Verdict::Outdated);
  CHECK(detector.OnResponse(late, std::nullopt, 0) == Verdict::Outdated);
  CHECK(detector.Restores() == 1);
  CHECK(detector.OnResponse(late, 6, 10) == Verdict::Restored);
}

TEST_CASE("restore: a generation that goes back is another store as well", "[store]")
{
  RestoreDetector detector;
  detector.OnResponse(detector.Begin(), 4, 100);
  CHECK(detector.OnResponse(detector.Begin(), 3, 100) == Verdict::Restored);
  CHECK(detector.Generation() == 3);
}

TEST_CASE("restore: a response without a generation tells nothing of it", "[store]")
{
  RestoreDetector detector;
  detector.OnResponse(detector.Begin(), 4, 100);
  CHECK(detector.OnResponse(detector.Begin(), std::nullopt, 0) == Verdict::Current);
  CHECK(detector.Generation() == 4);
  CHECK(detector.OnResponse(detector.Begin(), 4, 101) == Verdict::Current);
}

TEST_CASE("restore: a store that states no generation is known by its revision",
          "[store]")
{
  RestoreDetector detector;
  const auto first = detector.Begin();
  CHECK(detector.OnResponse(detector.Begin(), std::nullopt, 100) == Verdict::Current);
  // The response to an earlier call may overtake.
  CHECK(detector.OnResponse(first, std::nullopt, 90) == Verdict::Current);
  // A watch may return a part of the changes.
  CHECK(detector.OnResponse(detector.BeginAfter(80), std::nullopt, 95) ==
        Verdict::Current);
  CHECK(detector.OnResponse(detector.Begin(), std::nullopt, 99) == Verdict::Restored);
  CHECK(detector.Generation() == 0);
  // The store begins to state one.
  CHECK(detector.OnResponse(detector.Begin(), 1, 120) == Verdict::Restored);
}
