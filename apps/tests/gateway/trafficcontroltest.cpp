#include <catch2/catch.hpp>

#include "apps/tests/gateway/trafficcontrolfixture.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;
using namespace samphiresail::gateway::testing;
using Fixture = TrafficControlFixture;

TEST_CASE("control: a request before any configuration is rejected with a retry time",
          "[gateway]")
{
  TrafficControl control(ids::AvailabilityZoneId("z1"), 7);
  const auto result = control.Admit(Metadata(), kNow);
  REQUIRE(std::holds_alternative<Refusal>(result));
  CHECK(std::get<Refusal>(result).mStatus == 503);
  CHECK(std::get<Refusal>(result).mRetryAfter);
}

TEST_CASE_METHOD(Fixture, "control: unknown keys and routes are rejected", "[gateway]")
{
  RequestMetadata metadata = Metadata();
  metadata.mKey = "other";
  CHECK(Refuse(metadata).mStatus == 401);
  CHECK(Refuse(Metadata("/nothing/")).mStatus == 404);
}

// Guards against a service that gets requests although the route gives it none.
TEST_CASE_METHOD(Fixture,
                 "control: a service without a weight gets no request, and a route "
                 "without any weight refuses",
                 "[gateway]")
{
  auto split = Configuration();
  split->mRoutes[0].mServices = { { kEngines, 1.0 }, { ids::ServiceId("old"), 0.0 } };
  split->mRoutes[1].mServices = { { kEngines, 0.0 } };
  split->Index();
  mControl.SetConfiguration(split, kNow);
  for (int i = 0; i < 1000; ++i) {
    CHECK(Admit().mService->mName == kEngines);
  }
  CHECK(Refuse(Metadata("/digest/1")).mStatus == 503);
}

TEST_CASE_METHOD(
  Fixture,
  "control: without news of the store keys and routes are not rejected as unknown",
  "[gateway]")
{
  CHECK(Refuse(Metadata(), kNow + 5s).mStatus == 503);
  RequestMetadata metadata = Metadata();
  metadata.mKey = "other";
  CHECK(Refuse(metadata, kNow + 5s).mStatus == 503);
  CHECK(Refuse(Metadata("/nothing/"), kNow + 5s).mStatus == 503);
}

TEST_CASE_METHOD(
  Fixture,
  "control: no caller is refused for good by a view older than the time for changes",
  "[gateway]")
{
  mControl.mStoreFreshness.SetBounds(3s, 5s);
  RequestMetadata unknownKey = Metadata();
  unknownKey.mKey = "other";
  const RequestMetadata unknownRoute = Metadata("/nothing/");
  CHECK(Refuse(unknownKey, kNow + 2900ms).mStatus == 401);
  CHECK(Refuse(unknownRoute, kNow + 2900ms).mStatus == 404);
  CHECK(Refuse(unknownKey, kNow + 3100ms).mStatus == 503);
  CHECK(Refuse(unknownRoute, kNow + 3100ms).mStatus == 503);
  CHECK(Refuse(unknownRoute, kNow + 3100ms).mRetryAfter);
  // Requests that the view allows are still served.
  CHECK(std::holds_alternative<Admission>(mControl.Admit(Metadata(), kNow + 3100ms)));
}

TEST_CASE_METHOD(
  Fixture,
  "control: no caller is refused for good while the newest configuration is unreadable",
  "[gateway]")
{
  RequestMetadata unknownKey = Metadata();
  unknownKey.mKey = "other";
  mControl.mStoreFreshness.RecordConfiguration(false);
  CHECK(Refuse(unknownKey, kNow).mStatus == 503);
  CHECK(Refuse(Metadata("/nothing/"), kNow).mStatus == 503);
  CHECK(std::holds_alternative<Admission>(mControl.Admit(Metadata(), kNow)));
  mControl.mStoreFreshness.RecordConfiguration(true);
  CHECK(Refuse(unknownKey, kNow).mStatus == 401);
  CHECK(Refuse(Metadata("/nothing/"), kNow).mStatus == 404);
}

TEST_CASE_METHOD(Fixture,
                 "control: the deadline is the earlier of the caller's and the route's",
                 "[gateway]")
{
  CHECK(Admit().mDeadline == kNow + 5s);
  RequestMetadata metadata = Metadata();
  metadata.mCallerTimeout = 60s;
  CHECK(Admit(metadata).mDeadline == kNow + 12s);
}

TEST_CASE_METHOD(Fixture,
                 "control: latency-tolerant requests come after urgent ones",
                 "[gateway]")
{
  CHECK(Admit(Metadata("/digest/1")).mPriority > Admit().mPriority);
}

TEST_CASE_METHOD(Fixture,
                 "control: requests spread by load and prefer the own zone",
                 "[gateway]")
{
  AddEndpoint(mControl, "near", "z1");
  AddEndpoint(mControl, "far", "z2");
  const Admission admission = Admit();
  CHECK(mControl.Begin(admission, {}, kNow).mEndpoint->mReport.mId.Str() == "near");
  // One more request at the near endpoint costs more than the zone penalty.
  CHECK(mControl.Begin(admission, {}, kNow).mEndpoint->mReport.mId.Str() == "far");
}

TEST_CASE_METHOD(Fixture,
                 "control: load from other entries counts like the own load",
                 "[gateway]")
{
  AddEndpoint(mControl, "near", "z1");
  AddEndpoint(mControl, "far", "z2");
  mControl.mDirectory.SetPeersLoad({ { HashName("near"), { 3, {}, 0.0 } } }, kNow);
  CHECK(mControl.Begin(Admit(), {}, kNow).mEndpoint->mReport.mId.Str() == "far");
}

TEST_CASE_METHOD(Fixture, "control: reasons for finding no endpoint", "[gateway]")
{
  CHECK(mControl.Begin(Admit(), {}, kNow).mReason == NoEndpoint::NoneUsable);
  AddEndpoint(mControl, "near", "z1");
  RequestMetadata other = Metadata();
  other.mModel = ids::ModelId("absent");
  CHECK(mControl.Begin(Admit(other), {}, kNow).mReason == NoEndpoint::ModelAbsent);
  RequestMetadata adapter = Metadata();
  adapter.mAdapter = "a1";
  CHECK(mControl.Begin(Admit(adapter), {}, kNow).mReason == NoEndpoint::AdapterAbsent);
  const Admission admission = Admit();
  while (mControl.Begin(admission, {}, kNow).mEndpoint != nullptr) {
  }
  const Choice full = mControl.Begin(admission, {}, kNow);
  CHECK(full.mReason == NoEndpoint::Full);
  const Refusal refusal = mControl.RefuseNotRun(admission, full, kNow);
  CHECK(refusal.mStatus == 503);
  CHECK(refusal.mRetryAfter);
}

TEST_CASE_METHOD(Fixture,
                 "control: an unreachable endpoint is avoided for a while",
                 "[gateway]")
{
  AddEndpoint(mControl, "near", "z1");
  AddEndpoint(mControl, "far", "z2");
  const Admission admission = Admit();
  const Choice choice = mControl.Begin(admission, {}, kNow);
  REQUIRE(choice.mAttempt.mEndpoint.Str() == "near");
  mControl.End(choice.mAttempt, AttemptEnd::Unreachable, kNow);
  CHECK(mControl.Begin(admission, {}, kNow).mEndpoint->mReport.mId.Str() == "far");
}

TEST_CASE_METHOD(
  Fixture,
  "control: an endpoint with good health that fails requests is chosen last",
  "[gateway]")
{
  AddEndpoint(mControl, "near", "z1");
  AddEndpoint(mControl, "far", "z2");
  const Admission admission = Admit();
  for (int i = 0; i < 6; ++i) {
    const Choice choice = mControl.Begin(admission, { ids::EndpointId("far") }, kNow);
    REQUIRE(choice.mAttempt.mEndpoint.Str() == "near");
    mControl.End(choice.mAttempt, AttemptEnd::Failed, kNow);
  }
  CHECK(mControl.Begin(admission, {}, kNow).mEndpoint->mReport.mId.Str() == "far");
}

TEST_CASE_METHOD(Fixture,
                 "control: retries stay within the route's limit and the budget",
                 "[gateway]")
{
  const Admission admission = Admit();
  CHECK(mControl.TrySpendRetry(admission, 1, kNow));
  CHECK_FALSE(mControl.TrySpendRetry(admission, 2, kNow));
  CHECK_FALSE(mControl.TrySpendRetry(admission, 1, admission.mDeadline));
}

TEST_CASE_METHOD(Fixture,
                 "control: an endpoint that rejects a model is not chosen again at once",
                 "[gateway]")
{
  AddEndpoint(mControl, "near", "z1", { "a1" });
  AddEndpoint(mControl, "far", "z2", { "a1" });
  const ids::EndpointId near("near");
  RequestMetadata metadata = Metadata();
  const std::string adapter = GENERATE(std::string(), std::string("a1"));
  metadata.mAdapter = adapter;
  const Admission admission = Admit(metadata);
  ResponseMetadata refusal;
  refusal.mNotRun = true;
  refusal.mRunning = 1;
  refusal.mWaiting = 0;
  const Choice choice = mControl.Begin(admission, {}, kNow);
  REQUIRE(choice.mAttempt.mEndpoint == near);
  mControl.End(choice.mAttempt, AttemptEnd::Refused, kNow);
  const auto next = [&](timing::Instant aNow) {
    mControl.Tick(aNow);
    return mControl.Begin(admission, {}, aNow).mEndpoint->mReport.mId.Str();
  };
  SECTION("the model is about to be unloaded while slots are free")
  {
    mControl.ObserveRefusal(near, admission, refusal, kNow);
    CHECK(next(kNow + 100ms) == "far");
    CHECK(next(kNow + EndpointDirectory::kModelUnavailableTime) == "near");
  }
  SECTION("the endpoint is full, which does not concern the model")
  {
    refusal.mRunning = 4;
    mControl.ObserveRefusal(near, admission, refusal, kNow);
    CHECK(next(kNow + 100ms) == "near");
  }
}

TEST_CASE_METHOD(Fixture,
                 "control: a pause of some endpoints does not hide that others are full",
                 "[gateway]")
{
  AddEndpoint(mControl, "near", "z1");
  AddEndpoint(mControl, "far", "z2");
  const Admission admission = Admit();
  mControl.mDirectory.Pause(
    ids::EndpointId("near"),
    mControl.mDirectory.Find(ids::EndpointId("near"))->mReport.mIncarnation,
    kNow + 3s);
  Choice choice = mControl.Begin(admission, {}, kNow);
  while (choice.mEndpoint != nullptr) {
    CHECK(choice.mAttempt.mEndpoint.Str() == "far");
    choice = mControl.Begin(admission, {}, kNow);
  }
  CHECK(choice.mReason == NoEndpoint::Full);
  SECTION("the one that was tried and paused is named to the caller")
  {
    const std::vector<ids::EndpointId> tried{ ids::EndpointId("near"),
                                              ids::EndpointId("far") };
    const Choice none = mControl.Begin(admission, tried, kNow + 1s);
    CHECK(none.mReason == NoEndpoint::Paused);
    REQUIRE(none.mFreeAfter);
    CHECK(*none.mFreeAfter == Milliseconds(2000.0));
    const Refusal refusal = mControl.RefuseNotRun(admission, none, kNow + 1s);
    CHECK(refusal.mStatus == 503);
    REQUIRE(refusal.mRetryAfter);
    CHECK(*refusal.mRetryAfter >= 2s);
    CHECK(*refusal.mRetryAfter <= 2500ms);
  }
}

TEST_CASE_METHOD(Fixture,
                 "control: urgent requests do not queue behind full slots of an engine",
                 "[gateway]")
{
  AddEndpoint(mControl, "near", "z1");
  const auto admitted = [&](const Admission& aAdmission) {
    int count = 0;
    while (mControl.Begin(aAdmission, {}, kNow).mEndpoint != nullptr) {
      ++count;
    }
    return count;
  };
  // Four slots, which become free every quarter of a second on average: a request beyond
  // them would use up most of the target latency, and latency-tolerant ones leave the
  // next free slot to urgent ones.
  CHECK(admitted(Admit()) == 4);
  CHECK(admitted(Admit(Metadata("/digest/1"))) == 0);
}

TEST_CASE_METHOD(Fixture,
                 "control: long prompts that are not read yet count as load",
                 "[gateway]")
{
  AddEndpoint(mControl, "near", "z1");
  AddEndpoint(mControl, "far", "z2");
  RequestMetadata metadata = Metadata();
  metadata.mHasTokenCounts = true;
  metadata.mPromptTokens = 4000;
  const Admission admission = Admit(metadata);
  Choice first = mControl.Begin(admission, {}, kNow);
  CHECK(first.mAttempt.mEndpoint.Str() == "near");
  CHECK(mControl.Begin(admission, {}, kNow).mAttempt.mEndpoint.Str() == "far");
  const Choice full = mControl.Begin(admission, {}, kNow);
  CHECK(full.mReason == NoEndpoint::Full);
  REQUIRE(full.mFreeAfter);
  SECTION("until the first event shows that the prompt was read")
  {
    mControl.OnFirstEvent(first.mAttempt, admission, kNow + 200ms);
    CHECK(mControl.Begin(admission, {}, kNow + 200ms).mAttempt.mEndpoint.Str() == "near");
  }
  SECTION("and callers are told to return when it will have been read")
  {
    const Refusal refusal = mControl.RefuseNotRun(admission, full, kNow);
    CHECK(Milliseconds(*refusal.mRetryAfter) >= *full.mFreeAfter);
    // Callers wait for no more than a third of the time that they have left.
    CHECK(refusal.mRetryAfter <= 5000ms / 3);
  }
}

TEST_CASE_METHOD(Fixture,
                 "control: a caller that returns after a refusal is recognised",
                 "[gateway]")
{
  AddEndpoint(mControl, "near", "z1");
  RequestMetadata metadata = Metadata();
  metadata.mPromptParts = { { 7, 500 }, { 8, 200 } };
  const Admission first = Admit(metadata);
  CHECK(first.mEarlierAttempts == 0ms);
  mControl.RefuseNotRun(first, Choice{ nullptr, NoEndpoint::Full, {}, {} }, kNow + 20ms);
  metadata.mId = ids::RequestId("r2");
  auto again = mControl.Admit(metadata, kNow + 600ms);
  REQUIRE(std::holds_alternative<Admission>(again));
  CHECK(std::get<Admission>(again).mEarlierAttempts == 600ms);
  metadata.mPromptParts.back().mId = 9;
  CHECK(Admit(metadata).mEarlierAttempts == 0ms);
}

TEST_CASE_METHOD(
  Fixture,
  "control: an endpoint that stopped answering is avoided until it answers",
  "[gateway]")
{
  AddEndpoint(mControl, "near", "z1");
  AddEndpoint(mControl, "far", "z2");
  const Admission admission = Admit();
  Choice silent = mControl.Begin(admission, {}, kNow);
  REQUIRE(silent.mAttempt.mEndpoint.Str() == "near");
  CHECK_FALSE(mControl.IsStalled(admission, silent.mAttempt, kNow + 500ms));
  CHECK(mControl.IsStalled(admission, silent.mAttempt, kNow + 2s));
  const Choice other = mControl.Begin(admission, {}, kNow + 2s);
  CHECK(other.mAttempt.mEndpoint.Str() == "far");
  mControl.End(other.mAttempt, AttemptEnd::Answered, kNow + 2s);
  SECTION("a slow stream that sends something now and then is not stalled")
  {
    mControl.OnProgress(silent.mAttempt, admission, kNow + 2s);
    CHECK_FALSE(mControl.IsStalled(admission, silent.mAttempt, kNow + 2500ms));
  }
  SECTION("a response clears it")
  {
    mControl.OnResponse(silent.mAttempt, ResponseMetadata{}, kNow + 2s);
    mControl.End(silent.mAttempt, AttemptEnd::Answered, kNow + 2s);
    CHECK(mControl.Begin(admission, {}, kNow + 4s).mAttempt.mEndpoint.Str() == "near");
  }
}

TEST_CASE_METHOD(Fixture,
                 "control: a request under which endpoints end is sent on with care",
                 "[gateway]")
{
  for (const char* id : { "e1", "e2", "e3", "e4", "e5", "e6" }) {
    AddEndpoint(mControl, id, "z1");
  }
  RequestMetadata deadly = Metadata();
  deadly.mIdentity = 71;
  RequestMetadata victim = Metadata();
  victim.mIdentity = 72;
  const auto end = [&](const Choice& aChoice, const std::vector<Admission>& aAll) {
    for (const Admission& admission : aAll) {
      mControl.OnUnansweredBreak(aChoice.mAttempt, admission, kNow);
      mControl.End(aChoice.mAttempt, AttemptEnd::Failed, kNow);
    }
    mControl.OnProbe(aChoice.mAttempt.mEndpoint, true, kNow);
  };
  const Admission first = Admit(deadly);
  const Admission other = Admit(victim);
  const Choice together = mControl.Begin(first, {}, kNow);
  REQUIRE(together.mEndpoint != nullptr);
  end(together, { first, other });

  // Both are repeated, at different endpoints.
  CHECK(mControl.TrySpendRetry(first, 1, kNow));
  CHECK(mControl.TrySpendRetry(other, 1, kNow));
  const std::vector<ids::EndpointId> tried{ together.mAttempt.mEndpoint };
  const Choice second = mControl.Begin(first, tried, kNow);
  REQUIRE(second.mEndpoint != nullptr);
  for (int i = 0; i < 4; ++i) {
    const Choice apart = mControl.Begin(other, tried, kNow);
    REQUIRE(apart.mEndpoint != nullptr);
    CHECK(apart.mAttempt.mEndpoint != second.mAttempt.mEndpoint);
    mControl.End(apart.mAttempt, AttemptEnd::Failed, kNow);
  }
  end(second, { first });

  // After two ends it is not repeated, and tried once at a time by its callers.
  CHECK_FALSE(mControl.TrySpendRetry(first, 1, kNow));
  CHECK(mControl.TrySpendRetry(other, 1, kNow));
  const Admission again = Admit(deadly);
  const Choice third = mControl.Begin(again, {}, kNow);
  REQUIRE(third.mEndpoint != nullptr);
  const Choice waits = mControl.Begin(Admit(deadly), {}, kNow);
  CHECK(waits.mReason == NoEndpoint::Quarantined);
  const Refusal refusal = mControl.RefuseNotRun(again, waits, kNow);
  CHECK((refusal.mStatus == 503 && refusal.mRetryAfter <= 1s && refusal.mRetryAfter));
  CHECK(mControl.TakeQuarantineRefusals() == 1);
  mControl.End(third.mAttempt, AttemptEnd::Refused, kNow);

  // Of many that come to many entries at the same time, few are sent.
  mControl.SetEntries(50, 250ms);
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    deadly.mId = ids::RequestId("id" + std::to_string(i));
    const Choice choice = mControl.Begin(Admit(deadly), {}, kNow);
    if (choice.mEndpoint != nullptr) {
      ++sent;
      mControl.End(choice.mAttempt, AttemptEnd::Refused, kNow);
    }
  }
  CHECK((sent > 0 && sent < 20));

  // An answer ends the suspicion.
  mControl.OnAnswered(again, kNow);
  CHECK(mControl.TrySpendRetry(first, 1, kNow));
}

TEST_CASE_METHOD(
  Fixture,
  "control: the time of a request that was read late counts from its arrival",
  "[gateway]")
{
  RequestMetadata metadata = Metadata();
  metadata.mCallerTimeout = 5s;
  const auto result = mControl.Admit(metadata, kNow, 900ms);
  REQUIRE(std::holds_alternative<Admission>(result));
  const Admission& admission = std::get<Admission>(result);
  CHECK(admission.mArrived == kNow - 900ms);
  CHECK(admission.mCallerDeadline == kNow + 4100ms);
  CHECK(admission.mDeadline == kNow + 4100ms);
  CHECK(mControl.Allowance(admission, kNow).mAtEngine <
        mControl.Allowance(Admit(metadata), kNow).mAtEngine);
}

TEST_CASE_METHOD(Fixture,
                 "control: a request whose time was over before it was read is refused",
                 "[gateway]")
{
  // Guards against quota and endpoints used for a caller that has given up.
  auto limited = std::make_shared<ServingConfiguration>(*mControl.Configuration());
  ClientAccount& account = limited->mAccounts.front();
  account.mTokensPerSecond = account.mBurstTokens = 1e6;
  limited->Index();
  mControl.SetConfiguration(limited, kNow);
  RequestMetadata metadata = Metadata();
  metadata.mCallerTimeout = 500ms;
  const auto result = mControl.Admit(metadata, kNow, 500ms);
  REQUIRE(std::holds_alternative<Refusal>(result));
  CHECK(std::get<Refusal>(result).mStatus == 503);
  CHECK(std::get<Refusal>(result).mRetryAfter > 0ms);
  CHECK(mControl.mQuotas.Admitted(account.mName) == 0.0);
  Admit(metadata);
  CHECK(mControl.mQuotas.Admitted(account.mName) > 0.0);
}
