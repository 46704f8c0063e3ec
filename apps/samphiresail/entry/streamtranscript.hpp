#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_STREAMTRANSCRIPT_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_STREAMTRANSCRIPT_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "components/units/quantity.hpp"

namespace samphiresail::entry {

/// Follows the server-sent events of a streamed answer, so that another endpoint can
/// continue it, and makes the continuation look like the same stream to the caller.
class StreamTranscript
{
public:
  /// Takes events of the running attempt and returns what to send to the caller.
  std::string Append(std::string_view aEvents);

  /// Begins the continuation of the answer by another attempt.
  void BeginContinuation();

  /// Text that the caller has so far.
  const std::string& Text() const { return mText; }
  /// Output tokens that the caller has so far, counted as events with text.
  units::Tokens Tokens() const { return mTokens; }
  /// True once the stream has said why it ended.
  bool IsFinished() const { return mFinished; }

private:
  std::string AppendEvent(std::string_view aEvent);

  std::string mPartial;
  std::string mText;
  std::string mId;
  units::Tokens mTokens;
  /// Tokens of the attempts before the running one.
  units::Tokens mEarlierTokens;
  bool mContinued{ false };
  bool mFinished{ false };
};

}

#endif
