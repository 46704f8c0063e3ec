#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_EVENTSPLITTER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_EVENTSPLITTER_HPP

#include <optional>
#include <string>
#include <string_view>

namespace samphiresail::gateway {

/// Splits a stream of server-sent events into complete events. An incomplete event is
/// buffered, so that a caller never receives part of one.
class EventSplitter
{
public:
  /// Largest event, in bytes. Bytes without end that are no event do not fill the memory.
  static constexpr std::size_t kMaxEventBytes = 256U << 10U;

  /// Appends bytes and returns those of all events that are now complete; the view is
  /// valid until the next call.
  std::string_view Feed(std::string_view aBytes);

  /// Identifier of the last complete event, if it had one.
  const std::optional<std::string>& LastId() const { return mLastId; }

  /// Number of complete events since the last Restart().
  std::size_t Count() const { return mCount; }

  /// Bytes that are buffered: an incomplete event and the events returned last.
  std::size_t Size() const { return mBytes.size(); }

  /// True if an incomplete event is buffered.
  bool Partial() const { return mReturned < mBytes.size(); }

  /// True if the incomplete event exceeds kMaxEventBytes; the stream is then no answer.
  bool IsOverlong() const { return mBytes.size() - mReturned > kMaxEventBytes; }

  /// Discards the incomplete event and keeps the last identifier, for a resumed stream.
  void Restart();

private:
  void RecordLastId(std::string_view aEvents);

  std::string mBytes;
  std::size_t mReturned{ 0 };
  std::size_t mCount{ 0 };
  std::optional<std::string> mLastId;
};

}

#endif
