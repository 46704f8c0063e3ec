#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_ANSWERREADER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_ANSWERREADER_HPP

#include <optional>
#include <string>
#include <string_view>

#include "components/units/quantity.hpp"

namespace samphiresail::agent {

struct TokenUsage
{
  units::Tokens mPrompt;
  units::Tokens mOutput;
};

/// Cuts the bytes of a back end's answer into chunks and notes the usage that the engine
/// reports. A stream of server-sent events is cut between events.
class AnswerReader
{
public:
  explicit AnswerReader(bool aEventStream);

  /// Takes bytes as they arrive; returns whole events, possibly none.
  std::string Read(std::string_view aBytes);

  /// Ends the answer; returns what is left.
  std::string Finish();

  /// True if the answer is whole: a stream of events must have ended with its last event.
  bool Complete() const;

  TokenUsage Usage() const { return mUsage; }

private:
  void NoteEvents(std::string_view aEvents);
  void NoteUsage(std::string_view aJson);

  bool mEventStream;
  bool mDone{ false };
  std::string mPending;
  std::string mUnary;
  TokenUsage mUsage;
};

}

#endif
