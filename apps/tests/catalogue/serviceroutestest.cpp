#include <catch2/catch.hpp>

#include "components/catalogue/serviceroutes.hpp"

using namespace samphiresail;

TEST_CASE("service and call are found by route, method and path")
{
  catalogue::Catalogue catalogue;
  catalogue.mServices.push_back({ .mName = ids::ServiceId("booking"),
                                  .mRoute = "/booking",
                                  .mCalls = { { "GET", "/stock/*" },
                                              { "GET", "/stock/pallets/*" },
                                              { "GET", "/stock/all" },
                                              { "POST", "/bookings", false } } });
  const catalogue::Service* service =
    catalogue::FindService(catalogue, "/booking/bookings");
  REQUIRE(service != nullptr);
  CHECK(catalogue::FindService(catalogue, "/bookings") == nullptr);
  CHECK(catalogue::FindService(catalogue, "/") == nullptr);

  const auto path = [&](std::string_view aMethod, std::string_view aPath) {
    const catalogue::ServiceCall* call = catalogue::FindCall(*service, aMethod, aPath);
    return call == nullptr ? std::string("none") : call->mPath;
  };
  CHECK(path("POST", "/booking/bookings") == "/bookings");
  CHECK(path("GET", "/booking/bookings") == "none");
  CHECK(path("GET", "/booking/stock/all") == "/stock/all");
  CHECK(path("GET", "/booking/stock/bolts") == "/stock/*");
  CHECK(path("GET", "/booking/stock/pallets/7") == "/stock/pallets/*");
  CHECK(path("GET", "/elsewhere") == "none");
}
