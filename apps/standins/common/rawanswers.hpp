#ifndef SAMPHIRESAIL_APPS_STANDINS_COMMON_RAWANSWERS_HPP
#define SAMPHIRESAIL_APPS_STANDINS_COMMON_RAWANSWERS_HPP

#include <mutex>
#include <optional>
#include <string>

namespace samphiresail::standins {

/// Bytes that a stand-in sends in place of its answers to some calls.
class RawAnswers
{
public:
  /// Sets the bytes for the next calls whose path contains the text.
  void Set(std::string aPath, std::string aBytes, int aCount);
  /// Returns the bytes for a call, or nothing if it is answered as usual.
  std::optional<std::string> Take(const std::string& aPath);

private:
  std::mutex mMutex;
  std::string mPath;
  std::string mBytes;
  int mCount{ 0 };
};

}

#endif
