#include <catch2/catch.hpp>

#include "platform/configurationdecoder.hpp"
#include "platform/decode.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::platform;

TEST_CASE("decode: routes, services, accounts and limits", "[platform]")
{
  const auto configuration = DecodeConfiguration(R"({"version":7,
    "routes":[{"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"stream",
      "timeoutMs":12000,"targetLatencyMs":300,"priority":2,"maxAttempts":2,"public":false,
      "canResume":true,"gapAimMs":300,
      "trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
     {"name":"r2","host":"h.example","pathPrefix":"/b/","kind":"unsafe","service":"s2"},
     {"name":"r3","host":"h.example","pathPrefix":"/c/","kind":"safe","service":"s2"}],
    "services":[{"name":"s1","coldPerS":15.0,"engine":{"slots":64,"weightsMb":230000.0,
      "adapterSlots":8,"loadsPerS":1.6,"models":[{"name":"m","weightsMb":65099.9,
      "loadTimeS":3.8,"adapters":22,"adapterMb":12.0}]}},{"name":"s2"}],
    "limits":{"maxHeaderBytes":1024,"maxBodyBytes":4096,"headerTimeoutMs":3000,
      "idleTimeoutMs":15000},
    "tenants":[{"name":"t","apiKeys":["k"],"priority":1,"unit":"tokens",
      "plainTokens":200,"ratePerS":66064,"burst":1000}]})");
  CHECK(configuration->mVersion == 7);
  const gateway::Route* route = configuration->FindRoute("h.example", "/a/x");
  REQUIRE(route != nullptr);
  CHECK(route->mKind == gateway::RequestKind::Stream);
  CHECK(route->mResumable);
  CHECK(route->mTimeout == 12s);
  CHECK(route->mServices.size() == 2);
  CHECK(configuration->FindRoute("h.example", "/b/")->mKind ==
        gateway::RequestKind::Irreversible);
  CHECK(configuration->FindRoute("h.example", "/c/")->mKind ==
        gateway::RequestKind::Idempotent);
  const gateway::Service* service = configuration->FindService(ids::ServiceId("s1"));
  REQUIRE(service != nullptr);
  REQUIRE(service->mEngine);
  CHECK(service->mEngine->mModels.at(0).mAdapters == 22);
  const gateway::ClientAccount* account = configuration->FindAccountOfKey("k");
  REQUIRE(account != nullptr);
  CHECK(account->mPlainTokens == 200);
  CHECK(configuration->mLimits.mIdleTimeout == 15s);
}

TEST_CASE("decode: limits that a configuration does not state are the defaults",
          "[platform]")
{
  const std::string limits =
    GENERATE("{}",
             R"({"headerTimeoutMs":0,"idleTimeoutMs":0,"maxHeaderBytes":0,
                 "maxBodyBytes":0})");
  const auto configuration = DecodeConfiguration(
    R"({"version":1,"services":[],"routes":[],"limits":)" + limits + "}");
  const gateway::CallerLimits defaults;
  CHECK(configuration->mLimits.mHeaderTimeout == defaults.mHeaderTimeout);
  CHECK(configuration->mLimits.mIdleTimeout == defaults.mIdleTimeout);
  CHECK(configuration->mLimits.mMaxHeaderBytes == defaults.mMaxHeaderBytes);
  CHECK(configuration->mLimits.mMaxBodyBytes == defaults.mMaxBodyBytes);
}

// Guards against a configuration whose accounts cannot be read and count as none.
TEST_CASE("decode: what a configuration says of accounts", "[platform]")
{
  using gateway::AccountsStated;
  const auto stated = [](const std::string& aAccounts) {
    return ReadAccountsStated(R"({"version":1)" + aAccounts + "}");
  };
  for (const char* none : { "", R"(,"tenants":[])", R"(,"tenants":null)" }) {
    CAPTURE(none);
    CHECK(stated(none) == AccountsStated::None);
  }
  for (const char* some : { R"(,"tenants":[{"name":"t","apiKeys":[]}])",
                            R"(,"tenants":[5])",
                            R"(,"tenants":"")",
                            R"(,"tenants":0)",
                            R"(,"tenants":false)",
                            R"(,"tenants":{"t":{}})" }) {
    CAPTURE(some);
    CHECK(stated(some) == AccountsStated::Some);
  }
  for (const char* text : { "", "{", "[]", "5", "null", "\"tenants\"" }) {
    CAPTURE(text);
    CHECK(ReadAccountsStated(text) == AccountsStated::NoConfiguration);
  }
}

// Guards against a field of another type that allows what it was to forbid.
TEST_CASE("decode: a part of a configuration that cannot be read allows nothing",
          "[platform]")
{
  const auto read = [](const std::string& aRoute, const std::string& aAccounts) {
    const std::string text =
      R"({"version":2,"services":[],"routes":[{"name":"r","host":"h","pathPrefix":"/",
          "service":"s")" +
      aRoute + R"(}],"tenants":)" + aAccounts + "}";
    CHECK_THROWS(DecodeConfiguration(text));
    return DecodeReadablePart(text);
  };
  for (const char* odd : { "null", "1", "\"true\"", "{}" }) {
    const auto part = read(R"(,"public":)" + std::string(odd), R"([{"name":"t",
      "apiKeys":["k"]}])");
    REQUIRE(part);
    CHECK_FALSE(part->mRoutes.at(0).mPublic);
    CHECK(part->FindAccountOfKey("k") != nullptr);
  }
  for (const char* odd : { "5",
                           R"("k")",
                           R"([5])",
                           R"([{"name":"t","apiKeys":"k"}])",
                           R"([{"name":"t","apiKeys":null}])",
                           R"([{"name":"t","apiKeys":{"k":1}}])" }) {
    CAPTURE(odd);
    const auto part = read("", odd);
    REQUIRE(part);
    CHECK(part->FindAccountOfKey("k") == nullptr);
  }
  CHECK(DecodeReadablePart("[]") == nullptr);
  CHECK(DecodeReadablePart("{") == nullptr);
}

TEST_CASE("decode: a request of an unknown kind counts as irreversible", "[platform]")
{
  const auto configuration = DecodeConfiguration(
    R"({"version":1,"services":[],"routes":[{"name":"r","host":"h","pathPrefix":"/",
        "kind":"new","service":"s"}]})");
  CHECK_FALSE(configuration->mRoutes.at(0).IsRetryable());
}

TEST_CASE("decode: an endpoint's record", "[platform]")
{
  const auto report = DecodeEndpoint("i-1", R"({"service":"s","address":"10.0.0.9:8080",
    "zone":"z","version":"v1","slots":64,"state":"draining","coldRemainingMs":1500,
    "models":[{"name":"m","version":1,"adapters":["a1"]}],"sequence":4,"born":17})");
  REQUIRE(report);
  CHECK(report->mId.Str() == "i-1");
  CHECK(report->mAddress.mPort == 8080);
  CHECK(report->mDraining);
  CHECK(report->mColdRemaining == 1500ms);
  CHECK(report->mModels.at(ids::ModelId("m")).contains("a1"));
  CHECK(report->mOrdersAccepted == 4);
  CHECK(report->mIncarnation == 17);
}

TEST_CASE("decode: a record of another writer names no endpoint", "[platform]")
{
  for (const char* text :
       { "not json",
         "[]",
         "{}",
         R"({"service":"s","address":"nowhere","zone":"z","slots":1,"state":"ready",
             "coldRemainingMs":0})",
         R"({"service":"s","address":"10.0.0.9:1","zone":"z","slots":1,"state":"odd",
             "coldRemainingMs":0})",
         R"({"service":7,"address":"10.0.0.9:1","zone":"z","slots":1,"state":"ready",
             "coldRemainingMs":0})",
         R"({"service":"s","address":"10.0.0.9:1","zone":"z","slots":"1","state":"ready",
             "coldRemainingMs":0})" }) {
    INFO(text);
    CHECK_FALSE(DecodeEndpoint("i-1", text));
  }
}

TEST_CASE("decode: an engine's report and an order", "[platform]")
{
  const auto report = DecodeEngineReport(
    R"({"models":[{"name":"m","version":1,"adapters":[]}],"busy":true,"sequence":2})");
  REQUIRE(report);
  CHECK(report->mBusy);
  CHECK(report->mOrdersAccepted == 2);
  CHECK_FALSE(DecodeEngineReport("{}"));

  gateway::EngineAction action;
  action.mOrder =
    gateway::EngineOrder{ gateway::OrderKind::Load, ids::ModelId("m"), "a3" };
  action.mPrecondition = 2;
  CHECK(EncodeOrder(action, "front-1", 41) ==
        R"({"adapter":"a3","fencingToken":41,"holder":"front-1","model":"m",)"
        R"("operation":"load","precondition":2})");
}

TEST_CASE("decode: adapters on their way to an engine take a slot", "[platform]")
{
  const auto report = DecodeEngineReport(
    R"({"models":[{"name":"m","version":1,"adapters":["a1"]}],"sequence":4,"busy":false,)"
    R"("coming":["m/a2@3"],"atHand":{"inMemory":["m"],"onDisk":["n"]}})");
  REQUIRE(report);
  CHECK(report->mModels.at(ids::ModelId("m")) == std::set<std::string>{ "a1", "a2" });
  CHECK(report->mStoredModels.contains(ids::ModelId("m")));
  CHECK(report->mStoredModels.contains(ids::ModelId("n")));
}
