#include <catch2/catch.hpp>

#include "components/gateway/quarantinewriters.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

TEST_CASE("quarantine writers: a record whose writer has left for good is taken over",
          "[gateway]")
{
  constexpr std::uint64_t kCause = 7;
  const ids::ProcessId own("e1");
  const ids::ProcessId writer("e2");
  QuarantineWriters writers;
  writers.Set(kCause, writer, 3);
  timing::Instant now{ 1h };
  const auto orphansAfter = [&](timing::Duration aTime,
                                const std::vector<ids::ProcessId>& aPresent) {
    std::size_t orphans = 0;
    for (const timing::Instant end = now + aTime; now < end; now += 40ms) {
      orphans += writers.TakeOrphans(aPresent, now).size();
    }
    return orphans;
  };
  CHECK(orphansAfter(60s, { own, writer }) == 0);
  // A restart.
  CHECK(orphansAfter(9s, { own }) == 0);
  CHECK(orphansAfter(1s, { own, writer }) == 0);
  CHECK(orphansAfter(QuarantineWriters::kAbsence + 1s, { own }) == 1);
  // The attempt failed, so it is made again; then it succeeded.
  CHECK(orphansAfter(QuarantineWriters::kAbsence, { own }) == 1);
  writers.Set(kCause, own, 3);
  CHECK(orphansAfter(60s, { own }) == 0);
  writers.Set(kCause, writer, 3);
  writers.RetainOnly({ kCause + 1 });
  CHECK(orphansAfter(60s, { own }) == 0);
}
