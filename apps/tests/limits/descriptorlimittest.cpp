#include <catch2/catch.hpp>

#include <sys/resource.h>

#include "components/limits/descriptorlimit.hpp"

using namespace samphiresail;

// Under the usual soft limit of 1,024, idle callers took the descriptors that endpoints
// and the store needed, though the settings allowed far more.
TEST_CASE("descriptors: the soft limit is raised as far as allowed", "[limits]")
{
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  REQUIRE(before.rlim_max >= 512);
  const auto softLimit = [] {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
  };
  rlimit low = before;
  low.rlim_cur = 256;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
  SECTION("to what is wanted")
  {
    CHECK(limits::RaiseDescriptorLimit(500) == 500);
    CHECK(softLimit() == 500);
  }
  SECTION("to the hard limit")
  {
    CHECK(limits::RaiseDescriptorLimit(before.rlim_max + 1) == before.rlim_max);
    CHECK(softLimit() == before.rlim_max);
  }
  SECTION("and not lowered")
  {
    CHECK(limits::RaiseDescriptorLimit(100) == 100);
    CHECK(softLimit() == 256);
  }
  setrlimit(RLIMIT_NOFILE, &before);
}
