#include <catch2/catch.hpp>

#include "components/gateway/stopschedule.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kSignal{ 1h };

}

TEST_CASE("stop schedule: every time lies inside the grace period, in order", "[gateway]")
{
  const auto grace = GENERATE(1000ms, 2000ms, 5000ms, 8000ms, 30000ms, 600000ms);
  const StopSchedule schedule(kSignal, grace);
  CHECK(kSignal < schedule.IdleUntil());
  CHECK(schedule.IdleUntil() < schedule.RefuseFrom());
  CHECK(schedule.RefuseFrom() < schedule.StayUntil());
  CHECK(schedule.StayUntil() < schedule.AnswerBy());
  CHECK(schedule.AnswerBy() < schedule.EndBy());
  CHECK(schedule.EndBy() < kSignal + grace);
}

TEST_CASE("stop schedule: no request is admitted three seconds after the signal",
          "[gateway]")
{
  const auto grace = GENERATE(5000ms, 8000ms, 600000ms);
  const StopSchedule schedule(kSignal, grace);
  CHECK(schedule.RefuseFrom() < kSignal + 3s);
}

TEST_CASE("stop schedule: what is cut at the end has run into the last sixth",
          "[gateway]")
{
  const auto grace = GENERATE(1000ms, 2000ms, 5000ms, 8000ms, 30000ms);
  const StopSchedule schedule(kSignal, grace);
  CHECK(schedule.AnswerBy() > kSignal + grace * 5 / 6);
}

TEST_CASE("stop schedule: a request begins only if it can end", "[gateway]")
{
  const StopSchedule schedule(kSignal, 8s);
  ExpectedRun run;
  run.mRun = 1s;
  run.mTarget = 2s;
  run.mDeadline = kSignal + 20s;
  // An irreversible request is given its longest wait and its time.
  CHECK(schedule.MayBegin(run, schedule.AnswerBy() - 3s));
  CHECK_FALSE(schedule.MayBegin(run, schedule.AnswerBy() - 2900ms));
  // Nothing is known of the request.
  run.mRun = 0s;
  run.mTarget = 0s;
  CHECK(schedule.MayBegin(run, schedule.AnswerBy() - 300ms));
  CHECK_FALSE(schedule.MayBegin(run, schedule.AnswerBy() - 100ms));
  // A request that may be repeated can go on elsewhere.
  run.mRetryable = true;
  run.mRun = 10s;
  CHECK(schedule.MayBegin(run, schedule.AnswerBy() - 300ms));
  CHECK_FALSE(schedule.MayBegin(run, schedule.AnswerBy() - 100ms));
  // Its own deadline ends it in time.
  run.mDeadline = schedule.AnswerBy();
  CHECK(schedule.MayBegin(run, schedule.AnswerBy() - 1ms));
}
