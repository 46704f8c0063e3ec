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

/// Brings the book to the point at which it has sent the load of the only model.
EngineAction FirstOrder(OrderTracker& aBook,
                        const Service& aService,
                        const EndpointDirectory& aDirectory)
{
  auto actions = aBook.Tick(aService, aDirectory, NoDemand, kNow);
  REQUIRE(actions.size() == 1);
  REQUIRE_FALSE(actions[0].mOrder);
  CHECK(aBook.Tick(aService, aDirectory, NoDemand, kNow).empty());
  aBook.OnReport(kId, EngineReport{ {}, false, 7 }, kNow);
  actions = aBook.Tick(aService, aDirectory, NoDemand, kNow);
  REQUIRE(actions.size() == 1);
  REQUIRE(actions[0].mOrder);
  return actions[0];
}

}

TEST_CASE("orders: an engine is asked before it is ordered anything", "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  OrderTracker book;
  const EngineAction action = FirstOrder(book, EngineService(), directory);
  CHECK(action.mPrecondition == 7);
  CHECK(*action.mOrder == EngineOrder{ OrderKind::Load, kModel, {} });
}

TEST_CASE("orders: one without an answer is sent again under the same precondition",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  const Service service = EngineService();
  OrderTracker book;
  const EngineAction first = FirstOrder(book, service, directory);
  book.OnOutcome(kId, OrderOutcome::Unknown, kNow);
  const auto actions = book.Tick(service, directory, NoDemand, kNow + 2s);
  REQUIRE(actions.size() == 1);
  REQUIRE(actions[0].mOrder);
  CHECK(*actions[0].mOrder == *first.mOrder);
  CHECK(actions[0].mPrecondition == first.mPrecondition);

  // The first copy was carried out late: the second one conflicts, and the engine is
  // asked.
  book.OnOutcome(kId, OrderOutcome::Conflict, kNow + 2s);
  const auto after = book.Tick(service, directory, NoDemand, kNow + 4s);
  REQUIRE(after.size() == 1);
  CHECK_FALSE(after[0].mOrder);
}

TEST_CASE("orders: an accepted load is not ordered twice and ends with the report",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  const Service service = EngineService();
  OrderTracker book;
  FirstOrder(book, service, directory);
  book.OnOutcome(kId, OrderOutcome::Accepted, kNow);
  CHECK(book.Tick(service, directory, NoDemand, kNow + 100ms).empty());
  EndpointReport loaded = Report(1);
  loaded.mModels[kModel];
  directory.Update(loaded, kNow + 200ms);
  CHECK(book.Tick(service, directory, NoDemand, kNow + 300ms).empty());
}

TEST_CASE("orders: a restarted engine is asked anew", "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  const Service service = EngineService();
  OrderTracker book;
  FirstOrder(book, service, directory);
  directory.Update(Report(2), kNow);
  const auto actions = book.Tick(service, directory, NoDemand, kNow);
  REQUIRE(actions.size() == 1);
  CHECK_FALSE(actions[0].mOrder);
}

TEST_CASE("orders: a new leader holds loads back that an earlier one may have begun",
          "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  const Service service = EngineService();
  OrderTracker book;
  book.Reset(kNow + 1s);
  book.Tick(service, directory, NoDemand, kNow);
  book.OnReport(kId, EngineReport{}, kNow);
  CHECK(book.Tick(service, directory, NoDemand, kNow).empty());
  CHECK(book.Tick(service, directory, NoDemand, kNow + 1s).size() == 1);
}

TEST_CASE("orders: a load that did not begin holds no other one back", "[gateway]")
{
  EndpointDirectory directory;
  directory.Update(Report(1), kNow);
  Service service = EngineService();
  // One load in the window of five seconds.
  service.mEngine->mLoadsPerSecond = 0.2;
  OrderTracker book;
  FirstOrder(book, service, directory);
  const auto later = kNow + 1s;
  const auto again = [&] {
    book.OnReport(kId, EngineReport{ {}, false, 7 }, later);
    return book.Tick(service, directory, NoDemand, later);
  };
  SECTION("rejected: the engine is soon asked and ordered again")
  {
    book.OnOutcome(kId, OrderOutcome::Rejected, kNow);
    REQUIRE(book.Tick(service, directory, NoDemand, kNow + 200ms).size() == 1);
    const auto actions = again();
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].mOrder);
  }
  SECTION("rejected after a lost answer: the first copy may have begun")
  {
    book.OnOutcome(kId, OrderOutcome::Unknown, kNow);
    REQUIRE(book.Tick(service, directory, NoDemand, kNow + 700ms).size() == 1);
    book.OnOutcome(kId, OrderOutcome::Rejected, kNow + 700ms);
    book.Tick(service, directory, NoDemand, kNow + 900ms);
    CHECK(again().empty());
  }
}
