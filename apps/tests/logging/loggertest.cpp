#include <sstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "components/credentials/key.hpp"
#include "components/logging/logger.hpp"

using namespace samphiresail;

TEST_CASE("log lines are JSON with typed fields")
{
  std::ostringstream out;
  logging::Logger logger("e1", logging::Level::Info, out);
  logger.Debug("hidden");
  logger.Info("line\nbreak",
              { { "count", 3 }, { "share", 0.5 }, { "ok", true }, { "name", "\xff" } });
  const std::string text = out.str();
  CHECK(std::ranges::count(text, '\n') == 1);
  const nlohmann::json line = nlohmann::json::parse(text);
  CHECK(line.at("level") == "info");
  CHECK(line.at("process") == "e1");
  CHECK(line.at("message") == "line\nbreak");
  CHECK(line.at("count") == 3);
  CHECK(line.at("ok") == true);
  CHECK(logging::ParseLevel("error") == logging::Level::Error);
}

TEST_CASE("keys: no log line holds a key", "[must-hold]")
{
  std::ostringstream out;
  logging::Logger logger("e1", logging::Level::Info, out);
  const std::string key = credentials::GenerateKey();
  logger.Warn("caller sent " + key + " and " + key, { { "header", "Bearer " + key } });
  CHECK(out.str().find(key) == std::string::npos);
  CHECK(out.str().find(credentials::kKeyPrefix) == std::string::npos);
  CHECK(out.str().find("caller sent [key] and [key]") != std::string::npos);
}
