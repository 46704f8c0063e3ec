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
  /// When the bytes are sent.
  enum class Moment
  {
    /// Before the body of the call is read; the call does not run.
    BeforeBody,
    AfterRun,
  };

  /// Sets the bytes for the next calls whose path contains the text.
  void Set(std::string aPath, std::string aBytes, int aCount, Moment aMoment);
  /// Returns the bytes for a call at that moment, or nothing if none are to be sent then.
  std::optional<std::string> Take(const std::string& aPath, Moment aMoment);

private:
  std::mutex mMutex;
  std::string mPath;
  std::string mBytes;
  int mCount{ 0 };
  Moment mMoment{ Moment::AfterRun };
};

}

#endif
