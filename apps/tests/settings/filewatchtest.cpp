#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "components/settings/filewatch.hpp"

using samphiresail::settings::FileWatch;

TEST_CASE("file watch: a file that is written, replaced or missing", "[settings]")
{
  const std::filesystem::path path = "filewatchtest-" + std::to_string(getpid());
  const auto write = [&path](const std::string& aText) { std::ofstream(path) << aText; };
  write("a");
  FileWatch watch(path);
  CHECK_FALSE(watch.Changed());
  write("ab");
  CHECK(watch.Changed());
  CHECK_FALSE(watch.Changed());
  SECTION("the same size at another time")
  {
    write("cd");
    std::filesystem::last_write_time(
      path, std::filesystem::last_write_time(path) + std::chrono::seconds(2));
    CHECK(watch.Changed());
  }
  SECTION("missing while it is replaced")
  {
    std::filesystem::remove(path);
    CHECK_FALSE(watch.Changed());
    write("longer");
    CHECK(watch.Changed());
  }
  std::filesystem::remove(path);
}
