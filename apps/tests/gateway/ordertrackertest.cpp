#include <catch2/catch.hpp>

#include "components/gateway/ordertracker.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;

namespace {

const timing::Instant kNow{ 1h };
const ids::EndpointId kId("e1");
const ids::ModelId kModel("m0");

Service EngineService()
{
  Service service;
  service.mName = ids::ServiceId("s");
  EngineSpec spec;
  spec.mMemoryMb = 30;
  spec.mLoadsPerSecond = 2;
  ModelSpec model;
  model.mName = kModel;
  model.mMemoryMb = 10;
  spec.mModels.push_back(model);
  service.mEngine = spec;
  return service;
}

EndpointReport Report(std::int64_t aIncarnation)
{
  EndpointReport report;
  report.mId = kId;
  report.mIncarnation = aIncarnation;
  report.mService = ids::ServiceId("s");
  report.mSlots = 4;
  return report;
}

double NoDemand(const ids::ModelId&, const std::string&)
{
  return 0.0;
}

/// Runs the tracker until it returns the order to load the only model.
EngineAction FirstOrder(OrderTracker& aTracker,
                        const Service& aService,
                        const EndpointDirectory& aDirectory)
{
  auto actions = aTracker.Tick(aService, aDirectory, NoDemand, kNow);
  REQUIRE(actions.size() == 1);
  REQUIRE_FALSE(actions[0].mOrder);
  CHECK(aTracker.Tick(aService, aDirectory, NoDemand, kNow).empty());
  aTracker.OnReport(kId, EngineReport{ {}, {}, false, 7 }, kNow);
  actions = aTracker.Tick(aService, aDirectory, NoDemand, kNow);
  REQUIRE(actions.size() == 1);
  REQUIRE(actions[0].mOrder);
  return actions[0];
}

}

TEST_CASE("orders: a report is requested before the first order", "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  OrderTracker tracker;
  const EngineAction action = FirstOrder(tracker, EngineService(), directory);
  CHECK(action.mPrecondition == 7);
  CHECK(*action.mOrder == EngineOrder{ OrderKind::Load, kModel, {} });
}

TEST_CASE("orders: one without an answer is retried under the same precondition",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  const Service service = EngineService();
  OrderTracker tracker;
  const EngineAction first = FirstOrder(tracker, service, directory);
  tracker.OnOutcome(kId, OrderOutcome::Unknown, kNow);
  const auto actions = tracker.Tick(service, directory, NoDemand, kNow + 2s);
  REQUIRE(actions.size() == 1);
  REQUIRE(actions[0].mOrder);
  CHECK(*actions[0].mOrder == *first.mOrder);
  CHECK(actions[0].mPrecondition == first.mPrecondition);

  // The first attempt was executed late: the retry conflicts, and a report is requested.
  tracker.OnOutcome(kId, OrderOutcome::Conflict, kNow + 2s);
  const auto after = tracker.Tick(service, directory, NoDemand, kNow + 4s);
  REQUIRE(after.size() == 1);
  CHECK_FALSE(after[0].mOrder);
}

TEST_CASE("orders: an accepted load is not ordered twice and completes with the report",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  const Service service = EngineService();
  OrderTracker tracker;
  FirstOrder(tracker, service, directory);
  tracker.OnOutcome(kId, OrderOutcome::Accepted, kNow);
  CHECK(tracker.Tick(service, directory, NoDemand, kNow + 100ms).empty());
  EndpointReport loaded = Report(1);
  loaded.mModels[kModel];
  directory.Update(loaded, kNow + 200ms);
  CHECK(tracker.Tick(service, directory, NoDemand, kNow + 300ms).empty());
}

TEST_CASE("orders: a report is requested again from a restarted engine", "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  const Service service = EngineService();
  OrderTracker tracker;
  FirstOrder(tracker, service, directory);
  directory.Update(Report(2), kNow);
  const auto actions = tracker.Tick(service, directory, NoDemand, kNow);
  REQUIRE(actions.size() == 1);
  CHECK_FALSE(actions[0].mOrder);
}

TEST_CASE("orders: a new leader delays loads since an earlier one may have started some",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  const Service service = EngineService();
  OrderTracker tracker;
  tracker.Reset(kNow + 1s);
  tracker.Tick(service, directory, NoDemand, kNow);
  tracker.OnReport(kId, EngineReport{}, kNow);
  CHECK(tracker.Tick(service, directory, NoDemand, kNow).empty());
  CHECK(tracker.Tick(service, directory, NoDemand, kNow + 1s).size() == 1);
}

TEST_CASE("orders: a load that did not start does not count against the limit",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  Service service = EngineService();
  // One load in the window of five seconds.
  service.mEngine->mLoadsPerSecond = 0.2;
  OrderTracker tracker;
  FirstOrder(tracker, service, directory);
  const auto later = kNow + 1s;
  const auto again = [&] {
    tracker.OnReport(kId, EngineReport{ {}, {}, false, 7 }, later);
    return tracker.Tick(service, directory, NoDemand, later);
  };
  SECTION("rejected: a report and a new order follow soon")
  {
    tracker.OnOutcome(kId, OrderOutcome::Rejected, kNow);
    REQUIRE(tracker.Tick(service, directory, NoDemand, kNow + 200ms).size() == 1);
    const auto actions = again();
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].mOrder);
  }
  SECTION("rejected after a lost response: the first attempt may have started")
  {
    tracker.OnOutcome(kId, OrderOutcome::Unknown, kNow);
    REQUIRE(tracker.Tick(service, directory, NoDemand, kNow + 700ms).size() == 1);
    tracker.OnOutcome(kId, OrderOutcome::Rejected, kNow + 700ms);
    tracker.Tick(service, directory, NoDemand, kNow + 900ms);
    CHECK(again().empty());
  }
}

TEST_CASE("orders: an adapter in use keeps its slot until a report shows it unloaded",
          "[gateway]")
{
  // The engine has one slot. It accepts the unload of a1 but finishes a1's requests
  // first, so a load of a2 before that would exceed its slots.
  Service service = EngineService();
  service.mEngine->mAdapterSlots = 1;
  service.mEngine->mModels[0].mAdapters = 2;
  EndpointDirectory directory;
  EndpointReport endpoint = Report(1);
  endpoint.mModels[kModel] = { "a1" };
  directory.Update(endpoint, kNow);
  const DemandLookup demand = [](const ids::ModelId&, const std::string& aAdapter) {
    return aAdapter == "a2" ? 2.0 : 0.1;
  };
  OrderTracker tracker;
  const auto tick = [&](timing::Instant aNow) {
    return tracker.Tick(service, directory, demand, aNow);
  };
  REQUIRE(tick(kNow).size() == 1);
  const EngineReport held{ { { kModel, { "a1" } } }, {}, false, 7 };
  tracker.OnReport(kId, held, kNow);
  auto actions = tick(kNow);
  REQUIRE(actions.size() == 1);
  REQUIRE(actions[0].mOrder == EngineOrder{ OrderKind::Unload, kModel, "a1" });
  tracker.OnOutcome(kId, OrderOutcome::Accepted, kNow + 10ms);
  CHECK(tick(kNow + 50ms).empty());

  actions = tick(kNow + 800ms);
  REQUIRE(actions.size() == 1);
  CHECK_FALSE(actions[0].mOrder);
  EngineReport report = held;
  report.mOrdersAccepted = 8;
  SECTION("the requests still run")
  {
    tracker.OnReport(kId, report, kNow + 810ms);
    CHECK(tick(kNow + 850ms).empty());
  }
  SECTION("the slot is free")
  {
    report.mModels[kModel].clear();
    tracker.OnReport(kId, report, kNow + 810ms);
    actions = tick(kNow + 850ms);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].mOrder == EngineOrder{ OrderKind::Load, kModel, "a2" });
  }
}

TEST_CASE("orders: a load of stored weights does not count against the limit",
          "[gateway]")
{
  Service service = EngineService();
  service.mEngine->mLoadsPerSecond = 0.0;
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  OrderTracker tracker;
  tracker.Tick(service, directory, NoDemand, kNow);
  tracker.OnReport(kId, EngineReport{ {}, {}, false, 7 }, kNow);
  CHECK(tracker.Tick(service, directory, NoDemand, kNow).empty());
  EndpointReport endpoint = Report(1);
  endpoint.mStoredModels.insert(kModel);
  directory.Update(endpoint, kNow);
  const auto actions = tracker.Tick(service, directory, NoDemand, kNow);
  REQUIRE(actions.size() == 1);
  CHECK(actions[0].mOrder == EngineOrder{ OrderKind::Load, kModel, {} });
}

TEST_CASE("orders: an engine that says it is leaving gets none, not even a repeated one",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  const Service service = EngineService();
  OrderTracker tracker;
  FirstOrder(tracker, service, directory);
  directory.MarkLeaving(kId, 1, kNow);
  tracker.OnOutcome(kId, OrderOutcome::Unknown, kNow);
  CHECK(tracker.Tick(service, directory, NoDemand, kNow + 10s).empty());
}
