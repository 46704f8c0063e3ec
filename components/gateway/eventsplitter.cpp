#include "components/gateway/eventsplitter.hpp"

#include <algorithm>

namespace samphiresail::gateway {

namespace {

constexpr std::string_view kIdField = "id:";

/// Returns the number of blank lines, each of which ends an event.
std::size_t CountEvents(std::string_view aEvents)
{
  std::size_t count = 0;
  for (std::size_t at = aEvents.find('\n'); at != std::string_view::npos;) {
    const std::size_t next = aEvents.find_first_not_of('\r', at + 1);
    if (next != std::string_view::npos && aEvents[next] == '\n') {
      ++count;
      at = aEvents.find('\n', next + 1);
    } else {
      at = aEvents.find('\n', at + 1);
    }
  }
  return count;
}

/// Returns the end of the last blank line, which ends an event, or npos.
std::size_t EndOfLastEvent(std::string_view aBytes)
{
  const std::size_t plain = aBytes.rfind("\n\n");
  const std::size_t crlf = aBytes.rfind("\r\n\r\n");
  std::size_t end = std::string_view::npos;
  if (plain != std::string_view::npos) {
    end = plain + 2;
  }
  if (crlf != std::string_view::npos) {
    end = end == std::string_view::npos ? crlf + 4 : std::max(end, crlf + 4);
  }
  return end;
}

}

std::string_view EventSplitter::Feed(std::string_view aBytes)
{
  mBytes.erase(0, mReturned);
  mReturned = 0;
  mBytes.append(aBytes);
  const std::size_t end = EndOfLastEvent(mBytes);
  if (end == std::string_view::npos) {
    return {};
  }
  mReturned = end;
  const std::string_view events = std::string_view(mBytes).substr(0, end);
  mCount += CountEvents(events);
  RecordLastId(events);
  return events;
}

void EventSplitter::Restart()
{
  mBytes.clear();
  mReturned = 0;
  mCount = 0;
}

void EventSplitter::RecordLastId(std::string_view aEvents)
{
  std::size_t at = aEvents.rfind(kIdField);
  while (at != std::string_view::npos && at != 0 && aEvents[at - 1] != '\n') {
    at = at == 0 ? std::string_view::npos : aEvents.rfind(kIdField, at - 1);
  }
  if (at == std::string_view::npos) {
    return;
  }
  std::string_view value = aEvents.substr(at + kIdField.size());
  value = value.substr(0, value.find_first_of("\r\n"));
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  mLastId = std::string(value);
}

}
