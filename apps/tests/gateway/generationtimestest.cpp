#include <catch2/catch.hpp>

#include "apps/tests/gateway/trafficcontrolfixture.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;
using namespace samphiresail::gateway::testing;
using Fixture = TrafficControlFixture;

namespace {

RequestMetadata Stream(const std::string& aPath, std::chrono::milliseconds aTimeout)
{
  RequestMetadata metadata = Metadata(aPath);
  metadata.mPromptTokens = 100;
  metadata.mOutputTokens = 400;
  metadata.mCallerTimeout = aTimeout;
  return metadata;
}

}

// Guards against streams that take an engine's memory until their callers give up.
TEST_CASE_METHOD(Fixture,
                 "control: a stream that would not end in time is not begun",
                 "[gateway]")
{
  AddEndpoint(mControl, "near", "z1");
  const Admission brief = Admit(Stream("/advice/1", 2000ms));
  CHECK(mControl.Begin(brief, {}, kNow).mEndpoint != nullptr);
  for (int i = 0; i < 20; ++i) {
    mControl.OnOutput(brief, 40, i % 2 == 0 ? 3000ms : 5000ms);
  }
  const Choice late = mControl.Begin(brief, {}, kNow);
  CHECK(late.mReason == NoEndpoint::TooLate);
  const Refusal refusal = mControl.RefuseNotRun(brief, late, kNow);
  CHECK(refusal.mStatus == 503);
  CHECK(refusal.mRetryAfter.value_or(0ms) > 0ms);
  // Faster than the mean is enough.
  CHECK(mControl.Begin(Admit(Stream("/advice/1", 3500ms)), {}, kNow).mEndpoint !=
        nullptr);
  // One that has begun elsewhere goes on.
  const std::vector<ids::EndpointId> tried{ ids::EndpointId("other") };
  CHECK(mControl.Begin(brief, tried, kNow).mEndpoint != nullptr);
}

// Guards against streams that engines preempt again and again in favour of newer ones.
TEST_CASE_METHOD(Fixture,
                 "control: the priority of a request that can wait rises with its time",
                 "[gateway]")
{
  const Admission urgent = Admit(Stream("/advice/1", 8000ms));
  CHECK(PriorityAt(urgent, kNow + 7s) == PriorityAt(urgent, kNow));
  Admission tolerant = Admit(Stream("/digest/1", 8000ms));
  CHECK(PriorityAt(tolerant, kNow) == tolerant.mPriority);
  CHECK(PriorityAt(tolerant, kNow + 5s) < PriorityAt(tolerant, kNow));
  CHECK(PriorityAt(tolerant, kNow + 9s) > PriorityAt(urgent, kNow));
  tolerant.mBegun = true;
  CHECK(PriorityAt(tolerant, kNow) == PriorityAt(urgent, kNow) + 1);
}
