#include <catch2/catch.hpp>

#include "apps/tests/gateway/trafficcontrolfixture.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;
using namespace samphiresail::gateway::testing;
using Fixture = TrafficControlFixture;

TEST_CASE_METHOD(Fixture, "control: a stopping process rejects new requests", "[gateway]")
{
  const StopSchedule schedule(kNow, 8s);
  mControl.Stop(schedule);
  Admit();
  const Refusal refusal = Refuse(Metadata(), schedule.RefuseFrom());
  CHECK(refusal.mStatus == 503);
  REQUIRE(refusal.mRetryAfter);
  CHECK(*refusal.mRetryAfter < 1s);
}

TEST_CASE_METHOD(Fixture,
                 "control: a stopping process begins no attempt that cannot end",
                 "[gateway]")
{
  AddEndpoint(mControl, "near", "z1");
  const StopSchedule schedule(kNow, 8s);
  mControl.mRetryBudget.SetLimits({ 10s, 0.2, 50.0 });
  RequestMetadata metadata = Metadata();
  metadata.mCallerTimeout = 20s;
  metadata.mOutputTokens = 50;
  const Admission earlier = Admit(metadata);
  mControl.Stop(schedule);
  const Admission admission = Admit(metadata);
  CHECK(admission.mDeadline == schedule.AnswerBy());
  const timing::Instant inTime = schedule.AnswerBy() - 2s;
  const timing::Instant late = schedule.AnswerBy() - 100ms;
  CHECK(mControl.TrySpendRetry(admission, 1, inTime));
  CHECK_FALSE(mControl.TrySpendRetry(admission, 1, late));
  CHECK_FALSE(mControl.TrySpendRetry(earlier, 1, late));
  CHECK(mControl.Begin(admission, {}, inTime).mEndpoint != nullptr);
  const Choice choice = mControl.Begin(admission, {}, late);
  CHECK(choice.mReason == NoEndpoint::Stopping);
  const Refusal refusal = mControl.RefuseNotRun(admission, choice, late);
  CHECK(refusal.mStatus == 503);
  CHECK(refusal.mRetryAfter.value_or(1h) < 1s);
}

TEST_CASE_METHOD(
  Fixture,
  "control: a stopping process judges a request by its run, without tokens",
  "[gateway]")
{
  // Its target latency is longer than what is left, but it is answered long before.
  auto configuration = Configuration();
  configuration->mRoutes[1].mKind = RequestKind::Irreversible;
  configuration->mRoutes[1].mTargetLatency = 8s;
  configuration->Index();
  mControl.SetConfiguration(configuration, kNow);
  const StopSchedule schedule(kNow, 8s);
  mControl.Stop(schedule);
  RequestMetadata metadata = Metadata("/digest/1");
  metadata.mCallerTimeout = 20s;
  metadata.mOutputTokens = 50;
  Admit(metadata);
  metadata.mOutputTokens = 1200;
  CHECK(Refuse(metadata, kNow).mTokens == 0.0);
  // The load balancer notices the stop two seconds after it began.
  CHECK(Refuse(metadata, kNow).mRetryAfter.value_or(0ms) > 2s);
  CHECK(Refuse(metadata, kNow).mRetryAfter.value_or(1h) < 3s);
  CHECK(Refuse(metadata, kNow + 2500ms).mRetryAfter.value_or(1h) < 500ms);
}
