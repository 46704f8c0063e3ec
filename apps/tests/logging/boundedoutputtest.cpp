#include <catch2/catch.hpp>

#include <array>
#include <ostream>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include "components/logging/boundedoutput.hpp"
#include "components/logging/logger.hpp"

using namespace samphiresail::logging;

TEST_CASE("bounded output: lines reach the descriptor", "[logging]")
{
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  BoundedOutput output(ends[1]);
  std::ostream stream(&output);
  Logger logger("p", Level::Info, stream);
  logger.Info("hello");
  output.Flush();
  std::array<char, 512> bytes{};
  const ssize_t n = read(ends[0], bytes.data(), bytes.size());
  REQUIRE(n > 0);
  const std::string line(bytes.data(), static_cast<std::size_t>(n));
  CHECK(line.find("\"message\":\"hello\"") != std::string::npos);
  CHECK(line.ends_with("\n"));
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE(
  "bounded output: a reader that stops neither blocks the logger nor grows the buffer",
  "[logging]")
{
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  BoundedOutput output(ends[1]);
  std::ostream stream(&output);
  Logger logger("p", Level::Info, stream);
  constexpr int kLines = 20000;
  for (int i = 0; i < kLines; ++i) {
    logger.Info("a line of some length that nobody reads");
    if (i % 100 == 0) {
      output.Flush();
    }
  }
  output.Flush();
  CHECK(output.ResetDroppedLines() > 0);
  CHECK(output.ResetDroppedLines() == 0);
  close(ends[0]);
  close(ends[1]);
}
