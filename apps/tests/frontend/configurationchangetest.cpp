#include <catch2/catch.hpp>

#include "apps/tests/frontend/frontendfixture.hpp"
#include "apps/tests/frontend/messages.hpp"

using namespace samphiresail;
using namespace samphiresail::frontend::testing;
using std::chrono::milliseconds;

namespace {

/// Changes that take away what a request in progress was admitted by.
void TakeRoutes(gateway::ServingConfiguration& aConfiguration)
{
  aConfiguration.mRoutes.clear();
}

void TakeServices(gateway::ServingConfiguration& aConfiguration)
{
  aConfiguration.mServices.clear();
}

void TakeAccounts(gateway::ServingConfiguration& aConfiguration)
{
  aConfiguration.mAccounts.clear();
}

void TakeTime(gateway::ServingConfiguration& aConfiguration)
{
  for (gateway::Route& route : aConfiguration.mRoutes) {
    route.mTimeout = milliseconds(1);
  }
}

std::string Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x\n\n";
}

}

TEST_CASE_METHOD(
  Fixture,
  "change: a configuration that takes a route, service or account away loses no request "
  "in progress",
  "[frontend]")
{
  StartTicks();
  const auto change = GENERATE(TakeRoutes, TakeServices, TakeAccounts, TakeTime);
  const auto changeAfter = [&](milliseconds aTime) {
    RunAfterAdmission(aTime, [this, change] { ChangeConfiguration(change); });
  };
  SECTION("that is answered later")
  {
    ScriptedEndpoint::Script script;
    script.mLater = { { milliseconds(600), ResponseWithDigest("r1", "done") } };
    AddEndpoint("e1").AddScript(script);
    changeAfter(milliseconds(200));
    CHECK(Call(Post("/once/1"), HasHeadAndBody).ends_with("done"));
  }
  SECTION("that waits for a place and gets one")
  {
    ScriptedEndpoint& endpoint = AddEndpoint("e1");
    endpoint.AddScript({ ResponseWithDigest("r1", "done") });
    const std::uint64_t hash = gateway::HashName("e1");
    mControl.mDirectory.SetPeersLoad({ { hash, { 100, {}, 0.0 } } },
                                     timing::SystemClock().Now());
    changeAfter(milliseconds(20));
    RunAfterAdmission(milliseconds(60), [this] {
      mControl.mDirectory.SetPeersLoad({}, timing::SystemClock().Now());
    });
    CHECK(Call(Get("/safe/1"), HasHeadAndBody).ends_with("done"));
  }
  SECTION("that waits for a place and gets none")
  {
    AddEndpoint("e1");
    const std::uint64_t hash = gateway::HashName("e1");
    mControl.mDirectory.SetPeersLoad({ { hash, { 100, {}, 0.0 } } },
                                     timing::SystemClock().Now());
    changeAfter(milliseconds(20));
    const std::string response = Call(Get("/safe/1"), HasHeadAndBody);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(Contains(response, "Retry-After: "));
  }
  SECTION("whose stream is resumed after the change")
  {
    ScriptedEndpoint::Script first{ StreamHead() + Chunk(Event(1)) };
    first.mClose = true;
    first.mLater = { { milliseconds(600), Chunk(Event(2)) } };
    AddEndpoint("e1").AddScript(first);
    AddEndpoint("e2", "z2").AddScript({ StreamHead() + Chunk(Event(3)) + "0\r\n\r\n" });
    changeAfter(milliseconds(200));
    const std::string response = Call(Post("/stream/1"), HasLastChunk);
    CHECK(HasLastChunk(response));
    for (int id = 1; id <= 3; ++id) {
      CHECK(Contains(response, Event(id)));
    }
  }
  SECTION("whose silent endpoint is left for another one after the change")
  {
    ScriptedEndpoint::Script first{ StreamHead() + Chunk(Event(1)) };
    first.mLater = { { milliseconds(60000), "" } };
    AddEndpoint("e1").AddScript(first);
    AddEndpoint("e2", "z2").AddScript({ StreamHead() + Chunk(Event(2)) + "0\r\n\r\n" });
    changeAfter(milliseconds(200));
    CHECK(HasLastChunk(Call(Post("/stream/1"), HasLastChunk)));
  }
}
