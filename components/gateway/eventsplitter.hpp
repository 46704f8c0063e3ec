#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_EVENTSPLITTER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_EVENTSPLITTER_HPP

#include <optional>
#include <string>
#include <string_view>

namespace samphiresail::gateway {

/// Cuts a stream of server-sent events into whole events. An event that breaks off in the
/// middle is held back, so that a caller never sees part of one.
class EventSplitter
{
public:
  /// Appends bytes and returns those of all events that are now whole; the view is valid
  /// until the next call.
  std::string_view Feed(std::string_view aBytes);

  /// Identifier of the last whole event, if it had one.
  const std::optional<std::string>& LastId() const { return mLastId; }

  /// True if bytes of an unfinished event are held back.
  bool Partial() const { return mTaken < mBytes.size(); }

  /// Drops the unfinished event and keeps the last identifier, for a resumed run.
  void Restart();

private:
  void NoteId(std::string_view aEvents);

  std::string mBytes;
  std::size_t mTaken{ 0 };
  std::optional<std::string> mLastId;
};

}

#endif
