#include <catch2/catch.hpp>

#include "apps/samphiresail/operator/statustable.hpp"

using namespace samphiresail;

TEST_CASE("status table aligns its columns and shows who did not answer")
{
  const std::string table = operators::FormatStatusTable(
    { { "entry", "e1", "z1", "10.0.0.1:7000", R"({"in_touch":true,"models":[1,2]})" },
      { "agent", "assistant-1", "z2", "10.0.0.2:7000", "" },
      { "agent", "a2", "z2", "10.0.0.3:7000", "[" } });
  CHECK(table == "ROLE   NAME         ZONE  ADDRESS        STATE\n"
                 "entry  e1           z1    10.0.0.1:7000  in_touch=true models=2\n"
                 "agent  assistant-1  z2    10.0.0.2:7000  no answer\n"
                 "agent  a2           z2    10.0.0.3:7000  unreadable answer\n");
}

TEST_CASE("status document says who did not answer")
{
  const std::string text =
    operators::FormatStatusJson({ { "agent", "a", "z", "x", "" } });
  CHECK(text.find("\"answered\": false") != std::string::npos);
}
