#ifndef SAMPHIRESAIL_COMPONENTS_SETTINGS_FILEWATCH_HPP
#define SAMPHIRESAIL_COMPONENTS_SETTINGS_FILEWATCH_HPP

#include <filesystem>
#include <optional>

namespace samphiresail::settings {

/// Tells when a file was written since it was last looked at, for files that may change
/// without a signal.
class FileWatch
{
public:
  explicit FileWatch(std::filesystem::path aPath);

  /// Returns whether the file is another one or was written since the last call. A file
  /// that is missing for a moment, while it is replaced, has not changed.
  bool Changed();

private:
  struct State
  {
    std::filesystem::file_time_type mWritten;
    std::uintmax_t mSize{ 0 };
    bool operator==(const State&) const = default;
  };
  std::optional<State> Look() const;

  std::filesystem::path mPath;
  std::optional<State> mLast;
};

}

#endif
