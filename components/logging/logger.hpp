#ifndef SAMPHIRESAIL_COMPONENTS_LOGGING_LOGGER_HPP
#define SAMPHIRESAIL_COMPONENTS_LOGGING_LOGGER_HPP

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace spdlog {
class logger;
}

namespace samphiresail::logging {

/// Named value of a log line.
struct Field
{
  using Value = std::variant<std::string_view, std::int64_t, double, bool>;

  template<std::convertible_to<std::string_view> Text>
  Field(std::string_view aName, const Text& aText)
    : mName(aName)
    , mValue(std::string_view(aText))
  {
  }
  Field(std::string_view aName, bool aFlag)
    : mName(aName)
    , mValue(aFlag)
  {
  }
  template<std::integral Integer>
  Field(std::string_view aName, Integer aNumber)
    : mName(aName)
    , mValue(static_cast<std::int64_t>(aNumber))
  {
  }
  Field(std::string_view aName, double aNumber)
    : mName(aName)
    , mValue(aNumber)
  {
  }

  std::string_view mName;
  Value mValue;
};

enum class Level
{
  Trace,
  Debug,
  Info,
  Warn,
  Error,
};

/// Parses the name of a level as in the settings; unknown names result in Info.
Level ParseLevel(std::string_view aName);

/// Writes one JSON line for each event, with the time, the level, the process, the
/// message and the fields. Credentials in any text are redacted. Thread-safe.
class Logger
{
public:
  using Fields = std::initializer_list<Field>;

  /// Writes to standard error.
  Logger(std::string aProcess, Level aLevel);
  /// Writes to a stream, which must outlive the logger.
  Logger(std::string aProcess, Level aLevel, std::ostream& aStream);
  ~Logger();

  void Debug(std::string_view aMessage, Fields aFields = {});
  void Info(std::string_view aMessage, Fields aFields = {});
  void Warn(std::string_view aMessage, Fields aFields = {});
  void Error(std::string_view aMessage, Fields aFields = {});

private:
  void Write(Level aLevel, std::string_view aMessage, Fields aFields);

  std::string mProcess;
  std::unique_ptr<spdlog::logger> mLogger;
};

}

#endif
