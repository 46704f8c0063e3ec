#include <catch2/catch.hpp>

#include <map>
#include <string>

#include "components/routing/baselinerouters.hpp"
#include "components/routing/poweroftworouter.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::routing;

namespace {

const timing::Instant kNow{ 1h };
const ids::ModelId kModel("m");

ids::EndpointId Name(int aNumber)
{
  return ids::EndpointId("e" + std::to_string(aNumber));
}

void Add(EndpointTable& aTable,
         int aNumber,
         const EndpointLoad& aLoad,
         const std::string& aZone = "z1")
{
  aTable.Put({ Name(aNumber), ids::PoolId("p"), ids::AvailabilityZoneId(aZone), "", {} });
  aTable.ReportLoad(Name(aNumber), aLoad, kNow);
  aTable.ReportModels(Name(aNumber), { { kModel, true, 0 } }, kNow);
}

template<typename R>
std::map<std::string, int> CountChoices(R& aRouter,
                                        const EndpointTable& aTable,
                                        const RouteRequest& aRequest,
                                        int aCount = 300)
{
  std::mt19937_64 generator(5);
  std::map<std::string, int> chosen;
  for (int it = 0; it < aCount; ++it) {
    const auto result = aRouter.Choose(aTable, aRequest, kNow, generator);
    const auto* endpoint = std::get_if<EndpointDescription>(&result);
    ++chosen[endpoint != nullptr ? endpoint->mName.Str() : "none"];
  }
  return chosen;
}

RouteRequest Request()
{
  return { .mRequirement = { .mModel = kModel, .mPool = ids::PoolId("p") } };
}

NoRouteCause Cause(const RouteResult& aResult)
{
  return std::get<NoRouteCause>(aResult);
}

}

TEST_CASE("router chooses only endpoints that hold the model and accept work")
{
  EndpointTable table;
  Add(table, 1, { .mInFlightLimit = 8 });
  Add(table, 2, { .mInFlightLimit = 8, .mLeaving = true });
  Add(table, 3, { .mInFlightLimit = 8, .mDown = true });
  Add(table, 4, { .mInFlightLimit = 8 }, "out");
  Add(table, 5, { .mInFlightLimit = 8 });
  table.ReportModels(Name(5), {}, kNow);
  Add(table, 6, { .mInFlightLimit = 8 });
  table.MarkUnreachable(Name(6), kNow + 1s);
  table.SetZonesOut({ ids::AvailabilityZoneId("out") });
  PowerOfTwoRouter twoChoices;
  RoundRobinRouter roundRobin;
  RandomRouter random;
  CHECK(CountChoices(twoChoices, table, Request()) ==
        std::map<std::string, int>{ { "e1", 300 } });
  CHECK(CountChoices(roundRobin, table, Request()) ==
        std::map<std::string, int>{ { "e1", 300 } });
  CHECK(CountChoices(random, table, Request()) ==
        std::map<std::string, int>{ { "e1", 300 } });
}

TEST_CASE("router reports why no endpoint is available")
{
  EndpointTable table;
  PowerOfTwoRouter router;
  std::mt19937_64 generator(5);
  CHECK(Cause(router.Choose(table, Request(), kNow, generator)) ==
        NoRouteCause::NotResident);
  Add(table, 1, { .mInFlight = 1, .mInFlightLimit = 1, .mCold = true });
  CHECK(Cause(router.Choose(table, Request(), kNow, generator)) == NoRouteCause::Cold);
  Add(table, 1, { .mInFlightLimit = 8 });
  auto request = Request();
  request.mRequirement.mExcluded = { Name(1) };
  CHECK(Cause(router.Choose(table, request, kNow, generator)) ==
        NoRouteCause::Unavailable);
  table.Remove(Name(1));
  CHECK(Cause(router.Choose(table, Request(), kNow, generator)) ==
        NoRouteCause::NotResident);
}

TEST_CASE("router respects the limit of an endpoint in cold start")
{
  EndpointTable table;
  Add(table, 1, { .mInFlightLimit = 2, .mCold = true });
  PowerOfTwoRouter router;
  std::mt19937_64 generator(5);
  int sent = 0;
  while (std::holds_alternative<EndpointDescription>(
    router.Choose(table, Request(), kNow, generator))) {
    table.Begin(Name(1), kModel);
    ++sent;
    REQUIRE(sent <= 2);
  }
  CHECK(sent == 2);
}

TEST_CASE("router balances reported load and its own requests in flight")
{
  EndpointTable table;
  Add(table, 1, { .mInFlight = 30, .mInFlightLimit = 50 });
  Add(table, 2, { .mInFlightLimit = 50 });
  Add(table, 3, { .mInFlightLimit = 50 });
  PowerOfTwoRouter router;
  std::mt19937_64 generator(5);
  std::map<std::string, int> own;
  for (int it = 0; it < 60; ++it) {
    const auto result = router.Choose(table, Request(), kNow, generator);
    const auto name = std::get<EndpointDescription>(result).mName;
    table.Begin(name, kModel);
    ++own[name.Str()];
  }
  CHECK(own["e1"] <= 5);
  CHECK(own["e2"] == Approx(30).margin(5));
}

TEST_CASE("the weight of a load report decays with its age")
{
  EndpointTable table;
  Add(table, 1, { .mInFlight = 50, .mInFlightLimit = 50 });
  const auto occupancy = [&](timing::Duration aAge) {
    return table.Read([&](const EndpointTable::View& aView) {
      return aView.Evaluate(0, Request().mRequirement, kNow + aAge)->mOccupancy;
    });
  };
  CHECK(occupancy(0s) == Approx(51.0 / 50.0));
  CHECK(occupancy(5s) < 0.1);
}

TEST_CASE("router keeps a prefix on one endpoint until that is overloaded")
{
  EndpointTable table;
  for (int it = 1; it <= 8; ++it) {
    Add(table, it, { .mInFlight = 2, .mInFlightLimit = 10 });
  }
  PowerOfTwoRouter router;
  auto request = Request();
  request.mPrefix = 12345;
  const auto before = CountChoices(router, table, request);
  REQUIRE(before.size() == 1);
  const ids::EndpointId affine(before.begin()->first);
  table.ReportLoad(affine, { .mInFlight = 9, .mInFlightLimit = 10 }, kNow);
  const auto after = CountChoices(router, table, request);
  CHECK(after.count(affine.Str()) == 0);
}

TEST_CASE(
  "router avoids endpoints above the knee and prefers the near zone at equal load")
{
  EndpointTable table;
  Add(table, 1, { .mInFlightLimit = 100 });
  Add(table, 2, { .mInFlight = 30, .mInFlightLimit = 100 }, "z2");
  table.ReportModels(Name(1), { { kModel, true, 50 } }, kNow);
  PowerOfTwoRouter router;
  auto request = Request();
  request.mKnee = 50;
  auto chosen = CountChoices(router, table, request);
  CHECK(chosen["e2"] > chosen["e1"]);
  Add(table, 2, { .mInFlightLimit = 100 }, "z2");
  request.mKnee = 0;
  request.mRequirement.mNearZone = ids::AvailabilityZoneId("z2");
  chosen = CountChoices(router, table, request);
  CHECK(chosen["e2"] > 200);
}

TEST_CASE("a new incarnation of an endpoint discards its load and models")
{
  EndpointTable table;
  Add(table, 1, { .mInFlightLimit = 8 });
  table.Begin(Name(1), kModel);
  table.Put({ Name(1),
              ids::PoolId("p"),
              ids::AvailabilityZoneId("z1"),
              "",
              units::Incarnation(2) });
  CHECK(table.HolderCount(kModel) == 0);
  table.End(Name(1), kModel);
  CHECK(table.All().size() == 1);
  CHECK(table.Find(Name(1))->mIncarnation == units::Incarnation(2));
}
