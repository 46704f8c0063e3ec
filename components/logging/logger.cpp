#include "components/logging/logger.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "components/credentials/redaction.hpp"

namespace samphiresail::logging {

using Json = nlohmann::ordered_json;

namespace {

struct LevelName
{
  Level mLevel;
  std::string_view mName;
  spdlog::level::level_enum mSpdlog;
};

constexpr std::array<LevelName, 5> kLevels{ {
  { Level::Trace, "trace", spdlog::level::trace },
  { Level::Debug, "debug", spdlog::level::debug },
  { Level::Info, "info", spdlog::level::info },
  { Level::Warn, "warn", spdlog::level::warn },
  { Level::Error, "error", spdlog::level::err },
} };

const LevelName& FindLevel(Level aLevel)
{
  return *std::ranges::find(kLevels, aLevel, &LevelName::mLevel);
}

std::unique_ptr<spdlog::logger> MakeLogger(const std::string& aProcess,
                                           Level aLevel,
                                           spdlog::sink_ptr aSink)
{
  auto logger = std::make_unique<spdlog::logger>(aProcess, std::move(aSink));
  logger->set_pattern("%v");
  logger->set_level(FindLevel(aLevel).mSpdlog);
  logger->flush_on(spdlog::level::warn);
  return logger;
}

Json ToJson(const Field::Value& aValue)
{
  return std::visit(
    [](const auto& aItem) {
      if constexpr (std::is_same_v<std::decay_t<decltype(aItem)>, std::string_view>) {
        return Json(credentials::RedactKeys(std::string(aItem)));
      } else {
        return Json(aItem);
      }
    },
    aValue);
}

std::int64_t WallMicroseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

}

Level ParseLevel(std::string_view aName)
{
  const auto it = std::ranges::find(kLevels, aName, &LevelName::mName);
  return it == kLevels.end() ? Level::Info : it->mLevel;
}

Logger::Logger(std::string aProcess, Level aLevel)
  : mProcess(std::move(aProcess))
  , mLogger(
      MakeLogger(mProcess, aLevel, std::make_shared<spdlog::sinks::stderr_sink_mt>()))
{
}

Logger::Logger(std::string aProcess, Level aLevel, std::ostream& aStream)
  : mProcess(std::move(aProcess))
  , mLogger(MakeLogger(mProcess,
                       aLevel,
                       std::make_shared<spdlog::sinks::ostream_sink_mt>(aStream, true)))
{
}

Logger::~Logger() = default;

void Logger::Debug(std::string_view aMessage, Fields aFields)
{
  Write(Level::Debug, aMessage, aFields);
}

void Logger::Info(std::string_view aMessage, Fields aFields)
{
  Write(Level::Info, aMessage, aFields);
}

void Logger::Warn(std::string_view aMessage, Fields aFields)
{
  Write(Level::Warn, aMessage, aFields);
}

void Logger::Error(std::string_view aMessage, Fields aFields)
{
  Write(Level::Error, aMessage, aFields);
}

void Logger::Write(Level aLevel, std::string_view aMessage, Fields aFields)
{
  const LevelName& level = FindLevel(aLevel);
  if (!mLogger->should_log(level.mSpdlog)) {
    return;
  }
  Json line{ { "time_us", WallMicroseconds() },
             { "level", level.mName },
             { "process", mProcess },
             { "message", credentials::RedactKeys(std::string(aMessage)) } };
  for (const Field& field : aFields) {
    line[std::string(field.mName)] = ToJson(field.mValue);
  }
  const std::string text = line.dump(-1, ' ', false, Json::error_handler_t::replace);
  mLogger->log(level.mSpdlog, spdlog::string_view_t(text));
}

}
