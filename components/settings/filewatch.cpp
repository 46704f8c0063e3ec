#include "components/settings/filewatch.hpp"

#include <system_error>
#include <utility>

namespace samphiresail::settings {

FileWatch::FileWatch(std::filesystem::path aPath)
  : mPath(std::move(aPath))
  , mLast(Look())
{
}

bool FileWatch::Changed()
{
  const std::optional<State> now = Look();
  if (!now || now == mLast) {
    return false;
  }
  mLast = now;
  return true;
}

std::optional<FileWatch::State> FileWatch::Look() const
{
  std::error_code ec;
  State state;
  state.mWritten = std::filesystem::last_write_time(mPath, ec);
  if (ec) {
    return std::nullopt;
  }
  state.mSize = std::filesystem::file_size(mPath, ec);
  return ec ? std::nullopt : std::optional(state);
}

}
