#include <catch2/catch.hpp>

#include <vector>

#include "apps/tests/gateway/trafficcontrolfixture.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;
using namespace samphiresail::gateway::testing;

namespace {

using Fixture = TrafficControlFixture;

/// Checks that the caller is told a time after now and no later than aMost.
void CheckTime(const Refusal& aRefusal, std::chrono::milliseconds aMost)
{
  INFO(aRefusal.mStatus << " " << aRefusal.mReason);
  REQUIRE(aRefusal.mRetryAfter);
  CHECK(*aRefusal.mRetryAfter > 0ms);
  CHECK(*aRefusal.mRetryAfter <= aMost);
}

}

// These tests guard against refusals whose time came from another condition than the one
// that refused, or was not in the future.

TEST_CASE_METHOD(Fixture,
                 "refusal: the time of each reason without an endpoint is after now",
                 "[gateway]")
{
  const NoEndpoint reason = GENERATE(NoEndpoint::NoneUsable,
                                     NoEndpoint::ModelAbsent,
                                     NoEndpoint::AdapterAbsent,
                                     NoEndpoint::Paused,
                                     NoEndpoint::Full,
                                     NoEndpoint::Quarantined,
                                     NoEndpoint::SuspectTested,
                                     NoEndpoint::Suspected,
                                     NoEndpoint::Stopping);
  const auto freeAfter = GENERATE(values<std::optional<Milliseconds>>(
    { std::nullopt, Milliseconds(-5), Milliseconds(0), Milliseconds(700) }));
  // A model that loads at once, and a caller whose deadline has passed.
  const auto late = GENERATE(0ms, 4999ms, 5000ms, 6000ms);
  auto configuration = Configuration();
  ModelSpec model;
  model.mName = ids::ModelId("m");
  model.mLoadTime = 1ms;
  configuration->mServices[0].mEngine->mModels.push_back(model);
  mControl.SetConfiguration(configuration, kNow);
  const Admission admission = Admit();
  for (int i = 0; i < 50; ++i) {
    CheckTime(mControl.RefuseNotRun(
                admission, Choice{ nullptr, reason, {}, freeAfter }, kNow + late),
              3s);
  }
}

TEST_CASE_METHOD(Fixture,
                 "refusal: a passed deadline does not replace the forecast",
                 "[gateway]")
{
  const Admission admission = Admit();
  const Choice full{ nullptr, NoEndpoint::Full, {}, Milliseconds(700) };
  CHECK(mControl.RefuseNotRun(admission, full, kNow + 6s).mRetryAfter >= 700ms);
}

TEST_CASE_METHOD(Fixture,
                 "refusal: a pause says nothing of endpoints that are full",
                 "[gateway]")
{
  EnginePolicy policy;
  policy.mByWork = false;
  mControl.SetEnginePolicy(policy);
  AddEndpoint(mControl, "paused", "z1");
  AddEndpoint(mControl, "full", "z1");
  const ids::EndpointId paused("paused");
  mControl.mDirectory.Pause(
    paused, mControl.mDirectory.Find(paused)->mReport.mIncarnation, kNow + 60s);
  const Admission admission = Admit();
  while (mControl.Begin(admission, {}, kNow).mEndpoint != nullptr) {
  }
  const Choice choice = mControl.Begin(admission, {}, kNow);
  REQUIRE(choice.mReason == NoEndpoint::Full);
  // The queue at this entry has a forecast of its own, far below the end of the pause.
  CHECK(choice.mFreeAfter.value_or(Milliseconds(0)) < Milliseconds(2000));
  CheckTime(mControl.RefuseNotRun(admission, choice, kNow), 2s);
}

TEST_CASE_METHOD(Fixture, "refusal: quarantine, stop and outage tell a time", "[gateway]")
{
  RequestMetadata metadata = Metadata();
  SECTION("a request in quarantine")
  {
    metadata.mIdentity = 71;
    CrashFindings findings;
    findings.mVerdicts.push_back({ { 71 } });
    mControl.mQuarantine.Merge(findings, kNow);
    const auto block = mControl.mQuarantine.BlockOf(metadata, kNow);
    REQUIRE(block);
    const timing::Instant last = block->mUntil - 1us;
    REQUIRE(mControl.mQuarantine.BlockOf(metadata, last));
    mControl.mStoreFreshness.ConfirmUpTo(last);
    if (!mControl.mQuarantine.IsTestDue(metadata, last)) {
      CheckTime(Refuse(metadata, last), 1ms);
    }
    CheckTime(mControl.RefuseNotRun(
                Admit(), Choice{ nullptr, NoEndpoint::Quarantined, {}, {} }, kNow),
              1s);
  }
  SECTION("a stop")
  {
    const StopSchedule schedule(kNow, 8s);
    mControl.Stop(schedule);
    CheckTime(Refuse(metadata, schedule.RefuseFrom()), 1s);
  }
  SECTION("keys that may be out of date")
  {
    CheckTime(Refuse(metadata, kNow + 1h), 2s);
  }
  SECTION("no configuration")
  {
    TrafficControl control(ids::AvailabilityZoneId("z1"), 7);
    CheckTime(std::get<Refusal>(control.Admit(metadata, kNow)), 2s);
  }
  SECTION("a body above a limit that may be out of date")
  {
    CheckTime(mControl.RefuseTooLarge({ 413, "large", {}, {}, {}, 0.0 }, kNow + 1h), 2s);
  }
  SECTION("a route without a service")
  {
    auto configuration = Configuration();
    configuration->mRoutes[0].mServices.clear();
    configuration->Index();
    mControl.SetConfiguration(configuration, kNow);
    CheckTime(Refuse(metadata), 2s);
  }
  SECTION("what no retry can cure has no time")
  {
    metadata.mKey = "unknown";
    CHECK_FALSE(Refuse(metadata).mRetryAfter);
    metadata.mPath = "/unknown";
    CHECK_FALSE(Refuse(metadata).mRetryAfter);
    CHECK_FALSE(
      mControl.RefuseTooLarge({ 413, "large", {}, {}, {}, 0.0 }, kNow).mRetryAfter);
  }
}

TEST_CASE("refusal: tokens are available at the time that a quota's rejection tells",
          "[gateway]")
{
  const std::size_t entries = GENERATE(1U, 4U, 29U, 360U);
  const double tokens = GENERATE(50.0, 1000.0, 8000.0);
  const bool shared = GENERATE(true, false);
  CAPTURE(entries, tokens, shared);
  const ids::ClientAccountId name("club");
  ServingConfiguration configuration;
  configuration.mAccounts.emplace_back();
  configuration.mAccounts[0].mName = name;
  configuration.mAccounts[0].mTokensPerSecond = 20000.0;
  configuration.mAccounts[0].mBurstTokens = 20000.0;
  QuotaLedger ledger;
  ledger.SetTerms({ 8s, 0.1, 17000.0 });
  ledger.Configure(configuration, kNow);
  timing::Instant now = kNow;
  int rejections = 0;
  for (int i = 0; i < 200; ++i) {
    now += 100ms;
    if (i % 3 == 0) {
      ledger.SetPeers(name, {}, entries, shared, now);
    }
    QuotaDecision decision = ledger.TryConsume(name, tokens, now);
    while (decision.mAdmitted) {
      decision = ledger.TryConsume(name, tokens, now);
    }
    ++rejections;
    CHECK(decision.mRetryAfter > 0ms);
    QuotaLedger later = ledger;
    const timing::Instant then = now + decision.mRetryAfter + 1ms;
    later.SetPeers(name, {}, entries, shared, then);
    CHECK(later.TryConsume(name, tokens, then).mAdmitted);
  }
  CHECK(rejections == 200);
}
