#include <catch2/catch.hpp>

#include "components/gateway/servingconfiguration.hpp"

using namespace samphiresail;
using namespace samphiresail::gateway;

namespace {

Route MakeRoute(const std::string& aName, const std::string& aPrefix)
{
  Route route;
  route.mName = aName;
  route.mHost = "h.example";
  route.mPathPrefix = aPrefix;
  return route;
}

}

TEST_CASE("configuration: the longest prefix of a host's routes decides", "[gateway]")
{
  ServingConfiguration configuration;
  configuration.mRoutes = { MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/") };
  configuration.Index();
  CHECK(configuration.FindRoute("h.example", "/a/b/c")->mName == "long");
  CHECK(configuration.FindRoute("h.example", "/a/x")->mName == "short");
  CHECK(configuration.FindRoute("h.example", "/b") == nullptr);
  CHECK(configuration.FindRoute("other.example", "/a/") == nullptr);
}

TEST_CASE("configuration: a key names its account", "[gateway]")
{
  ServingConfiguration configuration;
  ClientAccount account;
  account.mName = ids::ClientAccountId("club");
  account.mKeys = { "k1", "k2" };
  configuration.mAccounts.push_back(account);
  configuration.Index();
  REQUIRE(configuration.FindAccountOfKey("k2") != nullptr);
  CHECK(configuration.FindAccountOfKey("k2")->mName.Str() == "club");
  CHECK(configuration.FindAccountOfKey("k3") == nullptr);
}

// Guards against requests without a key that belong to an account.
TEST_CASE("configuration: an empty key names no account", "[gateway]")
{
  ServingConfiguration configuration;
  ClientAccount account;
  account.mName = ids::ClientAccountId("club");
  account.mKeys = { "", "k1" };
  configuration.mAccounts.push_back(account);
  configuration.Index();
  CHECK(configuration.FindAccountOfKey("") == nullptr);
  CHECK(configuration.FindAccountOfKey("k1") != nullptr);
}

// Guards against a route that takes all requests of a host, or those without one.
TEST_CASE("configuration: a route without a host or prefix matches nothing", "[gateway]")
{
  ServingConfiguration configuration;
  configuration.mRoutes = { MakeRoute("all", ""), MakeRoute("a", "/a/") };
  configuration.mRoutes.push_back(MakeRoute("no host", "/a/"));
  configuration.mRoutes.back().mHost.clear();
  configuration.Index();
  CHECK(configuration.FindRoute("h.example", "/b/1") == nullptr);
  CHECK(configuration.FindRoute("h.example", "/a/1")->mName == "a");
  CHECK(configuration.FindRoute("", "/a/1") == nullptr);
}

TEST_CASE("configuration: a stream runs twice only if it may be resumed", "[gateway]")
{
  Route route;
  route.mKind = RequestKind::Stream;
  CHECK_FALSE(route.IsRetryable());
  route.mResumable = true;
  CHECK(route.IsRetryable());
  route.mKind = RequestKind::Irreversible;
  CHECK_FALSE(route.IsRetryable());
  route.mKind = RequestKind::Idempotent;
  CHECK(route.IsRetryable());
}

TEST_CASE("configuration: a changed copy finds nothing that it no longer holds",
          "[gateway]")
{
  ServingConfiguration first;
  Route route;
  route.mHost = "h.example";
  route.mPathPrefix = "/a/";
  first.mRoutes.push_back(route);
  Service service;
  service.mName = ids::ServiceId("s");
  first.mServices.push_back(service);
  ClientAccount account;
  account.mKeys = { "key" };
  first.mAccounts.push_back(account);
  first.Index();
  ServingConfiguration changed = first;
  changed.mRoutes.clear();
  changed.mServices.clear();
  changed.mAccounts.clear();
  changed.Index();
  CHECK(changed.FindRoute("h.example", "/a/1") == nullptr);
  CHECK(changed.FindService(ids::ServiceId("s")) == nullptr);
  CHECK(changed.FindAccountOfKey("key") == nullptr);
}

// Guards against keys and public routes that outlive a version that cannot be adopted.
TEST_CASE("configuration: what a newer one withdraws does not hold any longer",
          "[gateway]")
{
  ServingConfiguration inForce;
  inForce.mRoutes = { MakeRoute("a", "/a/"), MakeRoute("b", "/b/") };
  inForce.mRoutes[0].mPublic = true;
  inForce.mRoutes[1].mPublic = true;
  ClientAccount club;
  club.mName = ids::ClientAccountId("club");
  club.mKeys = { "stays", "goes", "moves" };
  inForce.mAccounts = { club };
  ServingConfiguration newer = inForce;
  newer.mRoutes[1].mPublic = false;
  newer.mAccounts[0].mKeys = { "stays", "new" };
  ClientAccount other;
  other.mName = ids::ClientAccountId("other");
  other.mKeys = { "moves" };
  newer.mAccounts.push_back(other);
  newer.Index();
  const ServingConfiguration reduced = WithoutWithdrawn(inForce, newer);
  CHECK(reduced.FindAccountOfKey("stays") != nullptr);
  for (const char* key : { "goes", "moves", "new" }) {
    CHECK(reduced.FindAccountOfKey(key) == nullptr);
  }
  CHECK(reduced.FindRoute("h.example", "/a/1")->mPublic);
  CHECK_FALSE(reduced.FindRoute("h.example", "/b/1")->mPublic);
}
